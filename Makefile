# Commands for developers; .ci/run calls "make test".

GO ?= go
PACKAGES = ./...

.PHONY: build test test-setup format vet lint unit spec demo bench

build:
	$(GO) build -o bin/ ./cmd/...

# Tools that the tests need and that are not Go modules.
test-setup:
	@command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin)

format:
	@unformatted=$$(gofmt -l cmd internal test 2>/dev/null); \
	if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted"; exit 1; fi

vet:
	$(GO) vet $(PACKAGES)

lint:
	$(GO) tool staticcheck $(PACKAGES)

unit:
	$(GO) test -race -timeout 8m $(PACKAGES)

test: test-setup format vet lint unit

# A cell on loopback, with every outcome checked; needs bash and curl.
demo: build
	./scripts/demo.sh
