package core

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// Action is one of the types below. Drivers carry actions out and report back
// by events.
type Action interface{ isAction() }

// AcquireLease asks a worker for its lease; answered by LeaseGranted or
// LeaseRefused. Once granted, the driver polls the worker every Renew, which
// renews the lease, until LeaseLost or ReleaseLease.
type AcquireLease struct {
	Worker    string
	Address   string
	Lease     time.Duration
	TaskLease time.Duration
	Renew     time.Duration
}

// ReleaseLease gives a lease back; answered by LeaseReleased.
type ReleaseLease struct {
	Worker string
	Epoch  uint64
}

// StartTask starts an attempt on a held worker. The driver repeats it until the
// worker answers or the lease is lost; answered by TaskStarted or
// TaskStartRefused, or by neither if the lease is lost first.
type StartTask struct {
	Worker string
	Epoch  uint64
	Spec   api.TaskSpec
}

// TaskCommand is what a worker can be told about a running task.
type TaskCommand string

// Commands to workers.
const (
	CommandThrottle   TaskCommand = "throttle"
	CommandCheckpoint TaskCommand = "checkpoint"
	CommandStop       TaskCommand = "stop"
)

// ControlTask sends a command for a running attempt. The driver repeats it until
// the worker answers or the lease is lost. A stopped or checkpointed attempt is
// reported by TaskEnded.
type ControlTask struct {
	Worker  string
	Epoch   uint64
	Attempt api.AttemptID
	Command TaskCommand
}

// AcknowledgeTasks lets a worker forget ended attempts. The driver repeats it
// until the worker answers or the lease is lost.
type AcknowledgeTasks struct {
	Worker   string
	Epoch    uint64
	Attempts []api.AttemptID
}

// Send passes a message to an entry process. It is dropped if the link to that
// incarnation is down.
type Send struct {
	To      api.EntryRef
	Message message.Message
	// Urgent selects the urgent connection.
	Urgent bool
}

// Append adds records to the work stream, in order. It counts when RecordRead
// brings the records back; the driver repeats it until then.
type Append struct{ Records []record.Record }

// AnswerCaller answers a CallerRequest.
type AnswerCaller struct {
	Token  uint64
	Answer api.Answer
}

// LogEvent writes one line to the process's log.
type LogEvent struct {
	Event  string
	Fields []Field
}

// Field is a key and its value in a LogEvent.
type Field struct{ Key, Value string }

// Stopped reports that nothing is in progress after StopRequested and all
// leases are released; the process may exit.
type Stopped struct{}

func (AcquireLease) isAction()     {}
func (ReleaseLease) isAction()     {}
func (StartTask) isAction()        {}
func (ControlTask) isAction()      {}
func (AcknowledgeTasks) isAction() {}
func (Send) isAction()             {}
func (Append) isAction()           {}
func (AnswerCaller) isAction()     {}
func (LogEvent) isAction()         {}
func (Stopped) isAction()          {}
