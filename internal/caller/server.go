package caller

import (
	"context"
	"errors"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/credential"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"
)

const (
	readTimeout  = 30 * time.Second // per request
	writeTimeout = 60 * time.Second // per response
	idleTimeout  = 75 * time.Second // of a connection between requests
	// forcedStopTimeout limits the time for the remaining responses after the
	// context of Shutdown has ended.
	forcedStopTimeout = 2 * time.Second
	// overloadRetryMS is the retry delay, in milliseconds, sent when too many
	// requests are waiting.
	overloadRetryMS = 1000
)

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	cfg      Config
	app      *fiber.App
	ctx      context.Context // parent of all request contexts
	cancel   context.CancelFunc
	waiting  chan struct{} // semaphore with one element per call of JobService.Execute
	draining atomic.Bool   // set by Drain
}

// NewServer returns a server that passes requests to cfg.JobService.
func NewServer(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg, waiting: make(chan struct{}, cfg.MaxWaiting)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.app = fiber.New(fiber.Config{
		BodyLimit:                    cfg.MaxBodyBytes,
		ReadBufferSize:               cfg.MaxHeaderBytes,
		Concurrency:                  cfg.MaxConnections,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 s.handleError,
	})
	s.app.Post("/v1/ids", s.mint)
	s.app.Post("/v1/jobs", s.submit)
	s.app.Get("/v1/jobs/:id", s.getJob)
	s.app.Delete("/v1/jobs/:id", s.cancelJob)
	return s
}

// Serve serves requests on listener until Shutdown, and then returns nil. It closes
// listener.
func (s *Server) Serve(listener net.Listener) error {
	return s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Drain makes every further response close its connection. Otherwise a client could
// send a request on a connection that Shutdown closes, without learning whether the
// request was received.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting connections and waits for the requests in progress. If
// ctx ends first, the remaining requests are answered with outcome unknown and
// Shutdown returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.cancel()
	// The fiber app waits for requests only in its first shutdown.
	forced, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer context.AfterFunc(ctx, func() {
		s.cancel()
		time.AfterFunc(forcedStopTimeout, stop)
	})()
	err := s.app.ShutdownWithContext(forced)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (s *Server) mint(c fiber.Ctx) error {
	if err := s.authorize(c, c.Query("workspace")); err != nil {
		return s.reply(c, api.Refuse("", err))
	}
	id, err := s.cfg.JobService.MintID()
	if err != nil {
		return s.reply(c, api.Refuse("", err))
	}
	return c.JSON(mintedID{JobID: id})
}

// mintedID is the response to a request for a new job ID.
type mintedID struct {
	JobID string `json:"job_id"`
}

func (s *Server) submit(c fiber.Ctx) error {
	job, err := s.readJob(c)
	if err != nil {
		return s.reply(c, api.RefuseSubmission(job, err))
	}
	if !s.beginRequest() {
		return s.reply(c, api.RefuseSubmission(job, overloadedError()))
	}
	defer s.endRequest()
	return s.execute(c, message.OpSubmit, job, s.cfg.submitTimeout(job))
}

// readJob decodes, authorizes and checks the job in the body of a request.
func (s *Server) readJob(c fiber.Ctx) (api.Job, error) {
	// BodyRaw does not decompress the body. Decompression would bypass the limit on
	// its size.
	job, err := DecodeJob(c.BodyRaw())
	if err != nil {
		return job, err
	}
	if err := s.authorize(c, job.Workspace); err != nil {
		return job, err
	}
	if err := applyKey(&job, strings.Clone(c.Get("Idempotency-Key"))); err != nil {
		return job, err
	}
	return job, job.Check()
}

func (s *Server) getJob(c fiber.Ctx) error {
	wait, err := s.waitTime(c)
	if err != nil {
		return s.reply(c, unknownOutcome(jobID(c), err))
	}
	if wait == 0 {
		return s.executeOnJob(c, message.OpStatus, s.cfg.ReplyTimeout)
	}
	return s.executeOnJob(c, message.OpWait, wait)
}

func (s *Server) cancelJob(c fiber.Ctx) error {
	return s.executeOnJob(c, message.OpCancel, s.cfg.ReplyTimeout)
}

// executeOnJob executes an operation on the job that the request names by its ID.
func (s *Server) executeOnJob(c fiber.Ctx, operation message.Operation, limit time.Duration) error {
	job := api.Job{ID: jobID(c), Workspace: strings.Clone(c.Query("workspace"))}
	if err := s.authorize(c, job.Workspace); err != nil {
		return s.reply(c, unknownOutcome(job.ID, err))
	}
	if !s.beginRequest() {
		return s.reply(c, unknownOutcome(job.ID, overloadedError()))
	}
	defer s.endRequest()
	return s.execute(c, operation, job, limit)
}

// jobID returns a copy of the job ID, because fiber reuses the memory of the request.
func jobID(c fiber.Ctx) string {
	id := strings.Clone(c.Params("id"))
	if plain, err := url.PathUnescape(id); err == nil {
		return plain
	}
	return id
}

// waitTime returns the wait_ms of a request, at most MaxWait.
func (s *Server) waitTime(c fiber.Ctx) (time.Duration, error) {
	text := c.Query("wait_ms")
	if text == "" {
		return 0, nil
	}
	wait, err := strconv.ParseInt(text, 10, 64)
	if err != nil || wait < 0 {
		return 0, fault.New(fault.Invalid, "wait_ms is "+strconv.Quote(text), "use a time in milliseconds")
	}
	limit := s.cfg.MaxWait.Milliseconds()
	return time.Duration(min(wait, limit)) * time.Millisecond, nil
}

// execute calls the job service and replies with its answer, or with outcome unknown if
// there is no answer within limit.
func (s *Server) execute(c fiber.Ctx, operation message.Operation, job api.Job, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	answer, err := s.cfg.JobService.Execute(ctx, operation, job)
	switch {
	case err == nil:
	case ctx.Err() != nil:
		answer = unknownOutcome(job.ID, waitEndedError(job))
	default:
		answer = unknownOutcome(job.ID, err)
	}
	return s.reply(c, answer)
}

// waitEndedError returns an error that says how to look up the outcome of the job.
func waitEndedError(job api.Job) error {
	remedy := "give the next job an ID or a key, so that its outcome can be looked up"
	switch {
	case job.ID != "":
		remedy = "look up the status with GET /v1/jobs/" + job.ID
	case job.Key != "":
		remedy = "submit the job again with the same key"
	}
	return fault.New(fault.Unavailable, "the wait ended before the outcome was known", remedy)
}

// unknownOutcome returns an answer with outcome unknown.
func unknownOutcome(id string, err error) api.Answer {
	return api.Answer{JobID: id, Outcome: api.OutcomeUnknown, Error: fault.As(err)}
}

func overloadedError() error {
	e := fault.New(fault.QueueFull, "too many requests are waiting for an answer", "try again later")
	e.RetryAfterMS = overloadRetryMS
	return e
}

// beginRequest reserves one of MaxWaiting calls of JobService.Execute. It returns
// false if all are in use.
func (s *Server) beginRequest() bool {
	select {
	case s.waiting <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Server) endRequest() { <-s.waiting }

// authorize checks the bearer token of a request for a workspace.
func (s *Server) authorize(c fiber.Ctx, workspace string) error {
	if workspace == "" {
		return fault.New(fault.Unauthorized, "the workspace is missing", "name the workspace, and send its token in the header Authorization: Bearer")
	}
	// The job service decides about a missing token, because a workspace without a
	// token hash needs none.
	token, ok := credential.ParseBearer(c.Get(fiber.HeaderAuthorization))
	if !ok {
		return fault.New(fault.Unauthorized, "the header Authorization has no bearer token", "send the header Authorization: Bearer with the workspace's token")
	}
	return s.cfg.JobService.Authorize(strings.Clone(token), strings.Clone(workspace))
}

// reply sends an answer with its HTTP status.
func (s *Server) reply(c fiber.Ctx, answer api.Answer) error {
	return s.replyWith(c, Status(answer), answer)
}

func (s *Server) replyWith(c fiber.Ctx, status int, answer api.Answer) error {
	body, err := EncodeAnswer(answer)
	if err != nil {
		return err
	}
	if seconds := retryAfterSeconds(status, answer.Error); seconds > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	if answer.Error != nil {
		s.cfg.Logger.Debug("request failed", zap.String("job", answer.JobID), zap.Int("status", status),
			zap.String("outcome", string(answer.Outcome)), zap.Error(answer.Error))
	}
	if s.draining.Load() {
		c.RequestCtx().SetConnectionClose()
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Status(status).Response().SetBodyRaw(body)
	return nil
}

// handleError replies to requests that reach no handler. The outcome is not_run for
// a refused submission and unknown for other requests, which say nothing about
// their job.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	e := fault.As(err)
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
		e = fiberFault(known)
	}
	answer := api.Answer{Outcome: api.OutcomeUnknown, Error: e}
	if c.Method() == fiber.MethodPost && status < fiber.StatusInternalServerError {
		answer.Outcome = api.OutcomeNotRun
	}
	return s.replyWith(c, status, answer)
}

// fiberFault returns a fault that explains an error of fiber.
func fiberFault(e *fiber.Error) *fault.Error {
	switch e.Code {
	case fiber.StatusNotFound:
		return fault.New(fault.NotFound, "the path is unknown", "use /v1/ids or /v1/jobs")
	case fiber.StatusRequestEntityTooLarge:
		return fault.New(fault.Invalid, "the body is too large", "shorten the payload")
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return fault.New(fault.Invalid, "the headers are too large", "shorten the headers")
	}
	if e.Code < fiber.StatusInternalServerError {
		return fault.New(fault.Invalid, e.Message, "correct the request")
	}
	return fault.New(fault.Internal, e.Message, "report this as a defect")
}
