package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/operator"
)

// fakeLog is an in-memory log with injected faults.
type fakeLog struct {
	records [][]byte
	oldest  int
	appends int
	down    bool   // every request fails
	lost    int    // this many appends take effect but return an error
	dropped int    // this many appends have no effect and return an error
	refuses bool   // once dropped is 0, appends are refused as invalid
	before  func() // runs once before the next append takes effect
}

func (l *fakeLog) Read(_ context.Context, from uint64) (page, error) {
	p := page{Next: uint64(len(l.records)), Oldest: uint64(l.oldest)}
	if l.down {
		return p, fault.New(fault.LogDown, "down", "wait")
	}
	for i := max(int(from), l.oldest); i < len(l.records) && len(p.Records) < 2; i++ {
		p.Records = append(p.Records, pageRecord{Offset: uint64(i), Data: l.records[i]})
	}
	return p, nil
}

func (l *fakeLog) Append(_ context.Context, records [][]byte) (uint64, error) {
	l.appends++
	if before := l.before; before != nil {
		l.before = nil
		before()
	}
	if l.down || l.dropped > 0 {
		l.dropped--
		return 0, fault.New(fault.LogDown, "down", "wait")
	}
	if l.refuses {
		return 0, fault.New(fault.Invalid, "refused", "send other records")
	}
	l.records = append(l.records, records...)
	if l.lost > 0 {
		l.lost--
		return 0, fault.New(fault.LogDown, "lost", "wait")
	}
	return uint64(len(l.records) - len(records)), nil
}

// harness runs the tool for two operators, isla and ruaridh, against one log.
type harness struct {
	t   *testing.T
	dir string
	log *fakeLog
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, dir: t.TempDir(), log: &fakeLog{}}
	var operators []string
	for _, name := range []string{"isla", "ruaridh"} {
		code, out := h.run("keygen", "--out", h.path(name+".key"))
		assert.Equal(t, code, exitOK, out)
		operators = append(operators, fmt.Sprintf("%q:%q", name, strings.TrimSpace(out)))
	}
	data, err := os.ReadFile("../../examples/order-desk/settings.json")
	assert.NilError(t, err)
	var s map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(data, &s))
	s["operators"] = json.RawMessage("{" + strings.Join(operators, ",") + "}")
	data, err = json.Marshal(s)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(h.path("settings.json"), data, 0o600))
	return h
}

func (h *harness) path(name string) string { return filepath.Join(h.dir, name) }

// run runs the tool and returns its exit code and its whole output.
func (h *harness) run(args ...string) (int, string) {
	var out bytes.Buffer
	t := &tool{ctx: context.Background(), out: &out, errOut: &out, now: time.Now, retryDelay: time.Millisecond,
		open: func(string) rollLog { return h.log }}
	code := t.run(args)
	return code, out.String()
}

// bundleFile writes the example bundle with the given version and a packing weight
// derived from it, and returns the path.
func (h *harness) bundleFile(version int) string {
	data, err := os.ReadFile("../../examples/order-desk/bundle.json")
	assert.NilError(h.t, err)
	text := strings.Replace(string(data), `"version": 1`, `"version": `+strconv.Itoa(version), 1)
	text = strings.Replace(text, `"packing_weight": 0.8`, fmt.Sprintf(`"packing_weight": 0.%d`, version), 1)
	path := h.path(fmt.Sprintf("bundle-%d.json", version))
	assert.NilError(h.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// withSigner adds the flags that sign as an operator.
func (h *harness) withSigner(args []string, name string) []string {
	return append(args, "--key", h.path(name+".key"), "--signer", name, "--settings", h.path("settings.json"))
}

// roll rolls a bundle of the given version as an operator.
func (h *harness) roll(version int, name string, flags ...string) (int, string) {
	args := append([]string{"bundle", "roll", h.bundleFile(version)}, flags...)
	return h.run(h.withSigner(args, name)...)
}

// want returns a check that a run exits with code and prints text.
func (h *harness) want(code int, text string) func(int, string) {
	return func(gotCode int, got string) {
		h.t.Helper()
		assert.Equal(h.t, gotCode, code, got)
		assert.Assert(h.t, strings.Contains(got, text), "%q is not in %q", text, got)
	}
}

// TestRoll guards against rolls that append unchanged sections, a repeated command
// that rolls twice, a version reused for other content, and a rollback to the
// wrong content.
func TestRoll(t *testing.T) {
	h := newHarness(t)
	h.want(exitOK, "rolled roll=1 version=1")(h.roll(1, "isla"))
	assert.Equal(t, len(h.log.records), 5)
	h.want(exitOK, "already in force roll=1")(h.roll(1, "isla"))
	h.want(exitOK, "rolled roll=2 version=2")(h.roll(2, "ruaridh"))
	assert.Equal(t, len(h.log.records), 7)
	h.want(exitConflict, "roll 2 is in force")(h.roll(3, "isla", "--replaces", "1"))
	h.want(exitOK, "rolled roll=3 version=3")(h.roll(3, "isla", "--replaces", "2"))
	h.want(exitOK, "rolled roll=4 version=1")(h.run(h.withSigner([]string{"bundle", "rollback", "--to", "1"}, "isla")...))
	h.want(exitOK, `"packing_weight": 0.1`)(h.run("bundle", "show", "--settings", h.path("settings.json")))
	h.want(exitWrongInput, "does not hold version 9")(h.run(h.withSigner([]string{"bundle", "rollback", "--to", "9"}, "isla")...))
	assert.NilError(t, os.Rename(h.bundleFile(2), h.path("old.json")))
	data, err := os.ReadFile(h.path("old.json"))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(h.path("new.json"), bytes.Replace(data, []byte("0.2"), []byte("0.3"), 1), 0o600))
	h.want(exitWrongInput, "rolled before with other content")(h.run(h.withSigner([]string{"bundle", "roll", h.path("new.json")}, "isla")...))
}

// TestRollFaults guards against reporting an outcome without reading the log back
// after an append without a response, reporting a lost race as rolled, and wrong
// exit codes.
func TestRollFaults(t *testing.T) {
	h := newHarness(t)
	h.log.lost = 1
	h.want(exitOK, "rolled roll=1")(h.roll(1, "isla"))
	assert.Equal(t, h.log.appends, 1)
	h.log.dropped = 2
	h.want(exitOK, "rolled roll=2")(h.roll(2, "isla"))
	assert.Equal(t, h.log.appends, 4)
	h.log.before = func() { h.want(exitOK, "rolled roll=3 version=4")(h.roll(4, "ruaridh")) }
	h.want(exitConflict, `by "ruaridh" was first`)(h.roll(3, "isla"))
	h.log.before = func() { h.log.down = true }
	h.want(exitUnavailable, "it is not known")(h.roll(5, "isla", "--timeout", "50ms"))
	h.want(exitUnavailable, "down")(h.roll(5, "isla", "--timeout", "50ms"))
}

// TestRefusedRepeatOfRoll guards against telling the operator that a roll has no effect because
// its repeat was refused, while the first append, which had no response, may be carried out.
func TestRefusedRepeatOfRoll(t *testing.T) {
	h := newHarness(t)
	h.log.refuses = true
	h.want(exitWrongInput, "refused")(h.roll(1, "isla"))
	h.log.dropped = 1
	h.want(exitUnavailable, "it is not known")(h.roll(1, "isla"))
}

// TestRollTruncated guards against rolling, without --replaces, on a log that has
// dropped the records of the roll in force.
func TestRollTruncated(t *testing.T) {
	h := newHarness(t)
	h.want(exitOK, "rolled roll=1")(h.roll(1, "isla"))
	h.log.oldest = len(h.log.records)
	h.want(exitConflict, "dropped earlier records")(h.roll(2, "isla"))
	h.want(exitOK, "rolled roll=1 version=2")(h.roll(2, "isla", "--replaces", "0"))
}

// TestSign guards against a signed file that cannot be rolled, and against one that
// takes effect although another roll was appended first.
func TestSign(t *testing.T) {
	h := newHarness(t)
	h.want(exitOK, "rolled roll=1")(h.roll(1, "isla"))
	h.want(exitOK, "signed roll=2")(h.run(h.withSigner([]string{"bundle", "sign", h.bundleFile(2), "--out", h.path("2.signed")}, "isla")...))
	assert.Equal(t, len(h.log.records), 5)
	rollSigned := []string{"bundle", "roll", h.path("2.signed"), "--settings", h.path("settings.json")}
	h.want(exitOK, "rolled roll=2")(h.run(rollSigned...))
	h.want(exitOK, "already in force")(h.run(rollSigned...))
	h.want(exitOK, "signed roll=3")(h.run(h.withSigner([]string{"bundle", "sign", h.bundleFile(3), "--out", h.path("3.signed")}, "isla")...))
	h.want(exitOK, "rolled roll=3")(h.roll(4, "ruaridh"))
	rollSigned[2] = h.path("3.signed")
	h.want(exitConflict, "was first")(h.run(rollSigned...))
}

// TestWrongInput guards against invalid input that yields an exit code other than 2
// or no remedy, that is appended to the log, or that overwrites a key file.
func TestWrongInput(t *testing.T) {
	h := newHarness(t)
	h.want(exitOK, "rolled roll=1")(h.roll(1, "ruaridh"))
	bad := h.path("bad.json")
	assert.NilError(t, os.WriteFile(bad, []byte(`{"version":0}`), 0o600))
	key, log := h.path("isla.key"), "127.0.0.1:1"
	for _, c := range []struct {
		args []string
		text string
	}{
		{nil, "--help"},
		{[]string{"bundle", "roll"}, "expected"},
		{[]string{"bundle", "check", bad}, "version is missing or 0"},
		{[]string{"bundle", "check", h.path("none")}, "readable file"},
		{[]string{"bundle", "roll", h.bundleFile(2), "--log", log}, "--key"},
		{[]string{"bundle", "roll", h.bundleFile(2), "--key", key, "--signer", "isla"}, "--log"},
		{[]string{"bundle", "roll", h.bundleFile(2), "--key", bad, "--signer", "isla", "--log", log}, "no private key"},
		{[]string{"bundle", "roll", h.bundleFile(2), "--key", key, "--signer", "isla", "--log", log}, "--settings"},
		{[]string{"bundle", "roll", h.bundleFile(2), "--key", key, "--log", log}, "--signer"},
		{[]string{"bundle", "roll", h.bundleFile(2), "--key", key, "--signer", "ruaridh", "--settings", h.path("settings.json")}, "not by"},
		{[]string{"bundle", "roll", h.bundleFile(2), "--key", key, "--signer", "eve", "--settings", h.path("settings.json")}, "unknown operator"},
		{[]string{"bundle", "show", "--log", log}, "--settings"},
		{[]string{"keygen", "--out", key}, "does not exist"},
	} {
		code, out := h.run(c.args...)
		assert.Equal(t, code, exitWrongInput, "%v: %s", c.args, out)
		assert.Assert(t, strings.Contains(out, c.text), "%v: %s", c.args, out)
	}
	assert.Equal(t, len(h.log.records), 5)
}

// TestStatusAndDump guards against wrong output of the status and dump commands, and
// against a success exit code when an entry process is down.
func TestStatusAndDump(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := operator.NewServer(operator.Sources{
		Ready: func() operator.Readiness {
			return operator.Readiness{Entry: "entry-1", Roll: 7, Reasons: []string{"stopping"}}
		},
		Dump:    func(context.Context) (any, error) { return []int{1}, nil },
		Metrics: metrics.NewRegistry(),
	})
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	h, addr := newHarness(t), ln.Addr().String()
	h.want(exitOK, "entry=entry-1 ready=false roll=7")(h.run("status", addr))
	h.want(exitOK, "[\n  1\n]")(h.run("dump", addr))
	assert.NilError(t, server.Shutdown(context.Background()))
	assert.NilError(t, <-done)
	h.want(exitUnavailable, "does not answer")(h.run("status", addr))
}

// TestHTTPLog guards against requests that do not follow the log service's API and
// against error responses that are treated as success.
func TestHTTPLog(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	status, body := fasthttp.StatusOK, ""
	var request string
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		request = string(c.Method()) + " " + string(c.RequestURI()) + " " + string(c.PostBody())
		c.SetStatusCode(status)
		c.SetBodyString(body)
	}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	log, ctx := newHTTPLog(ln.Addr().String()), context.Background()
	body = `{"records":[{"offset":5,"time_ms":1,"data":"aGk="}],"next":6,"oldest":3,"retention_ms":9}`
	p, err := log.Read(ctx, 4)
	assert.NilError(t, err)
	assert.Equal(t, request, "GET /v1/streams/rolls/records?from=4&max=64&wait_ms=0 ")
	assert.DeepEqual(t, p, page{Records: []pageRecord{{5, []byte("hi")}}, Next: 6, Oldest: 3})
	body = `{"first":6,"next":8}`
	first, err := log.Append(ctx, [][]byte{[]byte("a"), []byte("b")})
	assert.NilError(t, err)
	assert.Equal(t, first, uint64(6))
	assert.Equal(t, request, `POST /v1/streams/rolls/records {"records":["YQ==","Yg=="]}`)
	for code, kind := range map[int]fault.Kind{503: fault.LogDown, 429: fault.LogDown, 400: fault.Invalid} {
		status = code
		_, err = log.Append(ctx, nil)
		assert.Equal(t, fault.KindOf(err), kind)
	}
	status, body = 200, "hello"
	_, err = log.Read(ctx, 0)
	assert.Equal(t, fault.KindOf(err), fault.LogDown)
	assert.NilError(t, server.Shutdown())
	assert.NilError(t, <-done)
	_, err = log.Read(ctx, 0)
	assert.Equal(t, fault.KindOf(err), fault.LogDown)
}
