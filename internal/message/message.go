// Package message defines the messages between entry processes: package core creates
// and handles them, package peer carries them, and package caller uses the operations
// of callers. It contains only types and imports the api and fault packages.
//
// The holder of a worker is the entry process that holds the worker's lease, and the
// coordinator of a job is the one that decides when and where its tasks run. In package
// cell, "holder" means the process that owns a cell.
package message

import (
	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Message is implemented by the message types of this package.
type Message interface{ isMessage() }

// Summary is the state that a process sends with its heartbeats.
type Summary struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Stopping bool   `cbor:"2,keyasint,omitempty"`
	Roll     uint64 `cbor:"3,keyasint"` // number of the roll in force, 0 for none
	Held     int    `cbor:"4,keyasint"` // workers held
	// Capacity is the sum over the held workers that accept new work.
	Capacity api.Resources `cbor:"5,keyasint"`
	// Free and Largest are the sum and the largest of the free amounts per dimension,
	// over the workers on which a task can currently be placed.
	Free    api.Resources `cbor:"6,keyasint"`
	Largest api.Resources `cbor:"7,keyasint"`
	// FreeByClass is the amount that each class may still use under the floors and
	// ceilings.
	FreeByClass map[string]api.Resources `cbor:"8,keyasint,omitempty"`
}

// WorkspaceUse reports the resources used per workspace by tasks that the sender
// coordinates. It is separate from the heartbeat, because with many workspaces it is
// much longer, and it is needed only for quotas.
type WorkspaceUse struct {
	// Use holds the workspaces whose use has changed; zero means that the workspace
	// uses nothing any more.
	Use map[string]api.Resources `cbor:"1,keyasint"`
	// Full is set in the first message on a link: workspaces that are missing in Use
	// use nothing.
	Full bool `cbor:"2,keyasint,omitempty"`
}

// Reserve asks a holder to reserve resources for attempts of one job. It starts nothing.
type Reserve struct {
	Attempts []api.AttemptID `cbor:"1,keyasint"`
	Spec     api.TaskSpec    `cbor:"2,keyasint"` // attempt and payload unset
	// AllOrNone makes the holder refuse all attempts unless every one fits.
	AllOrNone bool `cbor:"3,keyasint,omitempty"`
	// TTLMS is the lifetime of the reservation in milliseconds.
	TTLMS int64 `cbor:"4,keyasint"`
	// Preempt allows the holder to preempt less urgent tasks if the attempts do not fit.
	Preempt bool `cbor:"5,keyasint,omitempty"`
}

// Placement is the worker and the lease on which an attempt is reserved.
type Placement struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Worker  string        `cbor:"2,keyasint"`
	Epoch   uint64        `cbor:"3,keyasint"` // of the worker's lease
	Boot    uint64        `cbor:"4,keyasint"` // changes when the worker restarts
}

// Reserved answers Reserve. Attempts without a placement were not reserved.
type Reserved struct {
	Placements []Placement `cbor:"1,keyasint"`
	// Refused lists the attempts that did not fit.
	Refused []api.AttemptID `cbor:"2,keyasint,omitempty"`
	// Reason is set if any attempt was refused.
	Reason *fault.Error `cbor:"3,keyasint,omitempty"`
}

// Release releases reservations that will not be committed.
type Release struct {
	Attempts []api.AttemptID `cbor:"1,keyasint"`
}

// Commit asks the holder to start a reserved attempt.
type Commit struct {
	Placement Placement `cbor:"1,keyasint"`
	Payload   []byte    `cbor:"2,keyasint,omitempty"`
}

// Started reports that the worker runs the attempt.
type Started struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
}

// StartRefused reports that a committed attempt did not start and never will.
type StartRefused struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Reason  *fault.Error  `cbor:"2,keyasint"`
}

// Ended reports the end of an attempt with the whole answer. The holder repeats it until
// the coordinator acknowledges it.
type Ended struct {
	Report api.TaskReport `cbor:"1,keyasint"`
}

// Acknowledge confirms that the coordinator has processed the end of attempts, so that
// the worker may drop their results.
type Acknowledge struct {
	Attempts []api.AttemptID `cbor:"1,keyasint"`
}

// CancelAttempt asks the holder to stop an attempt or to release its reservation.
type CancelAttempt struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Worker  string        `cbor:"2,keyasint"`
}

// LeaseAcquired announces that the sender has acquired the lease of a worker. A receiver
// sends QueryAttempt for its attempts under earlier leases of the worker. Tasks is not
// used at present.
type LeaseAcquired struct {
	Worker string           `cbor:"1,keyasint"`
	Epoch  uint64           `cbor:"2,keyasint"`
	Boot   uint64           `cbor:"3,keyasint"`
	Tasks  []api.TaskReport `cbor:"4,keyasint,omitempty"`
}

// QueryAttempt asks the holder of a worker for the state of an attempt of a job that the
// sender coordinates. If the attempt runs, the holder makes the sender its coordinator;
// otherwise it voids the attempt, so that a late Commit is refused.
type QueryAttempt struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Worker  string        `cbor:"2,keyasint"`
	// Epoch is the highest epoch of the worker's lease seen by the sender, and at least
	// that of the attempt. A receiver whose lease is older answers not_held.
	Epoch uint64 `cbor:"3,keyasint"`
	Boot  uint64 `cbor:"4,keyasint"`
	// CoordinatorOffset is the offset of the record that made the sender the
	// coordinator, 0 for an unlogged job. The sender does not replace a coordinator with
	// a higher offset.
	CoordinatorOffset uint64 `cbor:"5,keyasint,omitempty"`
}

// AttemptStatus is the status of a queried attempt at its holder.
type AttemptStatus string

// Statuses of a queried attempt.
const (
	AttemptRunning AttemptStatus = "running"
	AttemptVoid    AttemptStatus = "void"     // has not started and never will
	AttemptLost    AttemptStatus = "lost"     // the worker has restarted; the attempt may have run
	AttemptNotHeld AttemptStatus = "not_held" // the receiver does not hold the worker
)

// AttemptState answers QueryAttempt, unless the attempt has ended: then the holder sends
// Ended. A holder that loses a worker's lease sends AttemptState with status not_held
// without a query.
type AttemptState struct {
	Attempt   api.AttemptID `cbor:"1,keyasint"`
	Status    AttemptStatus `cbor:"2,keyasint"`
	Placement Placement     `cbor:"3,keyasint"`
}

// Forward passes a caller's request on to the entry process that minted the job's ID or
// claimed its key.
type Forward struct {
	RequestID uint64    `cbor:"1,keyasint"` // identifies the request in ForwardAnswer
	Job       api.Job   `cbor:"2,keyasint"`
	Operation Operation `cbor:"3,keyasint"`
	WaitMS    int64     `cbor:"4,keyasint,omitempty"` // not used at present
}

// Operation is the operation that a caller requests.
type Operation string

// Operations of callers.
const (
	OpSubmit Operation = "submit"
	OpStatus Operation = "status"
	OpWait   Operation = "wait"
	OpCancel Operation = "cancel"
)

// ForwardAnswer answers Forward.
type ForwardAnswer struct {
	RequestID uint64     `cbor:"1,keyasint"`
	Answer    api.Answer `cbor:"2,keyasint"`
}

// FetchRoll asks a peer for the roll in force and its bundle sections.
type FetchRoll struct{}

// Roll answers FetchRoll with the records of bundle.Chain.Records.
type Roll struct {
	Records [][]byte `cbor:"1,keyasint"`
}

// HandOver notifies the preferred holder of workers that the sender has released their
// leases.
type HandOver struct {
	Workers []string `cbor:"1,keyasint"`
}

func (Summary) isMessage()       {}
func (WorkspaceUse) isMessage()  {}
func (Reserve) isMessage()       {}
func (Reserved) isMessage()      {}
func (Release) isMessage()       {}
func (Commit) isMessage()        {}
func (Started) isMessage()       {}
func (StartRefused) isMessage()  {}
func (Ended) isMessage()         {}
func (Acknowledge) isMessage()   {}
func (CancelAttempt) isMessage() {}
func (LeaseAcquired) isMessage() {}
func (QueryAttempt) isMessage()  {}
func (AttemptState) isMessage()  {}
func (Forward) isMessage()       {}
func (ForwardAnswer) isMessage() {}
func (FetchRoll) isMessage()     {}
func (Roll) isMessage()          {}
func (HandOver) isMessage()      {}
