package core

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

// Tick triggers the work that depends on time only. Package node sends it every
// TickInterval.
type Tick struct{}

// TickInterval is the interval between two Tick events.
const TickInterval = 50 * time.Millisecond

// BundleChanged puts a bundle in force. The first one makes the core ready.
type BundleChanged struct {
	Roll   uint64
	Bundle bundle.Bundle
}

// VMsChanged reports changes in the platform's VM list.
type VMsChanged struct {
	VMs  []api.VM
	Full bool // VMs not listed no longer exist
}

// PeerUp reports that the link to another entry process works.
type PeerUp struct {
	Ref    api.EntryRef
	Domain string
}

// PeerDown reports that another entry process is down or unreachable.
type PeerDown struct{ Ref api.EntryRef }

// PeerMessage is a message from another entry process.
type PeerMessage struct {
	From    api.EntryRef
	Message message.Message
}

// LeaseGranted is the result of an AcquireLease that succeeded.
type LeaseGranted struct{ Grant api.Grant }

// LeaseRefused is the result of an AcquireLease when another process holds the
// lease or the worker does not answer.
type LeaseRefused struct {
	Worker    string
	Holder    string        // empty if the worker does not answer
	Remaining time.Duration // until the holder's lease expires
}

// LeaseLost reports that a lease was not renewed in time or was superseded.
type LeaseLost struct {
	Worker string
	Epoch  uint64
}

// LeaseReleased is the result of ReleaseLease.
type LeaseReleased struct {
	Worker string
	Epoch  uint64
}

// TaskStarted is the result of a StartTask that succeeded: the worker runs the
// attempt.
type TaskStarted struct {
	Worker  string
	Epoch   uint64
	Attempt api.AttemptID
}

// TaskStartRefused is the result of a StartTask that certainly did not start the
// attempt. Reason is a *fault.Error.
type TaskStartRefused struct {
	Worker  string
	Epoch   uint64
	Attempt api.AttemptID
	Reason  error
}

// TaskEnded reports the end of an attempt with its complete answer.
type TaskEnded struct {
	Worker string
	Epoch  uint64
	Report api.TaskReport
}

// TaskUsage reports the measured resource use of running attempts. The figures lag
// behind the actual use.
type TaskUsage struct {
	Worker string
	Epoch  uint64
	Used   map[api.AttemptID]api.Resources
}

// CallerRequest is an operation requested by a caller. Exactly one AnswerCaller with
// the same token follows, unless CallerGone comes first.
type CallerRequest struct {
	Token     uint64
	Operation message.Operation
	// Job is complete for a submission; if its ID is empty, the core assigns one.
	// For the other operations only ID and Workspace are set.
	Job api.Job
}

// CallerGone reports that the caller behind a token no longer waits: its wait timed
// out or its connection broke.
type CallerGone struct{ Token uint64 }

// RecordRead is the next record of the work stream. Records come in offset order.
type RecordRead struct {
	Offset uint64
	Record record.Record
}

// LogCaughtUp reports that the reader of the work stream has reached its end for the
// first time.
type LogCaughtUp struct{}

// LogGap reports that the log dropped records before this process read them. The
// state of logged jobs is then unknown, so the core stops as after StopRequested.
type LogGap struct{}

// LogState reports whether the platform's log is available.
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
