// Package record defines the records of the work stream in the platform's log and their
// CBOR encoding. Package core writes and interprets them, package node appends and reads
// them. It has no state and imports the api package.
package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// Record is the envelope of every record of the work stream. Exactly one of the
// pointers is set.
type Record struct {
	// Writer and Sequence identify the record, so that a writer can find out whether an
	// append without a response succeeded, by reading the stream back.
	Writer   api.EntryRef `cbor:"1,keyasint"`
	Sequence uint64       `cbor:"2,keyasint"`

	Claim  *Claim  `cbor:"3,keyasint,omitempty"`
	Accept *Accept `cbor:"4,keyasint,omitempty"`
	Start  *Start  `cbor:"5,keyasint,omitempty"`
	End    *End    `cbor:"6,keyasint,omitempty"`
	Adopt  *Adopt  `cbor:"7,keyasint,omitempty"`
	Cancel *Cancel `cbor:"8,keyasint,omitempty"`
}

// Claim claims a caller's idempotency key for a job. The first claim by offset of a key
// in a workspace wins; later ones have no effect.
type Claim struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	JobID     string `cbor:"3,keyasint"`
}

// Accept stores a whole job and makes its writer the coordinator. The coordinator
// appends a copy with the job's progress before the log drops the previous Accept
// record of the job.
type Accept struct {
	Job api.Job `cbor:"1,keyasint"`
	// CoordinatorOffset is 0 in the first record of a job. In a copy it is the offset
	// of the record that made the writer the coordinator.
	CoordinatorOffset uint64 `cbor:"2,keyasint,omitempty"`
	// Tasks is the progress in a copy, one entry per task. It is empty in the first
	// record only.
	Tasks []TaskProgress `cbor:"3,keyasint,omitempty"`
	// Cancelled is set in a copy if the job was cancelled.
	Cancelled bool `cbor:"4,keyasint,omitempty"`
}

// TaskProgress is the state of one task according to the log.
type TaskProgress struct {
	// Attempts is the number of the last attempt, 0 for none.
	Attempts int `cbor:"1,keyasint,omitempty"`
	// Started is true from the start of the last attempt until its end is recorded.
	Started bool `cbor:"2,keyasint,omitempty"`
	// Worker, Epoch and Boot are those of the last attempt's Start record.
	Worker string `cbor:"3,keyasint,omitempty"`
	Epoch  uint64 `cbor:"4,keyasint,omitempty"`
	Boot   uint64 `cbor:"5,keyasint,omitempty"`
	// Outcome is set when the task is done.
	Outcome api.Outcome `cbor:"6,keyasint,omitempty"`
}

// Start records the only worker and lease on which an attempt may run. It is written
// before the commit is sent, and is valid only if its writer is the job's coordinator.
type Start struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Worker  string        `cbor:"2,keyasint"`
	Epoch   uint64        `cbor:"3,keyasint"` // of the worker's lease
	Boot    uint64        `cbor:"4,keyasint"` // changes when the worker restarts
}

// End records that an attempt is over. Retry is set if the task will be attempted
// again.
type End struct {
	Attempt api.AttemptID `cbor:"1,keyasint"`
	Outcome api.Outcome   `cbor:"2,keyasint"`
	Retry   bool          `cbor:"3,keyasint,omitempty"`
	// Body is the task's answer, up to MaxBodyBytes; longer answers are not stored.
	Body []byte `cbor:"4,keyasint,omitempty"`
	// OmittedBytes is the length in bytes of an answer that is not stored.
	OmittedBytes int64 `cbor:"5,keyasint,omitempty"`
}

// MaxBodyBytes is the largest answer in bytes that an End record stores.
const MaxBodyBytes = 16 << 10

// Adopt makes its writer the job's coordinator if the record at offset Replaces made
// the present one the coordinator; otherwise it has no effect.
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

// Decode decodes the CBOR form of a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode work record: %w", err)
	}
	return r, nil
}
