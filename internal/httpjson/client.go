package httpjson

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Limits of a client. Idle connections are closed earlier than servers usually close
// them, so that a request does not fail on a connection that the server has closed.
const (
	maxConnections   = 64
	maxIdleTime      = 10 * time.Second
	connectionWait   = time.Second
	maxResponseBytes = 32 << 20
	// defaultExpected replaces Call.Expected if it is 0. Servers answer within some ms, and
	// within 200 ms when they are slow.
	defaultExpected = 300 * time.Millisecond
)

// Client calls one HTTP server. It is safe for concurrent use.
type Client struct {
	server   string // name and address for errors
	host     fasthttp.HostClient
	inFlight conc.WaitGroup
}

// Call describes one request.
type Call struct {
	Method   string
	Path     string // escaped, with the query
	Header   map[string]string
	Body     any           // sent as JSON unless nil
	RawBody  []byte        // sent unchanged if Body is nil
	Response any           // the JSON response is decoded into it unless nil
	Timeout  time.Duration // of the whole call
	// Expected is the longest time that a response takes over a connection that works; 0
	// for defaultExpected. A call that takes longer closes the idle connections, so that
	// the next ones do not wait for one silent connection after the other.
	Expected time.Duration
}

// expected returns Expected or its default.
func (c *Call) expected() time.Duration { return cmp.Or(c.Expected, defaultExpected) }

// StatusError is the cause in the *fault.Error of a call that the server answered with
// a status other than 2xx.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the HTTP status as text.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// New returns a client of the server at address (host:port). Errors call the server by
// the name in server, such as "the log service".
func New(address, server string) *Client {
	return &Client{server: server + " at " + address, host: fasthttp.HostClient{
		Addr:                     address,
		MaxConns:                 maxConnections,
		MaxIdleConnDuration:      maxIdleTime,
		MaxConnWaitTimeout:       connectionWait,
		MaxResponseBodySize:      maxResponseBytes,
		NoDefaultUserAgentHeader: true,
		SecureErrorLogMessage:    true,
		// Requests may not be idempotent, so retries are left to the caller.
		MaxIdemponentCallAttempts: 1,
		DialTimeout:               fasthttp.DialTimeout,
	}}
}

// Close waits until all requests have ended, including those of cancelled calls, and
// closes idle connections. It waits at most for the longest Timeout of a call.
func (c *Client) Close() {
	c.inFlight.Wait()
	c.host.CloseIdleConnections()
}

// Do sends the request of call and decodes the response into call.Response. Errors are
// *fault.Error. A status other than 2xx gives the error that the server sent, or else
// an Invalid (4xx) or Unavailable error, with a *StatusError as cause. A missing or
// malformed response gives an Unavailable error without a *StatusError; the request may
// still take effect then.
func (c *Client) Do(ctx context.Context, call Call) error {
	body, err := c.Bytes(ctx, call)
	if err != nil || call.Response == nil {
		return err
	}
	if err := json.Unmarshal(body, call.Response); err != nil {
		return fault.Wrap(fault.Unavailable, err, c.server+" sent a malformed response",
			"check that the address belongs to this service")
	}
	return nil
}

// Bytes sends the request of call and returns the body of the response. It returns the
// same errors as Do.
func (c *Client) Bytes(ctx context.Context, call Call) ([]byte, error) {
	request, err := c.newRequest(call)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	response, err := c.roundTrip(ctx, request, call.expected())
	if err != nil {
		return nil, c.unavailable(WithoutContent(err))
	}
	defer fasthttp.ReleaseResponse(response)
	body := append([]byte(nil), response.Body()...)
	if status := response.StatusCode(); status < 200 || status > 299 {
		return nil, c.statusFault(status, body)
	}
	return body, nil
}

func (c *Client) newRequest(call Call) (*fasthttp.Request, error) {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(call.Method)
	request.SetRequestURI("http://" + c.host.Addr + call.Path)
	request.URI().DisablePathNormalizing = true
	for key, value := range call.Header {
		request.Header.Set(key, value)
	}
	if call.Body == nil {
		request.SetBodyRaw(call.RawBody)
		return request, nil
	}
	data, err := json.Marshal(call.Body)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the request cannot be encoded as JSON", "correct the payload")
	}
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(data)
	return request, nil
}

// roundTrip sends the request and returns the response. It closes the idle connections if
// there is none after the expected time or at the deadline: connections that were opened
// before may be as silent as this one. fasthttp cannot cancel a request, so when ctx is done
// roundTrip returns and the request continues in its goroutine until its deadline.
func (c *Client) roundTrip(ctx context.Context, request *fasthttp.Request, expected time.Duration) (*fasthttp.Response, error) {
	type result struct {
		response *fasthttp.Response
		err      error
	}
	deadline, _ := ctx.Deadline()
	done := make(chan result, 1)
	c.inFlight.Go(func() {
		response := fasthttp.AcquireResponse()
		err := c.host.DoDeadline(request, response, deadline)
		fasthttp.ReleaseRequest(request)
		done <- result{response, err}
	})
	late := time.NewTimer(expected)
	defer late.Stop()
	for {
		select {
		case r := <-done:
			if errors.Is(r.err, fasthttp.ErrTimeout) {
				c.host.CloseIdleConnections()
			}
			return r.response, r.err
		case <-late.C:
			c.host.CloseIdleConnections()
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				c.host.CloseIdleConnections()
			}
			return nil, ctx.Err()
		}
	}
}

func (c *Client) unavailable(err error) error {
	e := fault.Wrap(fault.Unavailable, err, c.server+" does not answer",
		"check that it runs and is reachable, then retry")
	e.RetryAfterMS = 500
	return e
}

// statusFault returns the error for a status other than 2xx: the one in body, if the
// server sent a fault.Error.
func (c *Client) statusFault(status int, body []byte) error {
	cause := &StatusError{Status: status, Body: body}
	var sent fault.Error
	if json.Unmarshal(body, &sent) == nil && sent.Kind != "" {
		sent.Err = cause
		return &sent
	}
	kind := fault.Unavailable
	if status >= 400 && status < 500 {
		kind = fault.Invalid
	}
	return fault.Wrap(kind, cause, fmt.Sprintf("%s refused the request", c.server), "check the versions of both sides")
}

// Status returns the HTTP status of the StatusError in err's chain, or 0 if there is
// none.
func Status(err error) int {
	var e *StatusError
	if errors.As(err, &e) {
		return e.Status
	}
	return 0
}
