package caller

import (
	"context"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"go.uber.org/zap"
)

// Backend carries out what callers ask for. Its methods are called concurrently
// and return errors as *fault.Error.
type Backend interface {
	// Do carries out one operation. A refusal is an answer with outcome not_run.
	// An error means that there is no answer, and the caller receives unknown. Do
	// returns soon after ctx has ended. For operations other than submit only ID
	// and Workspace of the job are set.
	Do(ctx context.Context, operation message.Operation, job api.Job) (api.Answer, error)
	// MintID returns a new job id of this process.
	MintID() (string, error)
	// Authorize returns an error of kind Unauthorized if the token is not the workspace's.
	Authorize(token string, workspace string) error
}

// Defaults of Config.
const (
	// DefaultMaxBodyBytes leaves room for the fields around the largest payload.
	DefaultMaxBodyBytes   = api.MaxPayloadBytes + 64<<10
	DefaultMaxHeaderBytes = 8 << 10
	DefaultMaxConnections = 8192
	DefaultMaxWaiting     = 4096
	DefaultDeadline       = 60 * time.Second
	DefaultAnswerBound    = 2 * time.Minute
	DefaultMaxWait        = time.Minute
	DefaultReplyBound     = 30 * time.Second
)

// Config bounds the server. Zero values take the defaults.
type Config struct {
	Backend Backend
	// MaxBodyBytes and MaxHeaderBytes bound one request.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// MaxConnections bounds open connections, MaxWaiting the requests that are
	// in the backend at once.
	MaxConnections int
	MaxWaiting     int
	// Deadline is assumed for a request without a deadline of its own.
	Deadline time.Duration
	// AnswerBound is how long after its deadline and declared run time a request
	// is still waited for.
	AnswerBound time.Duration
	// MaxWait is the longest wait_ms.
	MaxWait time.Duration
	// ReplyBound bounds all operations that wait for no task.
	ReplyBound time.Duration
	// Logger receives one line per failed request at debug level, because a
	// flood is mostly refusals; nil discards them.
	Logger *zap.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.MaxWaiting, DefaultMaxWaiting)
	setDefault(&c.Deadline, DefaultDeadline)
	setDefault(&c.AnswerBound, DefaultAnswerBound)
	setDefault(&c.MaxWait, DefaultMaxWait)
	setDefault(&c.ReplyBound, DefaultReplyBound)
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

func setDefault[T int | time.Duration](value *T, standard T) {
	if *value == 0 {
		*value = standard
	}
}

// answerTime returns how long a caller's submission is waited for.
func (c Config) answerTime(job api.Job) time.Duration {
	if job.Kind.Logged() {
		return c.ReplyBound
	}
	deadline := job.Deadline()
	if deadline == 0 {
		deadline = c.Deadline
	}
	limit := deadline + time.Duration(job.RunTimeMS)*time.Millisecond + c.AnswerBound
	return min(max(limit, c.AnswerBound), maxAnswerTime)
}

// maxAnswerTime bounds what a caller can ask for with a far deadline, because
// every waiting request holds a connection.
const maxAnswerTime = time.Hour
