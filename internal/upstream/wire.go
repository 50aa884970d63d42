package upstream

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// InlineAnswerBytes is the longest answer that a worker sends inside an event
// or a listing; longer ones are fetched in ranges.
const InlineAnswerBytes = 64 << 10

// Paths of the worker API. The paths of a task continue with an action.
const (
	PathLease   = "/v1/lease"
	PathPoll    = "/v1/poll"
	PathTasks   = "/v1/tasks"
	PathAck     = "/v1/ack"
	PathRelease = "/v1/release"
)

// Command is what a worker can be told about a running task.
type Command string

// Commands to workers.
const (
	Throttle   Command = "throttle"
	Checkpoint Command = "checkpoint"
	Stop       Command = "stop"
)

// LeaseRequest asks for a worker's lease.
type LeaseRequest struct {
	Holder string `json:"holder"`
	TTLMS  int64  `json:"ttl_ms"`
	// TaskTTLMS is the length of the leases of running tasks, in milliseconds;
	// 0 takes the worker's default.
	TaskTTLMS int64 `json:"task_ttl_ms,omitempty"`
}

// LeaseRefusal is the 409 response to a LeaseRequest while a lease is in force.
type LeaseRefusal struct {
	fault.Error
	Holder      string `json:"holder"`
	RemainingMS int64  `json:"remaining_ms"`
}

// PollRequest renews the lease and asks for events after a sequence number.
type PollRequest struct {
	Epoch uint64 `json:"epoch"`
	// After is the sequence number of the last event received. Sequence numbers
	// count from 1 in each epoch; the grant's listing covers what came before.
	After     uint64 `json:"after"`
	WaitMS    int64  `json:"wait_ms"` // longest wait for an ended task
	TTLMS     int64  `json:"ttl_ms"`  // of the worker's lease
	TaskTTLMS int64  `json:"task_ttl_ms,omitempty"`
}

// PollResponse carries events in order.
type PollResponse struct {
	Events []Event `json:"events"`
}

// Event is an ended task or a usage report. Usage reports do not end the wait
// of a poll, so that an idle worker costs one request per renewal.
type Event struct {
	Sequence uint64          `json:"sequence"`
	Ended    *api.TaskReport `json:"ended,omitempty"`
	Usage    []Usage         `json:"usage,omitempty"`
}

// Usage is the lagging measured use of one running task.
type Usage struct {
	Attempt api.AttemptID `json:"attempt"`
	Used    api.Resources `json:"used"`
}

// StartRequest starts an attempt.
type StartRequest struct {
	Epoch uint64 `json:"epoch"`
	api.TaskSpec
}

// StartResponse is the state of the attempt after the request.
type StartResponse struct {
	State api.TaskState `json:"state"`
}

// EpochRequest is the body of the requests that carry only an epoch.
type EpochRequest struct {
	Epoch uint64 `json:"epoch"`
}

// AckRequest lets the worker forget ended attempts.
type AckRequest struct {
	Epoch    uint64          `json:"epoch"`
	Attempts []api.AttemptID `json:"attempts"`
}

// HeldError is the cause inside the Conflict fault of a refused lease.
type HeldError struct {
	Holder    string
	Remaining time.Duration
}

// Error names the holder and the remaining time.
func (e *HeldError) Error() string {
	return fmt.Sprintf("%s holds the lease for another %s", e.Holder, e.Remaining)
}

func taskPath(a api.AttemptID, action string) string {
	return PathTasks + "/" + url.PathEscape(a.Job) + "/" + strconv.Itoa(a.Task) + "/" +
		strconv.Itoa(a.Number) + "/" + action
}
