package upstream

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// InlineAnswerBytes is the longest answer that a worker includes in an event or a
// grant. Longer answers are fetched in ranges.
const InlineAnswerBytes = 64 << 10

// Paths of the worker API. The path of a task is PathTasks, the attempt and an
// action.
const (
	PathLease   = "/v1/lease"
	PathPoll    = "/v1/poll"
	PathTasks   = "/v1/tasks"
	PathAck     = "/v1/ack"
	PathRelease = "/v1/release"
)

// Command is a command for a running task.
type Command string

// Commands to workers.
const (
	Throttle   Command = "throttle"
	Checkpoint Command = "checkpoint"
	Stop       Command = "stop"
)

// LeaseRequest requests the lease of a worker.
type LeaseRequest struct {
	Holder string `json:"holder"`
	TTLMS  int64  `json:"ttl_ms"` // length of the lease in milliseconds
	// TaskTTLMS is the length of the leases of running tasks, in milliseconds;
	// 0 selects the default of the worker.
	TaskTTLMS int64 `json:"task_ttl_ms,omitempty"`
}

// LeaseRefusal is the 409 response to a LeaseRequest while a lease is in force.
type LeaseRefusal struct {
	fault.Error
	Holder      string `json:"holder"`
	RemainingMS int64  `json:"remaining_ms"` // until the lease expires, in milliseconds
}

// PollRequest renews the lease and requests the events after a sequence number.
type PollRequest struct {
	Epoch uint64 `json:"epoch"`
	// After is the sequence number of the last event received. Sequence numbers
	// start at 1 in each epoch; the grant lists the tasks as of its start.
	After     uint64 `json:"after"`
	WaitMS    int64  `json:"wait_ms"` // longest wait for an ended task, in milliseconds
	TTLMS     int64  `json:"ttl_ms"`  // length of the worker's lease in milliseconds
	TaskTTLMS int64  `json:"task_ttl_ms,omitempty"`
}

// PollResponse holds events in order of their sequence numbers.
type PollResponse struct {
	Events []Event `json:"events"`
}

// Event is an ended task or a usage report. A usage report does not end the wait
// of a poll, so that a worker without ended tasks costs one request per renewal.
type Event struct {
	Sequence uint64          `json:"sequence"`
	Ended    *api.TaskReport `json:"ended,omitempty"`
	Usage    []Usage         `json:"usage,omitempty"`
}

// Usage is the measured use of one running task. The worker reports it with a
// delay.
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

// EpochRequest is the body of requests that contain only an epoch.
type EpochRequest struct {
	Epoch uint64 `json:"epoch"`
}

// AckRequest allows the worker to delete ended attempts.
type AckRequest struct {
	Epoch    uint64          `json:"epoch"`
	Attempts []api.AttemptID `json:"attempts"`
}

// LeaseHeldError is the cause of the Conflict fault of a refused lease.
type LeaseHeldError struct {
	Holder    string
	Remaining time.Duration
}

// Error returns the holder and the remaining time of the lease.
func (e *LeaseHeldError) Error() string {
	return fmt.Sprintf("%s holds the lease for another %s", e.Holder, e.Remaining)
}

// taskPath returns the path of an action on an attempt.
func taskPath(a api.AttemptID, action string) string {
	return PathTasks + "/" + url.PathEscape(a.Job) + "/" + strconv.Itoa(a.Task) + "/" +
		strconv.Itoa(a.Number) + "/" + action
}
