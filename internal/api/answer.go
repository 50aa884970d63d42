package api

import "github.com/fulmarlatch/fulmarlatch/internal/fault"

// Outcome is the result of a job, a task or an attempt.
type Outcome string

// Outcomes of jobs, tasks and attempts.
const (
	OutcomeAccepted  Outcome = "accepted"  // stored in the log, runs later
	OutcomeCompleted Outcome = "completed" // ran once; the answer is complete
	OutcomeFailed    Outcome = "failed"    // ran and failed
	OutcomeNotRun    Outcome = "not_run"   // proved not to have run
	OutcomeUnknown   Outcome = "unknown"   // it cannot be proved whether it ran
)

// Answer is the response that a caller receives for a job.
type Answer struct {
	JobID   string       `json:"job_id" cbor:"1,keyasint"`
	Outcome Outcome      `json:"outcome" cbor:"2,keyasint"`
	Error   *fault.Error `json:"error,omitempty" cbor:"3,keyasint,omitempty"`
	// Body is the unchanged answer of the upstream to a request.
	Body []byte `json:"body,omitempty" cbor:"4,keyasint,omitempty"`
	// WaitMS is the time from submission to start in milliseconds.
	WaitMS int64 `json:"wait_ms" cbor:"5,keyasint,omitempty"`
	// Tasks counts tasks by state for logged jobs.
	Tasks *TaskCounts `json:"tasks,omitempty" cbor:"6,keyasint,omitempty"`
	// Results holds the results of the tasks of a finished batch or gang, in order of
	// task numbers.
	Results []TaskResult `json:"results,omitempty" cbor:"7,keyasint,omitempty"`
}

// TaskResult is the outcome and answer of one task of a logged job.
type TaskResult struct {
	Task    int     `json:"task" cbor:"1,keyasint"`
	Outcome Outcome `json:"outcome" cbor:"2,keyasint"`
	// Body is the unchanged answer of the upstream.
	Body []byte `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// OmittedBytes is the length in bytes of an answer that was too long to be stored.
	OmittedBytes int64 `json:"omitted_bytes,omitempty" cbor:"4,keyasint,omitempty"`
}

// BodyBytes returns the size in bytes of all bodies in a.
func (a *Answer) BodyBytes() int {
	size := len(a.Body)
	for i := range a.Results {
		size += len(a.Results[i].Body)
	}
	return size
}

// TaskCounts counts the tasks of a job by state.
type TaskCounts struct {
	Waiting   int `json:"waiting" cbor:"1,keyasint,omitempty"`
	Running   int `json:"running" cbor:"2,keyasint,omitempty"`
	Completed int `json:"completed" cbor:"3,keyasint,omitempty"`
	Failed    int `json:"failed" cbor:"4,keyasint,omitempty"`
	Unknown   int `json:"unknown" cbor:"5,keyasint,omitempty"`
	Cancelled int `json:"cancelled" cbor:"6,keyasint,omitempty"`
}

// RefuseSubmission returns the answer to a submission that was refused before its ID or
// key was looked up. A job with an ID or key may have run because of an earlier
// submission, so its outcome is unknown. The outcome of any other job is not_run.
func RefuseSubmission(job Job, err error) Answer {
	if job.ID == "" && job.Key == "" {
		return Refuse("", err)
	}
	return Answer{JobID: job.ID, Outcome: OutcomeUnknown, Error: fault.As(err)}
}

// Refuse returns an answer with outcome not_run for a job that was never started.
func Refuse(jobID string, err error) Answer {
	return Answer{JobID: jobID, Outcome: OutcomeNotRun, Error: fault.As(err)}
}
