package caller

import (
	"context"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"go.uber.org/zap"
)

// JobService executes the operations that callers request. Its methods are called
// concurrently, and their errors are *fault.Error.
type JobService interface {
	// Execute performs one operation. A refusal is an answer with outcome not_run. An
	// error means that there is no answer; the caller then receives outcome
	// unknown. Execute returns soon after ctx has ended. For operations other than
	// submit, only ID and Workspace of the job are set.
	Execute(ctx context.Context, operation message.Operation, job api.Job) (api.Answer, error)
	// MintID returns a new job ID of this process.
	MintID() (string, error)
	// Authorize returns an error of kind Unauthorized if the token does not belong to
	// the workspace.
	Authorize(token string, workspace string) error
}

// Defaults of Config.
const (
	// DefaultMaxBodyBytes allows 64 KiB for the other fields of a job with the largest
	// payload.
	DefaultMaxBodyBytes   = api.MaxPayloadBytes + 64<<10
	DefaultMaxHeaderBytes = 8 << 10
	DefaultMaxConnections = 8192
	DefaultMaxWaiting     = 4096
	DefaultDeadline       = 60 * time.Second
	DefaultAnswerGrace    = 2 * time.Minute
	DefaultMaxWait        = time.Minute
	DefaultReplyTimeout   = 30 * time.Second
)

// Config configures a Server. Zero values select the defaults.
type Config struct {
	JobService JobService
	// MaxBodyBytes and MaxHeaderBytes limit the size of one request.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// MaxConnections limits the open connections, and MaxWaiting the concurrent
	// calls of JobService.Execute.
	MaxConnections int
	MaxWaiting     int
	// Deadline is the deadline that the server assumes for a job without one when it
	// computes how long to wait for the answer.
	Deadline time.Duration
	// AnswerGrace is how long the server waits for the answer to a submission beyond
	// the deadline and the declared run time of the job.
	AnswerGrace time.Duration
	// MaxWait is the longest wait of a status request; a longer wait_ms is reduced.
	MaxWait time.Duration
	// ReplyTimeout is the timeout of operations that do not wait for a task.
	ReplyTimeout time.Duration
	// Logger logs one line per failed request, at debug level because overload
	// consists mostly of refusals; nil discards them.
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.MaxWaiting, DefaultMaxWaiting)
	setDefault(&c.Deadline, DefaultDeadline)
	setDefault(&c.AnswerGrace, DefaultAnswerGrace)
	setDefault(&c.MaxWait, DefaultMaxWait)
	setDefault(&c.ReplyTimeout, DefaultReplyTimeout)
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

func setDefault[T int | time.Duration](value *T, def T) {
	if *value == 0 {
		*value = def
	}
}

// submitTimeout returns how long the server waits for the answer to a submission.
func (c Config) submitTimeout(job api.Job) time.Duration {
	if job.Kind.Logged() {
		return c.ReplyTimeout
	}
	deadline := job.Deadline()
	if deadline == 0 {
		deadline = c.Deadline
	}
	limit := deadline + time.Duration(job.RunTimeMS)*time.Millisecond + c.AnswerGrace
	return min(max(limit, c.AnswerGrace), maxSubmitTimeout)
}

// maxSubmitTimeout limits the wait of a job with a late deadline, because every
// waiting request occupies a connection.
const maxSubmitTimeout = time.Hour
