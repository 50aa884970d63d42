// Package record defines the records of the work stream in the platform's log.
// It holds types and their CBOR codec only and imports the api package.
package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// Record is the envelope of every record of the work stream. Exactly one of the
// pointers is set.
type Record struct {
	// Writer and Sequence identify the append, so that a writer whose append
	// was not answered finds it by reading the stream back.
	Writer   api.EntryRef `cbor:"1,keyasint"`
	Sequence uint64       `cbor:"2,keyasint"`

	Claim  *Claim  `cbor:"3,keyasint,omitempty"`
	Accept *Accept `cbor:"4,keyasint,omitempty"`
	Start  *Start  `cbor:"5,keyasint,omitempty"`
	End    *End    `cbor:"6,keyasint,omitempty"`
	Adopt  *Adopt  `cbor:"7,keyasint,omitempty"`
	Cancel *Cancel `cbor:"8,keyasint,omitempty"`
}

// Claim takes a caller's idempotency key for a job. The first claim of a key
// of a workspace by offset wins; later ones have no effect.
type Claim struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	JobID     string `cbor:"3,keyasint"`
}

// Accept keeps a whole job; the writer becomes its coordinator. The
// coordinator appends it again, with the job's progress, before the log drops
// the earlier copy.
type Accept struct {
	Job api.Job `cbor:"1,keyasint"`
	// Claim is 0 in the first copy. In a later one it is the offset of the
	// record that made the writer the coordinator.
	Claim uint64 `cbor:"2,keyasint,omitempty"`
	// Tasks is the progress in a later copy, one entry per task. It is empty in
	// the first copy only.
	Tasks []TaskProgress `cbor:"3,keyasint,omitempty"`
	// Cancelled is set in a later copy if the job was cancelled.
	Cancelled bool `cbor:"4,keyasint,omitempty"`
}

// TaskProgress is the state of one task as the log tells it.
type TaskProgress struct {
	// Attempts is the number of the last attempt, 0 for none.
	Attempts int `cbor:"1,keyasint,omitempty"`
	// Started is true while the last attempt is not recorded as over.
	Started bool   `cbor:"2,keyasint,omitempty"`
	Worker  string `cbor:"3,keyasint,omitempty"`
	Epoch   uint64 `cbor:"4,keyasint,omitempty"`
	Boot    uint64 `cbor:"5,keyasint,omitempty"`
	// Outcome is set when the task is done.
	Outcome api.Outcome `cbor:"6,keyasint,omitempty"`
}

// Start names the only place where an attempt may run. It precedes the commit
// and counts only while its writer is the job's coordinator.
type Start struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Worker  string        `cbor:"2,keyasint"`
	Epoch   uint64        `cbor:"3,keyasint"`
	Boot    uint64        `cbor:"4,keyasint"`
}

// End records that an attempt is over. Retry is true when the task will be
// attempted again.
type End struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Outcome api.Outcome   `cbor:"2,keyasint"`
	Retry   bool          `cbor:"3,keyasint,omitempty"`
	// Body is the task's answer, up to MaxBodyBytes; longer answers are not kept.
	Body []byte `cbor:"4,keyasint,omitempty"`
	// OmittedBytes is the length of an answer that is not kept.
	OmittedBytes int64 `cbor:"5,keyasint,omitempty"`
}

// MaxBodyBytes bounds the answer of a task that is kept in the log.
const MaxBodyBytes = 16 << 10

// Adopt makes the writer the job's coordinator if the job's present claim
// stands at offset Replaces; otherwise it has no effect.
type Adopt struct {
	JobID    string `cbor:"1,keyasint"`
	Replaces uint64 `cbor:"2,keyasint"`
}

// Cancel records a caller's cancellation of a job.
type Cancel struct {
	JobID string `cbor:"1,keyasint"`
}

// Encode returns the CBOR form of r.
func Encode(r Record) ([]byte, error) { return cbor.Marshal(r) }

// Decode reads the CBOR form of a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode work record: %w", err)
	}
	return r, nil
}
