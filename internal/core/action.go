package core

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// Action is something that a driver of package node has to do. Drivers report the
// result in events.
type Action interface{ isAction() }

// AcquireLease requests the lease of a worker. The result is LeaseGranted or
// LeaseRefused. After a grant, the driver renews the lease by polling the worker
// every RenewInterval, until LeaseLost or ReleaseLease.
type AcquireLease struct {
	Worker        string
	Address       string
	Lease         time.Duration // length of the lease
	TaskLease     time.Duration // length of the leases of the worker's tasks
	RenewInterval time.Duration
}

// ReleaseLease releases a lease. The result is LeaseReleased.
type ReleaseLease struct {
	Worker string
	Epoch  uint64
}

// StartTask starts an attempt on a held worker. The driver repeats it until the
// worker answers or the lease is lost. The result is TaskStarted or
// TaskStartRefused, or neither if the lease is lost first.
type StartTask struct {
	Worker string
	Epoch  uint64
	Spec   api.TaskSpec
}

// TaskCommand is a command for a running attempt.
type TaskCommand string

// Commands that a worker accepts for a running attempt.
const (
	CommandThrottle   TaskCommand = "throttle"
	CommandCheckpoint TaskCommand = "checkpoint"
	CommandStop       TaskCommand = "stop"
)

// ControlTask sends a command for a running attempt to its worker. The driver
// repeats it until the worker answers or the lease is lost. TaskEnded reports the
// end of a stopped or checkpointed attempt.
type ControlTask struct {
	Worker  string
	Epoch   uint64
	Attempt api.AttemptID
	Command TaskCommand
}

// AcknowledgeTasks allows a worker to drop its reports on ended attempts. The driver
// repeats it until the worker answers or the lease is lost.
type AcknowledgeTasks struct {
	Worker   string
	Epoch    uint64
	Attempts []api.AttemptID
}

// Send sends a message to another entry process. The message is dropped if the link
// to that incarnation is down.
type Send struct {
	To      api.EntryRef
	Message message.Message
	// Urgent selects the urgent connection of the link instead of the bulk one.
	Urgent bool
}

// Append appends records to the work stream, in order. They take effect when
// RecordRead returns them; the driver repeats the append until then.
type Append struct{ Records []record.Record }

// AnswerCaller answers the CallerRequest that has the same token.
type AnswerCaller struct {
	Token  uint64
	Answer api.Answer
}

// LogEvent writes one line to the log of the process.
type LogEvent struct {
	Event  string
	Fields []Field
}

// Field is a key and its value in a LogEvent line.
type Field struct{ Key, Value string }

// Stopped reports that the shutdown is complete: no request is in progress and no
// lease is held. The process may exit.
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
