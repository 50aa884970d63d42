package core

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// Event is one of the types below.
type Event interface{ isEvent() }

// Tick lets time pass. The driver sends it every TickInterval.
type Tick struct{}

// TickInterval is the pause between two Tick events.
const TickInterval = 50 * time.Millisecond

// BundleChanged puts a bundle in force. The first one makes the core ready.
type BundleChanged struct {
	Roll   uint64
	Bundle bundle.Bundle
}

// VMsChanged carries changes of the platform's VM list.
type VMsChanged struct {
	VMs  []api.VM
	Full bool // VMs not listed no longer exist
}

// PeerUp reports a working link to an entry process.
type PeerUp struct {
	Ref    api.EntryRef
	Domain string
}

// PeerDown reports that an entry process is down or cut off.
type PeerDown struct{ Ref api.EntryRef }

// PeerMessage carries a message from an entry process.
type PeerMessage struct {
	From    api.EntryRef
	Message message.Message
}

// LeaseGranted answers AcquireLease.
type LeaseGranted struct{ Grant api.Grant }

// LeaseRefused answers AcquireLease when another process holds the lease or
// the worker does not answer.
type LeaseRefused struct {
	Worker    string
	Holder    string // empty if the worker does not answer
	Remaining time.Duration
}

// LeaseLost reports that a lease was not renewed in time or was superseded.
type LeaseLost struct {
	Worker string
	Epoch  uint64
}

// LeaseReleased answers ReleaseLease.
type LeaseReleased struct {
	Worker string
	Epoch  uint64
}

// TaskStarted answers StartTask: the worker runs the attempt.
type TaskStarted struct {
	Worker  string
	Epoch   uint64
	Attempt api.AttemptID
}

// TaskStartRefused answers StartTask: the attempt is proved not to have
// started. Reason is a *fault.Error.
type TaskStartRefused struct {
	Worker  string
	Epoch   uint64
	Attempt api.AttemptID
	Reason  error
}

// TaskEnded reports an ended task with its whole answer.
type TaskEnded struct {
	Worker string
	Epoch  uint64
	Report api.TaskReport
}

// TaskUsage reports the lagging measured use of running tasks.
type TaskUsage struct {
	Worker string
	Epoch  uint64
	Used   map[api.AttemptID]api.Resources
}

// CallerRequest is an operation of a caller. Every request is answered by one
// AnswerCaller with the same token, unless CallerGone comes first.
type CallerRequest struct {
	Token     uint64
	Operation message.Operation
	// Job is whole for submit. For the other operations only ID and Workspace are
	// set. An empty ID on submit lets the core mint one.
	Job api.Job
}

// CallerGone withdraws a token: the caller's wait ended or its connection broke.
type CallerGone struct{ Token uint64 }

// RecordRead is the next record of the work stream, in order of offsets.
type RecordRead struct {
	Offset uint64
	Record record.Record
}

// LogCaughtUp reports that the tail of the work stream has reached its end once.
type LogCaughtUp struct{}

// LogGap reports that the log dropped records before this process read them. The
// core stops as after StopRequested, because it no longer knows its logged jobs.
type LogGap struct{}

// LogState reports whether the platform's log answers.
type LogState struct{ Up bool }

// LogRetention reports how long the platform's log keeps records.
type LogRetention struct{ Retention time.Duration }

// StopRequested starts a graceful shutdown.
type StopRequested struct{}

func (Tick) isEvent()             {}
func (BundleChanged) isEvent()    {}
func (VMsChanged) isEvent()       {}
func (PeerUp) isEvent()           {}
func (PeerDown) isEvent()         {}
func (PeerMessage) isEvent()      {}
func (LeaseGranted) isEvent()     {}
func (LeaseRefused) isEvent()     {}
func (LeaseLost) isEvent()        {}
func (LeaseReleased) isEvent()    {}
func (TaskStarted) isEvent()      {}
func (TaskStartRefused) isEvent() {}
func (TaskEnded) isEvent()        {}
func (TaskUsage) isEvent()        {}
func (CallerRequest) isEvent()    {}
func (CallerGone) isEvent()       {}
func (RecordRead) isEvent()       {}
func (LogCaughtUp) isEvent()      {}
func (LogGap) isEvent()           {}
func (LogState) isEvent()         {}
func (LogRetention) isEvent()     {}
func (StopRequested) isEvent()    {}
