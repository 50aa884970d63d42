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
	// DefaultTimeout bounds a request whose context has no deadline.
	DefaultTimeout = 15 * time.Second
)

// Client asks the operator endpoints of one process.
type Client struct {
	base string
	http fasthttp.Client
}

// NewClient returns a client of the process at addr (IP:port). A nil config
// uses plain HTTP.
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
		err = c.refused(PathLive, status)
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
		return Readiness{}, fault.Wrap(fault.Unavailable, err, c.base+" answered "+PathReady+" with something else", "check the address")
	}
	return r, nil
}

// Metrics returns the metrics as JSON. Errors are as for Dump.
func (c *Client) Metrics(ctx context.Context) (json.RawMessage, error) {
	return c.report(ctx, PathMetrics)
}

// Dump returns the state of the process as JSON. It returns the process's own
// *fault.Error, or an Unavailable error if the process does not answer.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) { return c.report(ctx, PathDump) }

func (c *Client) report(ctx context.Context, path string) (json.RawMessage, error) {
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
	return nil, c.refused(path, status)
}

func (c *Client) refused(path string, status int) error {
	return fault.New(fault.Unavailable, fmt.Sprintf("%s%s answered status %d", c.base, path, status), "check the address")
}

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
