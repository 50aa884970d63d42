package httpjson

import (
	"context"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// maxRepeats limits the repeats of a call, so that a slow server is not sent ever more of them.
const maxRepeats = 3

// Answer is the response to one of the calls that Hedged has sent.
type Answer struct {
	Body     []byte
	SentAt   time.Duration // since boot, when the call that was answered was sent
	Repeated bool          // that call was a repeat
}

// Hedged sends a call that has no side effects. While there is no response after the expected
// time, it sends repeat, over a new connection, and again each time that repeat.Expected has
// passed, up to maxRepeats times. A value on now sends the next repeat at once. It returns the
// first response, or the last error if no call gets one before first.Timeout has passed. Errors
// are those of Bytes.
func (c *Client) Hedged(ctx context.Context, first, repeat Call, now <-chan struct{}) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, first.Timeout)
	defer cancel()
	type result struct {
		Answer
		err error
	}
	results := make(chan result, 1+maxRepeats)
	send := func(call Call, repeated bool) {
		sent := clock.SinceBoot()
		c.inFlight.Go(func() {
			body, err := c.Bytes(ctx, call)
			results <- result{Answer{body, sent, repeated}, err}
		})
	}
	send(first, false)
	late := time.NewTimer(first.expected())
	defer late.Stop()
	for open, repeats := 1, 0; ; {
		select {
		case r := <-results:
			if open--; r.err == nil || Status(r.err) != 0 || open == 0 {
				return r.Answer, r.err
			}
			continue
		case <-now:
		case <-late.C:
			late.Reset(repeat.expected())
		}
		if repeats < maxRepeats {
			repeats++
			open++
			c.host.CloseIdleConnections()
			send(repeat, true)
		}
	}
}
