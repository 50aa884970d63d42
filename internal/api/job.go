package api

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Kind determines how a job is run and answered.
type Kind string

// Kinds of jobs. All but requests are stored in the log and run later.
const (
	KindRequest Kind = "request" // synchronous, one task
	KindBatch   Kind = "batch"   // tasks run independently
	KindGang    Kind = "gang"    // either all tasks start or none
	KindService Kind = "service" // tasks run until the job is cancelled
)

// Logged reports whether jobs of the kind are stored in the platform's log.
func (k Kind) Logged() bool { return k == KindBatch || k == KindGang || k == KindService }

// Job is a job that a caller submits.
type Job struct {
	ID         string    `json:"id" cbor:"1,keyasint"`
	Workspace  string    `json:"workspace" cbor:"2,keyasint"`
	Class      string    `json:"class" cbor:"3,keyasint"`
	Kind       Kind      `json:"kind" cbor:"4,keyasint"`
	Idempotent bool      `json:"idempotent" cbor:"5,keyasint,omitempty"`
	Key        string    `json:"key,omitempty" cbor:"6,keyasint,omitempty"` // the caller's idempotency key, unique per workspace
	Tasks      int       `json:"tasks" cbor:"7,keyasint"`
	Resources  Resources `json:"resources" cbor:"8,keyasint"` // of each task
	// RunTimeMS is the declared run time of a task in milliseconds; 0 if unknown.
	RunTimeMS int64 `json:"run_time_ms,omitempty" cbor:"9,keyasint,omitempty"`
	// DeadlineMS is the time in milliseconds from submission within which the job must
	// start. If it is 0, a request has the deadline of its class and other jobs have
	// none.
	DeadlineMS int64 `json:"deadline_ms,omitempty" cbor:"10,keyasint,omitempty"`
	// Payload is passed unchanged to every task.
	Payload json.RawMessage `json:"payload,omitempty" cbor:"11,keyasint,omitempty"`
}

// Limits of a job, which keep memory use and log records small.
const (
	MaxTasks        = 1000
	MaxPayloadBytes = 256 << 10
	MaxKeyBytes     = 128
)

// Check returns an Invalid fault about the first field that is not valid, or nil.
func (j *Job) Check() error {
	switch {
	case j.Class == "":
		return invalid("class", "is empty", "name a class of the bundle")
	case j.Kind != KindRequest && !j.Kind.Logged():
		return invalid("kind", fmt.Sprintf("%q is unknown", j.Kind), "use request, batch, gang or service")
	case j.Tasks < 1 || j.Tasks > MaxTasks:
		return invalid("tasks", fmt.Sprintf("is %d", j.Tasks), fmt.Sprintf("use 1 to %d", MaxTasks))
	case j.Kind == KindRequest && j.Tasks != 1:
		return invalid("tasks", fmt.Sprintf("is %d for a request", j.Tasks), "use 1, or kind batch or gang")
	case len(j.Payload) > MaxPayloadBytes:
		return invalid("payload", fmt.Sprintf("has %d bytes", len(j.Payload)), fmt.Sprintf("use at most %d bytes", MaxPayloadBytes))
	case len(j.Key) > MaxKeyBytes:
		return invalid("key", fmt.Sprintf("has %d bytes", len(j.Key)), fmt.Sprintf("use at most %d bytes", MaxKeyBytes))
	case j.RunTimeMS < 0:
		return invalid("run_time_ms", "is negative", "use 0 for unknown or a time in milliseconds")
	case j.DeadlineMS < 0:
		return invalid("deadline_ms", "is negative", "use 0 for the class's deadline or a time in milliseconds")
	}
	if d, negative := j.Resources.Negative(); negative {
		return invalid("resources."+d.String(), "is negative", "use 0 or more")
	}
	return nil
}

// invalid returns an Invalid fault about a field.
func invalid(field, problem, remedy string) error {
	return fault.New(fault.Invalid, fmt.Sprintf("field %s %s", field, problem), remedy)
}

// Deadline returns the time from submission within which the job must start,
// or 0 for none.
func (j *Job) Deadline() time.Duration { return time.Duration(j.DeadlineMS) * time.Millisecond }

// EntryRef identifies an incarnation of an entry process, that is, one run of it from
// start to end.
type EntryRef struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
}

// String returns "name.incarnation" with the incarnation in hexadecimal.
func (e EntryRef) String() string {
	return e.Name + "." + strconv.FormatUint(e.Incarnation, 16)
}

// NewJobID returns a job ID that names the entry process that minted it.
func NewJobID(e EntryRef, sequence uint64) string {
	return e.String() + "." + strconv.FormatUint(sequence, 10)
}

// ParseJobID returns the entry process that minted id, or an Invalid error if id does
// not have the form of NewJobID.
func ParseJobID(id string) (EntryRef, error) {
	head, _, ok := cutLast(id)
	name, incarnation, ok2 := cutLast(head)
	number, err := strconv.ParseUint(incarnation, 16, 64)
	if !ok || !ok2 || err != nil || name == "" {
		return EntryRef{}, invalid("id", fmt.Sprintf("%q was not minted by an entry process", id), "mint an ID first or leave the field out")
	}
	return EntryRef{Name: name, Incarnation: number}, nil
}

// cutLast cuts s around the last dot; if there is none, ok is false.
func cutLast(s string) (head, tail string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", s, false
	}
	return s[:i], s[i+1:], true
}

// AttemptID identifies an attempt to run a task of a job.
type AttemptID struct {
	Job    string `json:"job" cbor:"1,keyasint"`
	Task   int    `json:"task" cbor:"2,keyasint"`
	Number int    `json:"number" cbor:"3,keyasint"`
}

// String returns "job/task/number".
func (a AttemptID) String() string {
	return a.Job + "/" + strconv.Itoa(a.Task) + "/" + strconv.Itoa(a.Number)
}

// ParseAttemptID parses the form of AttemptID.String. It returns an Invalid error if s
// is malformed.
func ParseAttemptID(s string) (AttemptID, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 {
		return AttemptID{}, invalid("attempt", fmt.Sprintf("%q is malformed", s), "use job/task/number")
	}
	task, err1 := strconv.Atoi(parts[1])
	number, err2 := strconv.Atoi(parts[2])
	if err1 != nil || err2 != nil {
		return AttemptID{}, invalid("attempt", fmt.Sprintf("%q is malformed", s), "use job/task/number")
	}
	return AttemptID{Job: parts[0], Task: task, Number: number}, nil
}
