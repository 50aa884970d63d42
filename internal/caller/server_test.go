package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	// fasthttp updates its Date header for the lifetime of the process, and its
	// cleaners of workers and connections end only after a sleep of 10 s.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// executeFunc is a JobService with one workspace and one token.
type executeFunc func(ctx context.Context, operation message.Operation, job api.Job) (api.Answer, error)

func (f executeFunc) Execute(ctx context.Context, operation message.Operation, job api.Job) (api.Answer, error) {
	return f(ctx, operation, job)
}
func (executeFunc) MintID() (string, error) { return "entry.1.1", nil }
func (executeFunc) Authorize(token, workspace string) error {
	if token != "secret" || workspace != "workspace" {
		return fault.New(fault.Unauthorized, "the token is wrong", "use the token of the workspace")
	}
	return nil
}

// serve runs a server and returns its URL, a client and the server. At the end of
// the test it checks that Shutdown succeeds.
func serve(t *testing.T, cfg Config) (string, *Client, *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(cfg)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	address := "http://" + listener.Addr().String()
	c, err := NewClient(address, "secret", "workspace")
	assert.NilError(t, err)
	_, err = c.Mint(context.Background()) // the server is ready
	assert.NilError(t, err)
	t.Cleanup(func() {
		c.Close()
		http.DefaultClient.CloseIdleConnections()
		assert.Check(t, s.Shutdown(context.Background()))
		assert.Check(t, <-served)
	})
	return address, c, s
}

// echo is an executeFunc that answers with the operation and the key of the job.
func echo(_ context.Context, operation message.Operation, job api.Job) (api.Answer, error) {
	return api.Answer{JobID: job.ID, Outcome: api.OutcomeCompleted, Body: []byte(`"` + string(operation) + job.Key + `"`)}, nil
}

// request sends a request with header names and values in pairs and returns the
// response and its body.
func request(t *testing.T, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer secret")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(text)
}

var job = api.Job{ID: "entry.1.1", Class: "quick", Kind: api.KindRequest, Tasks: 1}

const jobJSON = `{"workspace":"workspace","class":"quick","kind":"request"}`

// TestOperations guards against requests that reach the job service as another
// operation.
func TestOperations(t *testing.T) {
	address, c, _ := serve(t, Config{JobService: executeFunc(echo)})
	ctx := context.Background()
	for want, a := range map[string]api.Answer{
		`"submit"`: c.Submit(ctx, job),
		`"status"`: c.Status(ctx, "entry.1.1"),
		`"wait"`:   c.Wait(ctx, "entry.1.1", time.Second),
		`"cancel"`: c.Cancel(ctx, "entry.1.1"),
	} {
		assert.DeepEqual(t, a, api.Answer{JobID: "entry.1.1", Outcome: api.OutcomeCompleted, Body: []byte(want)})
	}
	_, body := request(t, "POST", address+"/v1/jobs", jobJSON, "Idempotency-Key", "k1")
	assert.Equal(t, body, `{"outcome":"completed","wait_ms":0,"answer":"submitk1"}`)
}

// TestRefusals guards against malformed input and wrong tokens that reach the job
// service, and against refusals of status and cancel requests that are reported as
// not_run.
func TestRefusals(t *testing.T) {
	service := func(context.Context, message.Operation, api.Job) (api.Answer, error) {
		t.Error("the job service was reached")
		return api.Answer{}, nil
	}
	address, _, _ := serve(t, Config{JobService: executeFunc(service)})
	for _, c := range []struct {
		method, path, body string
		status             int
		want               string
		headers            []string
	}{
		{"POST", "/v1/jobs", `{"clas":1}`, 400, `field \"clas\" is unknown`, nil},
		{"POST", "/v1/jobs", `{"workspace":"workspace","class":"c","kind":"x"}`, 400, "field kind", nil},
		{"POST", "/v1/jobs", `{"workspace":"workspace","key":"a"}`, 400, "Idempotency-Key differs", []string{"Idempotency-Key", "b"}},
		{"POST", "/v1/jobs", jobJSON, 401, `"not_run"`, []string{"Authorization", "Bearer wrong"}},
		{"POST", "/v1/jobs", jobJSON, 401, "bearer token", []string{"Authorization", "secret"}},
		{"POST", "/v1/jobs", jobJSON, 401, "wrong", []string{"Authorization", ""}},
		{"POST", "/v1/jobs", `{"class":"c","kind":"request"}`, 401, "the workspace is missing", nil},
		{"POST", "/v1/ids?workspace=other", "", 401, `"unauthorized"`, nil},
		{"GET", "/v1/jobs/j?workspace=workspace&wait_ms=-1", "", 400, "wait_ms", nil},
		{"GET", "/v1/jobs/j", "", 401, `"unknown"`, nil},
		{"DELETE", "/v1/jobs/j?workspace=other", "", 401, `"unknown"`, nil},
		{"GET", "/v2", "", 404, `"not_found"`, nil},
		{"PUT", "/v1/jobs", "", 405, `"invalid"`, nil},
	} {
		response, body := request(t, c.method, address+c.path, c.body, c.headers...)
		assert.Equal(t, response.StatusCode, c.status, "%s %s: %s", c.method, c.path, body)
		assert.Assert(t, strings.Contains(body, c.want), body)
	}
}

// TestOversized guards against reading a body or headers without a limit. The test
// sends no byte beyond those that the server reads before it refuses the request,
// because a connection reset would race with the response.
func TestOversized(t *testing.T) {
	address, _, _ := serve(t, Config{JobService: executeFunc(echo)})
	start := "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: "
	for text, status := range map[string]int{
		start + strconv.Itoa(DefaultMaxBodyBytes+1) + "\r\n\r\n":      413,
		start + strings.Repeat("0", DefaultMaxHeaderBytes-len(start)): 431,
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(address, "http://"))
		assert.NilError(t, err)
		_, err = io.WriteString(conn, text)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, status, string(body))
		assert.Assert(t, strings.Contains(string(body), `"kind":"invalid"`), string(body))
		assert.NilError(t, conn.Close())
	}
}

// TestRetryAfter guards against a Retry-After that is shorter than the delay in the
// error.
func TestRetryAfter(t *testing.T) {
	for ms, want := range map[int64]string{0: "1", 1: "1", 1000: "1", 1001: "2"} {
		service := func(context.Context, message.Operation, api.Job) (api.Answer, error) {
			e := fault.New(fault.QuotaExceeded, "m", "r")
			e.RetryAfterMS = ms
			return api.Refuse("j", e), nil
		}
		address, _, _ := serve(t, Config{JobService: executeFunc(service)})
		response, _ := request(t, "POST", address+"/v1/jobs", jobJSON)
		assert.Equal(t, response.StatusCode, 429)
		assert.Equal(t, response.Header.Get("Retry-After"), want)
	}
}

// TestWaitEnds guards against a wait that does not end, and against an outcome other
// than unknown when it ends early.
func TestWaitEnds(t *testing.T) {
	service := func(ctx context.Context, _ message.Operation, _ api.Job) (api.Answer, error) {
		<-ctx.Done()
		return api.Answer{}, ctx.Err()
	}
	_, c, _ := serve(t, Config{JobService: executeFunc(service), AnswerGrace: time.Millisecond, Deadline: time.Millisecond})
	for _, a := range []api.Answer{
		c.Submit(context.Background(), job),
		c.Wait(context.Background(), job.ID, time.Millisecond),
	} {
		assert.Equal(t, a.Outcome, api.OutcomeUnknown)
		assert.Equal(t, a.Error.Kind, fault.Unavailable)
		assert.Assert(t, strings.Contains(a.Error.Remedy, "/v1/jobs/entry.1.1"))
	}
}

// blockingService is a JobService that answers only after release is closed.
type blockingService struct {
	executeFunc
	entered chan struct{}
	release chan struct{}
}

func newBlockingService() *blockingService {
	b := &blockingService{entered: make(chan struct{}, 1), release: make(chan struct{})}
	b.executeFunc = func(ctx context.Context, operation message.Operation, job api.Job) (api.Answer, error) {
		b.entered <- struct{}{}
		select {
		case <-b.release:
			return echo(ctx, operation, job)
		case <-ctx.Done():
			return api.Answer{}, ctx.Err()
		}
	}
	return b
}

// TestMaxWaiting guards against an unlimited number of waiting requests, and against
// refusing a repeated submission as not_run.
func TestMaxWaiting(t *testing.T) {
	b := newBlockingService()
	_, c, _ := serve(t, Config{JobService: b, MaxWaiting: 1})
	first := make(chan api.Answer, 1)
	go func() { first <- c.Submit(context.Background(), job) }()
	<-b.entered
	fresh := job
	fresh.ID = ""
	second := c.Submit(context.Background(), fresh)
	assert.Equal(t, second.Outcome, api.OutcomeNotRun)
	assert.Equal(t, second.Error.Kind, fault.QueueFull)
	retry := c.Submit(context.Background(), job) // the first submission may run
	assert.Equal(t, retry.Outcome, api.OutcomeUnknown)
	assert.Equal(t, retry.Error.Kind, fault.QueueFull)
	assert.Equal(t, c.Status(context.Background(), job.ID).Outcome, api.OutcomeUnknown)
	close(b.release)
	assert.Equal(t, (<-first).Outcome, api.OutcomeCompleted)
}

// TestShutdown guards against a graceful shutdown that interrupts a request, and
// against one that does not end when its context does.
func TestShutdown(t *testing.T) {
	for _, graceful := range []bool{true, false} {
		b := newBlockingService()
		_, c, s := serve(t, Config{JobService: b})
		answer := make(chan api.Answer, 1)
		go func() { answer <- c.Submit(context.Background(), job) }()
		<-b.entered
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(ctx) }()
		if graceful {
			// Wait until new connections are refused.
			for !neverSent(c.call(context.Background(), "GET", "/", nil, nil)) {
				time.Sleep(time.Millisecond)
			}
			close(b.release)
			assert.Equal(t, (<-answer).Outcome, api.OutcomeCompleted)
			assert.NilError(t, <-stopped)
		} else {
			cancel()
			assert.Equal(t, (<-answer).Outcome, api.OutcomeUnknown)
			assert.ErrorIs(t, <-stopped, context.Canceled)
		}
		cancel()
	}
}

// lateService is a JobService that answers a while after its context has ended.
type lateService struct {
	*blockingService
	entered chan struct{}
	left    atomic.Bool
}

func (l *lateService) Execute(ctx context.Context, _ message.Operation, _ api.Job) (a api.Answer, err error) {
	close(l.entered)
	<-ctx.Done()
	time.Sleep(300 * time.Millisecond)
	l.left.Store(true)
	return a, ctx.Err()
}

// TestShutdownWaitsForLastAnswers guards against a shutdown that returns while requests are
// being answered whose time it has ended.
func TestShutdownWaitsForLastAnswers(t *testing.T) {
	l := &lateService{blockingService: newBlockingService(), entered: make(chan struct{})}
	_, c, s := serve(t, Config{JobService: l})
	answer := make(chan api.Answer, 1)
	go func() { answer <- c.Submit(context.Background(), job) }()
	<-l.entered
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
	assert.Assert(t, l.left.Load())
	assert.Equal(t, (<-answer).Outcome, api.OutcomeUnknown)
}

// TestClientRetries guards against a submission that the client sends twice.
func TestClientRetries(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var requests atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(listener) }()
	c, err := NewClient("http://"+listener.Addr().String(), "secret", "workspace")
	assert.NilError(t, err)
	ctx := context.Background()
	for _, call := range []struct {
		answer func() api.Answer
		want   int64
	}{
		{func() api.Answer { return c.Submit(ctx, job) }, 1},
		{func() api.Answer { return c.Cancel(ctx, job.ID) }, 1},
		{func() api.Answer { return c.Status(ctx, job.ID) }, maxGetAttempts},
	} {
		requests.Store(0)
		assert.Equal(t, call.answer().Outcome, api.OutcomeUnknown)
		assert.Equal(t, requests.Load(), call.want)
	}
	assert.NilError(t, server.Close())
	fresh := job
	fresh.ID = ""
	assert.Equal(t, c.Submit(ctx, fresh).Outcome, api.OutcomeNotRun)
	assert.Equal(t, c.Submit(ctx, job).Outcome, api.OutcomeUnknown) // an earlier attempt may have run
	assert.Equal(t, c.Cancel(ctx, job.ID).Outcome, api.OutcomeUnknown)
}
