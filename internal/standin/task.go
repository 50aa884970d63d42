package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/upstream"
)

// Payload describes what a task does on a stand-in worker. A missing or malformed
// payload is treated as the zero Payload.
type Payload struct {
	WorkMS      int64  `json:"work_ms"`                 // actual run time; services run until stopped
	AnswerBytes int    `json:"answer_bytes"`            // length of TaskAnswer.Filler
	Fail        bool   `json:"fail,omitempty"`          // the task fails after its run time
	UseMemoryMB int64  `json:"use_memory_mb,omitempty"` // memory in use; 0 means the declared memory
	Echo        string `json:"echo,omitempty"`          // returned in the answer
}

// TaskAnswer is the answer of a completed task.
type TaskAnswer struct {
	Job    string `json:"job"`
	Task   int    `json:"task"`
	Echo   string `json:"echo"`
	Filler string `json:"filler"`
}

// CheckAnswer returns an error unless data is the complete answer of the task.
func CheckAnswer(data []byte, job string, task int, payload Payload) error {
	var a TaskAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return fmt.Errorf("answer of %s/%d is incomplete: %w", job, task, err)
	}
	if a.Job != job || a.Task != task || a.Echo != payload.Echo || len(a.Filler) != payload.AnswerBytes {
		return fmt.Errorf("answer of %s/%d with echo %q and %d bytes instead of %s/%d, %q, %d",
			a.Job, a.Task, a.Echo, len(a.Filler), job, task, payload.Echo, payload.AnswerBytes)
	}
	return nil
}

// task is an attempt that a worker lists. The worker's lock guards it.
type task struct {
	spec      api.TaskSpec // without the payload
	payload   Payload
	state     api.TaskState
	outcome   api.Outcome
	reason    string
	answer    []byte    // of a completed task
	checksum  uint64    // of answer, XXH64
	leaseEnd  time.Time // the task is stopped then
	due       time.Time // end of the work; zero for a service
	throttled bool
	timer     *time.Timer
	reported  api.Resources // last published usage
	run       *Run
}

// newTask returns a running task and decodes its payload.
func newTask(spec api.TaskSpec) *task {
	t := &task{spec: spec, state: api.TaskRunning}
	_ = json.Unmarshal(spec.Payload, &t.payload) // a malformed payload counts as empty
	t.spec.Payload = nil
	return t
}

// used returns the resources that the task actually uses.
func (t *task) used() api.Resources {
	used := t.spec.Resources
	if t.payload.UseMemoryMB > 0 {
		used.MemoryMB = t.payload.UseMemoryMB
	}
	return used
}

// setAnswer sets the answer of a completed task.
func (t *task) setAnswer() {
	t.answer, _ = json.Marshal(TaskAnswer{Job: t.spec.Attempt.Job, Task: t.spec.Attempt.Task,
		Echo: t.payload.Echo, Filler: strings.Repeat("x", max(0, t.payload.AnswerBytes))})
	t.checksum = xxhash.Sum64(t.answer)
}

// report returns the state of the task, with its answer if that is short enough.
func (t *task) report() api.TaskReport {
	r := api.TaskReport{Spec: t.spec, State: t.state, Outcome: t.outcome, Error: t.reason,
		Used: t.reported, Length: int64(len(t.answer)), Checksum: t.checksum}
	if len(t.answer) <= upstream.InlineAnswerBytes {
		r.Body = t.answer
	}
	return r
}
