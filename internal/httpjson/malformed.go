package httpjson

import (
	"context"
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

// ErrMalformed replaces the errors of malformed messages, which quote them. A message may hold
// the key of a caller, which must not be logged.
var ErrMalformed = errors.New("the message is malformed, or its headers are too large")

// WithoutContent returns an error of a fasthttp client or server with SecureErrorLogMessage set,
// or ErrMalformed if its text may quote what was received.
func WithoutContent(err error) error {
	var network net.Error
	if errors.As(err, &network) {
		return err
	}
	for _, known := range []error{
		io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, net.ErrClosed, context.Canceled, context.DeadlineExceeded,
		fasthttp.ErrConnectionClosed, fasthttp.ErrNoFreeConns, fasthttp.ErrTimeout, fasthttp.ErrDialTimeout, fasthttp.ErrBodyTooLarge,
	} {
		if errors.Is(err, known) {
			return err
		}
	}
	return ErrMalformed
}
