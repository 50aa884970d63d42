// Package message defines the messages between entry processes. It holds types
// only and imports the api and fault packages.
package message

import (
	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Message is one of the types below.
type Message interface{ isMessage() }

// Summary is the content of a heartbeat.
type Summary struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Stopping bool   `cbor:"2,keyasint,omitempty"`
	Roll     uint64 `cbor:"3,keyasint"` // number of the roll in force, 0 for none
	Held     int    `cbor:"4,keyasint"` // workers held
	// Capacity and Free are sums over the held workers that take new work.
	Capacity api.Resources `cbor:"5,keyasint"`
	Free     api.Resources `cbor:"6,keyasint"`
	// Largest is the largest free amount on one worker, per dimension.
	Largest api.Resources `cbor:"7,keyasint"`
	// FreeByClass is how much each class may still take under floors and ceilings.
	FreeByClass map[string]api.Resources `cbor:"8,keyasint,omitempty"`
}

// WorkspaceUse tells what each workspace's tasks coordinated by the sender occupy. It goes
// apart from the heartbeat, because with many workspaces it is much longer and is needed
// for quotas only.
type WorkspaceUse struct {
	// Use holds the workspaces whose use has changed; a zero amount is no use.
	Use map[string]api.Resources `cbor:"1,keyasint"`
	// Full is set for the first message on a link: workspaces left out have no use.
	Full bool `cbor:"2,keyasint,omitempty"`
}

// Reserve asks a holder for room for tasks of one job. It starts nothing.
type Reserve struct {
	Attempts []api.AttemptID `cbor:"1,keyasint"`
	Spec     api.TaskSpec    `cbor:"2,keyasint"` // attempt and payload unset
	// AllOrNone makes the holder refuse unless every attempt fits.
	AllOrNone bool `cbor:"3,keyasint,omitempty"`
	// TTLMS is the life of the reservation in milliseconds.
	TTLMS int64 `cbor:"4,keyasint"`
	// Preempt allows the holder to preempt less urgent tasks if there is no room.
	Preempt bool `cbor:"5,keyasint,omitempty"`
}

// Place is the room that was found for one attempt.
type Place struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Worker  string        `cbor:"2,keyasint"`
	Epoch   uint64        `cbor:"3,keyasint"`
	Boot    uint64        `cbor:"4,keyasint"`
}

// Reserved answers Reserve. Attempts without a place were not reserved.
type Reserved struct {
	Places []Place `cbor:"1,keyasint"`
	// Refused lists the attempts for which there was no room.
	Refused []api.AttemptID `cbor:"2,keyasint,omitempty"`
	// Reason tells why, if any were refused.
	Reason *fault.Error `cbor:"3,keyasint,omitempty"`
}

// Release drops reservations that will not be committed.
type Release struct {
	Attempts []api.AttemptID `cbor:"1,keyasint"`
}

// Commit makes the holder start a reserved attempt.
type Commit struct {
	Place   Place  `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint,omitempty"`
}

// Started reports that the worker runs the attempt.
type Started struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
}

// StartRefused reports that a committed attempt is proved not to have started.
type StartRefused struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Reason  *fault.Error  `cbor:"2,keyasint"`
}

// Ended reports the end of an attempt with the whole answer. It is repeated
// until the coordinator acknowledges it.
type Ended struct {
	Report api.TaskReport `cbor:"1,keyasint"`
}

// Acknowledge tells the holder that the coordinator has what it needs of ended
// attempts, so that the worker may forget them.
type Acknowledge struct {
	Attempts []api.AttemptID `cbor:"1,keyasint"`
}

// CancelAttempt asks the holder to stop an attempt or to drop its reservation.
type CancelAttempt struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Worker  string        `cbor:"2,keyasint"`
}

// WorkerHeld announces a new lease: everything that the worker listed for the
// receiver's attempts. An attempt of the receiver on an earlier epoch of this
// worker that is absent from Tasks is over.
type WorkerHeld struct {
	Worker string           `cbor:"1,keyasint"`
	Epoch  uint64           `cbor:"2,keyasint"`
	Boot   uint64           `cbor:"3,keyasint"`
	Tasks  []api.TaskReport `cbor:"4,keyasint,omitempty"` // bodies unset; Ended follows
}

// QueryAttempt asks the holder of a worker what became of a logged attempt.
// The holder voids the attempt if it does not run, so that a late Commit for
// it is refused, and makes the sender its coordinator if it does.
type QueryAttempt struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Worker  string        `cbor:"2,keyasint"`
	// Epoch is the latest lease of the worker that the sender knows of, at least
	// that of the logged start. A receiver under an earlier lease cannot answer.
	Epoch uint64 `cbor:"3,keyasint"`
	Boot  uint64 `cbor:"4,keyasint"`
	// Claim is the offset of the record that made the sender the coordinator, 0
	// for an unlogged job. The holder keeps to the latest coordinator.
	Claim uint64 `cbor:"5,keyasint,omitempty"`
}

// AttemptStatus is a holder's answer about a queried attempt.
type AttemptStatus string

// Statuses of a queried attempt.
const (
	AttemptRunning AttemptStatus = "running"
	AttemptVoid    AttemptStatus = "void"     // proved never to start
	AttemptLost    AttemptStatus = "lost"     // the worker restarted since; it may have run
	AttemptNotHeld AttemptStatus = "not_held" // the receiver does not hold the worker
)

// AttemptState answers QueryAttempt; an ended attempt is answered by Ended. A
// holder that loses a worker sends it with status not_held on its own.
type AttemptState struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Status  AttemptStatus `cbor:"2,keyasint"`
	Place   Place         `cbor:"3,keyasint"`
}

// Forward hands a caller's request to the entry process that minted its id or
// claimed its key.
type Forward struct {
	Token uint64  `cbor:"1,keyasint"` // matches the answer
	Job   api.Job `cbor:"2,keyasint"`
	// Operation is submit, status, wait or cancel.
	Operation Operation `cbor:"3,keyasint"`
	WaitMS    int64     `cbor:"4,keyasint,omitempty"`
}

// Operation is what a caller asks for.
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
	Token  uint64     `cbor:"1,keyasint"`
	Answer api.Answer `cbor:"2,keyasint"`
}

// FetchRoll asks a peer for the roll in force and its bundle sections.
type FetchRoll struct{}

// Roll answers FetchRoll with the signed records as they stand in the log.
type Roll struct {
	Records [][]byte `cbor:"1,keyasint"`
}

// HandOver offers workers to their preferred holder: the sender has released
// their leases.
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
func (WorkerHeld) isMessage()    {}
func (QueryAttempt) isMessage()  {}
func (AttemptState) isMessage()  {}
func (Forward) isMessage()       {}
func (ForwardAnswer) isMessage() {}
func (FetchRoll) isMessage()     {}
func (Roll) isMessage()          {}
func (HandOver) isMessage()      {}
