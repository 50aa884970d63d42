package caller

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/valyala/fasthttp"
)

const (
	// maxResponseBytes exceeds the size of the longest answer in base64.
	maxResponseBytes = 64 << 20
	dialTimeout      = 5 * time.Second
	// clientIdleTimeout is shorter than the idle timeout of the server, so that the
	// client closes an idle connection first and sends no request on a connection
	// that the server is closing.
	clientIdleTimeout = 30 * time.Second
	// clientTimeout limits a call whose context has no deadline.
	clientTimeout = maxSubmitTimeout + time.Minute
	// maxGetAttempts limits the attempts of a GET whose connection breaks.
	maxGetAttempts = 2
)

var errDial = errors.New("no connection")

// Client calls the API of one server. It is safe for concurrent use. Its methods
// respect the deadline of the context but not its cancellation.
type Client struct {
	http      *fasthttp.HostClient
	base      string
	token     string
	workspace string
}

// NewClient returns a client of a server such as http://host:port that uses a
// workspace and its token. The error is a *fault.Error of kind Invalid.
func NewClient(server, token, workspace string) (*Client, error) {
	u, err := url.Parse(server)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fault.New(fault.Invalid, fmt.Sprintf("server %q is no URL", server), "use http://host:port")
	}
	isTLS := u.Scheme == "https"
	return &Client{
		http: &fasthttp.HostClient{
			Addr:                      fasthttp.AddMissingPort(u.Host, isTLS),
			IsTLS:                     isTLS,
			TLSConfig:                 &tls.Config{MinVersion: tls.VersionTLS12},
			Dial:                      dial,
			MaxIdleConnDuration:       clientIdleTimeout,
			MaxIdemponentCallAttempts: maxGetAttempts,
			MaxResponseBodySize:       maxResponseBytes,
			RetryIfErr:                retryGet,
		},
		base:      u.Scheme + "://" + u.Host,
		token:     token,
		workspace: workspace,
	}, nil
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	return conn, nil
}

// retryGet allows repeated attempts only for GET requests, which change nothing.
func retryGet(request *fasthttp.Request, _ int, _ error) (resetTimeout, retry bool) {
	return false, request.Header.IsGet()
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Mint returns a new job ID. The error is a *fault.Error.
func (c *Client) Mint(ctx context.Context) (string, error) {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := c.call(ctx, fasthttp.MethodPost, "/v1/ids?"+c.query().Encode(), nil, response); err != nil {
		return "", unreachable(err)
	}
	var minted mintedID
	if response.StatusCode() == fasthttp.StatusOK && json.Unmarshal(response.Body(), &minted) == nil && minted.JobID != "" {
		return minted.JobID, nil
	}
	answer, err := DecodeAnswer(response.Body())
	if err != nil || answer.Error == nil {
		return "", unexpectedResponse(response.StatusCode(), err)
	}
	return "", answer.Error
}

// Submit submits a job and returns its answer. The outcome is unknown if the
// connection breaks. It is not_run if no connection was made, unless the job has
// an ID or key with which it may have been submitted before. A job that fails
// job.Check is not sent. An empty workspace is set to that of the client.
func (c *Client) Submit(ctx context.Context, job api.Job) api.Answer {
	if err := job.Check(); err != nil {
		return api.RefuseSubmission(job, err)
	}
	if job.Workspace == "" {
		job.Workspace = c.workspace
	}
	body, err := json.Marshal(job)
	if err != nil {
		return api.RefuseSubmission(job, fault.Wrap(fault.Invalid, err, "the job cannot be encoded", "check that the payload is JSON"))
	}
	return c.answer(ctx, fasthttp.MethodPost, "/v1/jobs", job, body)
}

// Status returns the current state of a job.
func (c *Client) Status(ctx context.Context, id string) api.Answer {
	return c.answer(ctx, fasthttp.MethodGet, c.jobPath(id, c.query()), api.Job{ID: id}, nil)
}

// Wait waits for the end of a job, for at most wait or the limit of the server. The
// outcome is unknown if the job has not ended by then.
func (c *Client) Wait(ctx context.Context, id string, wait time.Duration) api.Answer {
	query := c.query()
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return c.answer(ctx, fasthttp.MethodGet, c.jobPath(id, query), api.Job{ID: id}, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) api.Answer {
	return c.answer(ctx, fasthttp.MethodDelete, c.jobPath(id, c.query()), api.Job{ID: id}, nil)
}

func (c *Client) query() url.Values { return url.Values{"workspace": {c.workspace}} }

func (c *Client) jobPath(id string, query url.Values) string {
	return "/v1/jobs/" + url.PathEscape(id) + "?" + query.Encode()
}

// answer makes a call and returns the answer in its response, or an answer that
// explains why there is none.
func (c *Client) answer(ctx context.Context, method, path string, job api.Job, body []byte) api.Answer {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	err := c.call(ctx, method, path, body, response)
	switch {
	case err != nil && method == fasthttp.MethodPost && neverSent(err):
		return api.RefuseSubmission(job, unreachable(err))
	case err != nil:
		return unknownOutcome(job.ID, unreachable(err))
	}
	answer, err := DecodeAnswer(response.Body())
	if err != nil {
		return unknownOutcome(job.ID, unexpectedResponse(response.StatusCode(), err))
	}
	if answer.Error != nil && answer.Error.Kind == fault.NotReady {
		c.http.CloseIdleConnections() // the server is stopping and may close them
	}
	return answer
}

// call sends a request and fills response. Without a deadline in ctx it takes at
// most clientTimeout.
func (c *Client) call(ctx context.Context, method, path string, body []byte, response *fasthttp.Response) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(c.base + path)
	request.Header.SetMethod(method)
	if c.token != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(clientTimeout)
	}
	return c.http.DoDeadline(request, response, deadline)
}

// neverSent reports whether err proves that no byte of the request was sent.
func neverSent(err error) bool {
	return errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

func unreachable(err error) *fault.Error {
	return fault.Wrap(fault.Unavailable, err, "the server gave no answer", "check the address and look up the job status by its ID")
}

func unexpectedResponse(status int, err error) *fault.Error {
	return fault.Wrap(fault.Unavailable, err, fmt.Sprintf("the response with status %d is not from fulmarlatch", status),
		"check the address and look up the job status by its ID")
}
