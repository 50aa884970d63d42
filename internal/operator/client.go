package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

const (
	maxResponseBytes = 64 << 20
	// DefaultTimeout is the timeout of a request whose context has no deadline.
	DefaultTimeout = 15 * time.Second
)

// Client calls the operator endpoints of one process. It is safe for concurrent use.
type Client struct {
	base string
	http fasthttp.Client
}

// NewClient returns a client of the process whose operator listener is at addr
// (IP:port). It uses plain HTTP if config is nil.
func NewClient(addr string, config *tls.Config) *Client {
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	return &Client{base: scheme + addr, http: fasthttp.Client{
		TLSConfig:           config,
		MaxResponseBodySize: maxResponseBytes,
		MaxConnsPerHost:     2,
	}}
}

// Live returns nil if the process answers, or an Unavailable error.
func (c *Client) Live(ctx context.Context) error {
	status, _, err := c.get(ctx, PathLive)
	if err == nil && status != fasthttp.StatusOK {
		err = c.unexpectedStatus(PathLive, status)
	}
	return err
}

// Ready returns the readiness of the process, ready or not. It returns an
// Unavailable error if the process does not answer.
func (c *Client) Ready(ctx context.Context) (Readiness, error) {
	_, body, err := c.get(ctx, PathReady)
	if err != nil {
		return Readiness{}, err
	}
	var r Readiness
	if err := json.Unmarshal(body, &r); err != nil {
		return Readiness{}, fault.Wrap(fault.Unavailable, err, c.base+" answered "+PathReady+" with malformed JSON", "check the address")
	}
	return r, nil
}

// Metrics returns the metrics of the process as JSON. It returns the same errors as
// Dump.
func (c *Client) Metrics(ctx context.Context) (json.RawMessage, error) {
	return c.getJSON(ctx, PathMetrics)
}

// Dump returns the state of the process as JSON. It returns the *fault.Error that the
// process sent, or an Unavailable error if the process does not answer.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) { return c.getJSON(ctx, PathDump) }

// getJSON returns the JSON body of a successful response, or the *fault.Error in the
// body of a failed one.
func (c *Client) getJSON(ctx context.Context, path string) (json.RawMessage, error) {
	status, body, err := c.get(ctx, path)
	if err != nil {
		return nil, err
	}
	if status == fasthttp.StatusOK && json.Valid(body) {
		return body, nil
	}
	var e fault.Error
	if json.Unmarshal(body, &e) == nil && e.Kind != "" {
		return nil, &e
	}
	return nil, c.unexpectedStatus(path, status)
}

func (c *Client) unexpectedStatus(path string, status int) error {
	return fault.New(fault.Unavailable, fmt.Sprintf("%s%s answered status %d", c.base, path, status), "check the address")
}

// get returns the status and the body of the response to GET path.
func (c *Client) get(ctx context.Context, path string) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(DefaultTimeout)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return 0, nil, fault.Wrap(fault.Unavailable, err, c.base+" does not answer", "check that the process runs and that the address is its operator listener")
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
