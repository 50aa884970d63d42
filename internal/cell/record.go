package cell

import (
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fxamacker/cbor/v2"
)

// Keys of the records of a cell; only the newest record of a key is valid. A job has a
// record under its ID, which holds the whole job until it ends and only its final state
// afterwards. Its progress has separate keys, because it is written often and the job
// is large.
const (
	progressSuffix = ".progress"
	rosterKey      = "workers"
)

// jobRecord is the record of a job. Job is nil once the job has ended.
type jobRecord struct {
	Job   *Job  `cbor:"1,keyasint,omitempty"`
	Final State `cbor:"2,keyasint,omitempty"`
	// EndedUnixMS is the wall-clock time at which the job ended.
	EndedUnixMS int64  `cbor:"3,keyasint,omitempty"`
	Queue       string `cbor:"4,keyasint,omitempty"`
	// Unsubmitted is set if the job was cancelled before it was submitted.
	Unsubmitted bool `cbor:"5,keyasint,omitempty"`
	// Workspace is that of a job that has ended, or of the caller who cancelled it before it was
	// submitted.
	Workspace string `cbor:"6,keyasint,omitempty"`
	// Keyless is set with Unsubmitted if that caller had no key, in a deployment with workspaces.
	Keyless bool `cbor:"7,keyasint,omitempty"`
	// Stopping describes the runs of a job of a workspace that had not ended when the job did.
	Stopping stoppingRuns `cbor:"8,keyasint,omitempty"`
}

// stoppingRuns are runs that are being stopped.
type stoppingRuns struct {
	Runs      int       `cbor:"1,keyasint,omitempty"`
	Resources Resources `cbor:"2,keyasint,omitempty"` // of one run at most
}

// progressRecord is a part of the progress of a job that has not ended.
type progressRecord struct {
	Steps []stepProgress `cbor:"1,keyasint"`
	// Finished lists the numbers of the completed occurrences of a repeated job whose first
	// task is in this part.
	Finished []int `cbor:"2,keyasint,omitempty"`
	// FinishedBelow is the number of the first occurrence that is not completed. It is in
	// part 0 only. Earlier versions do not read it, so Finished names those below it too.
	FinishedBelow int `cbor:"3,keyasint,omitempty"`
}

type stepProgress struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	// Done lists the indexes of the completed tasks.
	Done []int `cbor:"3,keyasint,omitempty"`
	// Failed has an entry for each task with failed runs. For a gang there is a single
	// entry with index 0.
	Failed []taskFailures `cbor:"4,keyasint,omitempty"`
	// Started is set once a task of the step has run.
	Started bool `cbor:"5,keyasint,omitempty"`
	// Crashes has an entry for each task under which a worker has crashed or stopped
	// answering.
	Crashes []taskCrashes `cbor:"6,keyasint,omitempty"`
	// OpenCrashes has an entry for each task with crashes in Crashes that are not confirmed.
	OpenCrashes []taskOpenCrashes `cbor:"7,keyasint,omitempty"`
}

type taskOpenCrashes struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	Crashes []openCrash
}

type taskCrashes struct {
	_         struct{} `cbor:",toarray"`
	Index     int
	Total     int
	Early     int
	Suspected bool
}

type taskFailures struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Runs  []uint32 // failed runs
}

// roster is the record of the workers that may run tasks of the cell. A new holder must
// not restart tasks that may still be running on one of them.
type roster struct {
	Workers []string `cbor:"1,keyasint"`
	// Closed holds those of Workers that get no tasks until a newer roster is stored
	// without them here. Only the listed tasks may be running there.
	Closed []closedWorker `cbor:"2,keyasint,omitempty"`
	// Incomplete is set if workers may be missing, because an earlier roster could not be read.
	Incomplete bool `cbor:"3,keyasint,omitempty"`

	closedTasks int // number of tasks in Closed
}

// closedWorker is a worker that gets no tasks, and the tasks that may be running there.
type closedWorker struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Tasks []string // task IDs
}

// Record is a keyed record of the platform's log.
type Record struct {
	Key   string
	Value []byte
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		// All record types can be encoded.
		panic(err)
	}
	return data
}

// recordDecoder accepts text that is not valid UTF-8. The encoder writes it, and a roster
// that the next holder cannot decode would let it start tasks that are still running.
var recordDecoder = newRecordDecoder()

func newRecordDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are valid
	}
	return mode
}

func decodeRecord(r Record, into any) error {
	if err := recordDecoder.Unmarshal(r.Value, into); err != nil {
		return fault.Wrap(fault.Invalid, err, "record "+r.Key+" cannot be decoded", "report this as a defect; the record is skipped")
	}
	return nil
}
