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
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"
)

const (
	readTimeout  = 30 * time.Second // of one request
	writeTimeout = 60 * time.Second // of one response
	idleTimeout  = 75 * time.Second // of a connection between requests
	// forcedStop is how long requests may take to answer after Shutdown's
	// context has ended.
	forcedStop = 2 * time.Second
	// overloadRetryMS is the pause advised when too many requests wait.
	overloadRetryMS = 1000
)

// Server is the HTTP server for callers.
type Server struct {
	cfg     Config
	app     *fiber.App
	ctx     context.Context // of all requests
	cancel  context.CancelFunc
	waiting chan struct{} // holds one element per request in the backend
	drain   atomic.Bool   // every response closes its connection
}

// NewServer returns a server that passes requests to cfg.Backend.
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
		ErrorHandler:                 s.reportError,
	})
	s.app.Post("/v1/ids", s.mint)
	s.app.Post("/v1/jobs", s.submit)
	s.app.Get("/v1/jobs/:id", s.query)
	s.app.Delete("/v1/jobs/:id", s.cancelJob)
	return s
}

// Serve answers callers on the listener until Shutdown, and then returns nil.
// It closes the listener.
func (s *Server) Serve(listener net.Listener) error {
	return s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Drain makes every further response close its connection. A caller that used an
// open connection while the server closes it would not know whether its request
// was taken.
func (s *Server) Drain() { s.drain.Store(true) }

// Shutdown stops accepting connections and returns when the requests in
// progress have been answered. If ctx ends first, the remaining callers receive
// outcome unknown, and the error of ctx is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.cancel()
	err := s.app.ShutdownWithContext(ctx)
	if ctx.Err() == nil {
		return err
	}
	s.cancel()
	_ = s.app.ShutdownWithTimeout(forcedStop)
	return ctx.Err()
}

func (s *Server) mint(c fiber.Ctx) error {
	if err := s.authorize(c, c.Query("workspace")); err != nil {
		return s.reply(c, api.Refuse("", err))
	}
	id, err := s.cfg.Backend.MintID()
	if err != nil {
		return s.reply(c, api.Refuse("", err))
	}
	return c.JSON(mintedID{JobID: id})
}

type mintedID struct {
	JobID string `json:"job_id"`
}

func (s *Server) submit(c fiber.Ctx) error {
	job, err := s.readJob(c)
	if err != nil {
		return s.reply(c, api.RefuseSubmission(job, err))
	}
	if !s.enter() {
		return s.reply(c, api.RefuseSubmission(job, overloaded()))
	}
	defer s.leave()
	return s.do(c, message.OpSubmit, job, s.cfg.answerTime(job))
}

func (s *Server) readJob(c fiber.Ctx) (api.Job, error) {
	// BodyRaw does not decompress, which would get around the bound on the body.
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

func (s *Server) query(c fiber.Ctx) error {
	wait, err := s.waitTime(c)
	if err != nil {
		return s.reply(c, undecided(jobID(c), err))
	}
	if wait == 0 {
		return s.ask(c, message.OpStatus, s.cfg.ReplyBound)
	}
	return s.ask(c, message.OpWait, wait)
}

func (s *Server) cancelJob(c fiber.Ctx) error {
	return s.ask(c, message.OpCancel, s.cfg.ReplyBound)
}

// ask carries out an operation on a job that was submitted before.
func (s *Server) ask(c fiber.Ctx, operation message.Operation, limit time.Duration) error {
	job := api.Job{ID: jobID(c), Workspace: strings.Clone(c.Query("workspace"))}
	if err := s.authorize(c, job.Workspace); err != nil {
		return s.reply(c, undecided(job.ID, err))
	}
	if !s.enter() {
		return s.reply(c, undecided(job.ID, overloaded()))
	}
	defer s.leave()
	return s.do(c, operation, job, limit)
}

// jobID copies the id, because fiber reuses the memory of the request.
func jobID(c fiber.Ctx) string {
	id := strings.Clone(c.Params("id"))
	if plain, err := url.PathUnescape(id); err == nil {
		return plain
	}
	return id
}

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

func (s *Server) do(c fiber.Ctx, operation message.Operation, job api.Job, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	answer, err := s.cfg.Backend.Do(ctx, operation, job)
	switch {
	case err == nil:
	case ctx.Err() != nil:
		answer = undecided(job.ID, waitEnded(job))
	default:
		answer = undecided(job.ID, err)
	}
	return s.reply(c, answer)
}

// waitEnded explains how to learn the outcome after the wait for it ended.
func waitEnded(job api.Job) error {
	remedy := "give the next job an id or a key, so that its outcome can be asked for"
	switch {
	case job.ID != "":
		remedy = "ask the status with GET /v1/jobs/" + job.ID
	case job.Key != "":
		remedy = "submit the job again with the same key"
	}
	return fault.New(fault.Unavailable, "the wait ended before the outcome was known", remedy)
}

// undecided returns an answer that claims nothing about the job.
func undecided(id string, err error) api.Answer {
	return api.Answer{JobID: id, Outcome: api.OutcomeUnknown, Error: fault.As(err)}
}

func overloaded() error {
	e := fault.New(fault.QueueFull, "too many requests wait for an answer", "try again later")
	e.RetryAfterMS = overloadRetryMS
	return e
}

func (s *Server) enter() bool {
	select {
	case s.waiting <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Server) leave() { <-s.waiting }

func (s *Server) authorize(c fiber.Ctx, workspace string) error {
	if workspace == "" {
		return fault.New(fault.Unauthorized, "the workspace is missing", "name the workspace, and send its token in the header Authorization: Bearer")
	}
	// A workspace without a token hash is open, so a missing token is for the backend
	// to judge.
	header := c.Get(fiber.HeaderAuthorization)
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok && header != "" {
		return fault.New(fault.Unauthorized, "the header Authorization has no bearer token", "send the header Authorization: Bearer with the workspace's token")
	}
	return s.cfg.Backend.Authorize(strings.Clone(token), strings.Clone(workspace))
}

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
	if s.drain.Load() {
		c.RequestCtx().SetConnectionClose()
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Status(status).Response().SetBodyRaw(body)
	return nil
}

// reportError answers requests that reached no handler. Only a submission is
// not_run then; other requests prove nothing about their job.
func (s *Server) reportError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	e := fault.As(err)
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
		e = describe(known)
	}
	answer := api.Answer{Outcome: api.OutcomeUnknown, Error: e}
	if c.Method() == fiber.MethodPost && status < fiber.StatusInternalServerError {
		answer.Outcome = api.OutcomeNotRun
	}
	return s.replyWith(c, status, answer)
}

func describe(e *fiber.Error) *fault.Error {
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
