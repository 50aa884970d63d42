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

// Payload tells a stand-in worker what a task does. A missing or malformed
// payload is the zero Payload.
type Payload struct {
	WorkMS      int64  `json:"work_ms"`      // real run time; services run until stopped
	AnswerBytes int    `json:"answer_bytes"` // length of the answer's filler
	Fail        bool   `json:"fail,omitempty"`
	UseMemoryMB int64  `json:"use_memory_mb,omitempty"` // 0 uses what is declared
	Echo        string `json:"echo,omitempty"`
}

// TaskAnswer is the answer of a completed task.
type TaskAnswer struct {
	Job    string `json:"job"`
	Task   int    `json:"task"`
	Echo   string `json:"echo"`
	Filler string `json:"filler"`
}

// CheckAnswer returns an error unless data is the whole answer of this task.
func CheckAnswer(data []byte, job string, task int, payload Payload) error {
	var a TaskAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return fmt.Errorf("answer of %s/%d is not whole: %w", job, task, err)
	}
	if a.Job != job || a.Task != task || a.Echo != payload.Echo || len(a.Filler) != payload.AnswerBytes {
		return fmt.Errorf("answer of %s/%d with echo %q and %d bytes instead of %s/%d, %q, %d",
			a.Job, a.Task, a.Echo, len(a.Filler), job, task, payload.Echo, payload.AnswerBytes)
	}
	return nil
}

// task is one attempt at a worker. The worker's lock guards it.
type task struct {
	spec       api.TaskSpec // without the payload
	payload    Payload
	state      api.TaskState
	outcome    api.Outcome
	err        string
	answer     []byte
	checksum   uint64
	leaseUntil time.Time
	due        time.Time // end of the work; zero for a service
	throttled  bool
	timer      *time.Timer
	reported   api.Resources // lagging use
	run        *Run
}

func newTask(spec api.TaskSpec) *task {
	t := &task{spec: spec, state: api.TaskRunning}
	_ = json.Unmarshal(spec.Payload, &t.payload) // a malformed payload asks for nothing
	t.spec.Payload = nil
	return t
}

func (t *task) used() api.Resources {
	used := t.spec.Resources
	if t.payload.UseMemoryMB > 0 {
		used.MemoryMB = t.payload.UseMemoryMB
	}
	return used
}

func (t *task) setAnswer() {
	t.answer, _ = json.Marshal(TaskAnswer{Job: t.spec.Attempt.Job, Task: t.spec.Attempt.Task,
		Echo: t.payload.Echo, Filler: strings.Repeat("x", max(0, t.payload.AnswerBytes))})
	t.checksum = xxhash.Sum64(t.answer)
}

func (t *task) report() api.TaskReport {
	r := api.TaskReport{Spec: t.spec, State: t.state, Outcome: t.outcome, Error: t.err,
		Used: t.reported, Length: int64(len(t.answer)), Checksum: t.checksum}
	if len(t.answer) <= upstream.InlineAnswerBytes {
		r.Body = t.answer
	}
	return r
}
