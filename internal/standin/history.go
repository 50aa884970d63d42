package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// maxViolations is the maximum number of violations that are kept.
const maxViolations = 1000

// Run is one execution of an attempt on a worker. Times are Unix times in
// milliseconds.
type Run struct {
	Worker     string        `json:"worker"`
	Boot       uint64        `json:"boot"`
	Epoch      uint64        `json:"epoch"` // of the lease under which the attempt started
	Attempt    api.AttemptID `json:"attempt"`
	Workspace  string        `json:"workspace"`
	Class      string        `json:"class"`
	Kind       api.Kind      `json:"kind"`
	Idempotent bool          `json:"idempotent,omitempty"`
	Declared   api.Resources `json:"declared"`
	Used       api.Resources `json:"used"`
	StartedMS  int64         `json:"started_ms"`
	EndedMS    int64         `json:"ended_ms,omitempty"` // 0 while running
	Outcome    api.Outcome   `json:"outcome,omitempty"`  // unknown if the worker restarted or is gone
	Error      string        `json:"error,omitempty"`
}

// Refusal is a start that was refused for lack of capacity.
type Refusal struct {
	TimeMS    int64         `json:"time_ms"` // Unix time in milliseconds
	Worker    string        `json:"worker"`
	Attempt   api.AttemptID `json:"attempt"`
	Dimension string        `json:"dimension"` // that was exceeded
}

// Kinds of violations.
const (
	OverCapacity = "over_capacity" // the declared resources of a worker's runs exceed its capacity
	RunsTwice    = "runs_twice"    // two attempts of a task run at the same time
	StartedTwice = "started_twice" // a non-idempotent task was started twice
)

// Violation is a violated invariant.
type Violation struct {
	TimeMS  int64         `json:"time_ms"` // start of the run, Unix time in milliseconds
	Kind    string        `json:"kind"`
	Worker  string        `json:"worker"`
	Attempt api.AttemptID `json:"attempt"`
	Detail  string        `json:"detail"`
}

// HistoryPage is a part of the history. A run appears when it starts and changes when
// it ends.
type HistoryPage struct {
	First    uint64    `json:"first"` // number of the first run in the page
	Next     uint64    `json:"next"`  // number of the run after the page
	Runs     []Run     `json:"runs"`
	Refusals []Refusal `json:"refusals"` // the latest ones, regardless of the page
}

// taskKey identifies a task of a job.
type taskKey struct {
	job  string
	task int
}

// history records the runs of all workers of the process. It checks the invariants
// independently of the workers' own accounting.
type history struct {
	mu          sync.Mutex
	limit       int    // of runs and refusals to keep
	first       uint64 // number of runs[0]
	runs        []*Run
	refusals    []Refusal
	violations  []Violation
	running     map[taskKey][]*Run
	firstStarts map[taskKey]api.AttemptID // of non-idempotent tasks
	use         map[string]api.Resources  // declared resources of the runs, by worker
}

func newHistory(limit int) *history {
	return &history{limit: limit, running: map[taskKey][]*Run{}, firstStarts: map[taskKey]api.AttemptID{},
		use: map[string]api.Resources{}}
}

// recordStart records the start of a run and the violations that it causes.
func (h *history) recordStart(run *Run, capacity api.Resources) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run.StartedMS = time.Now().UnixMilli()
	key := taskKey{run.Attempt.Job, run.Attempt.Task}
	for _, other := range h.running[key] {
		h.addViolation(RunsTwice, run, fmt.Sprintf("attempt %s is running on worker %s", other.Attempt, other.Worker))
	}
	if earlier, ok := h.firstStarts[key]; ok && !run.Idempotent {
		h.addViolation(StartedTwice, run, fmt.Sprintf("attempt %s was started before", earlier))
	} else if !run.Idempotent {
		h.firstStarts[key] = run.Attempt
	}
	use := h.use[run.Worker].Add(run.Declared)
	if d, over := use.Exceeds(capacity); over {
		h.addViolation(OverCapacity, run, fmt.Sprintf("%s is %d of %d", d, use.Get(d), capacity.Get(d)))
	}
	h.use[run.Worker] = use
	h.running[key] = append(h.running[key], run)
	h.appendRun(run)
}

// appendRun appends a run. It drops the oldest runs once the limit is exceeded by a
// tenth, so that not every append copies the list. h.mu must be held.
func (h *history) appendRun(run *Run) {
	h.runs = append(h.runs, run)
	if drop := len(h.runs) - h.limit; drop > h.limit/10 {
		h.first += uint64(drop)
		h.runs = append([]*Run(nil), h.runs[drop:]...)
	}
}

// recordEnd records the end of a run.
func (h *history) recordEnd(run *Run, outcome api.Outcome, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run.EndedMS, run.Outcome, run.Error = time.Now().UnixMilli(), outcome, reason
	h.use[run.Worker] = h.use[run.Worker].Sub(run.Declared)
	key := taskKey{run.Attempt.Job, run.Attempt.Task}
	var others []*Run
	for _, other := range h.running[key] {
		if other != run {
			others = append(others, other)
		}
	}
	if h.running[key] = others; len(others) == 0 {
		delete(h.running, key)
	}
}

// recordRefusal records a start that was refused for lack of d.
func (h *history) recordRefusal(worker string, attempt api.AttemptID, d api.Dimension) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals = append(h.refusals, Refusal{time.Now().UnixMilli(), worker, attempt, d.String()})
	if drop := len(h.refusals) - h.limit; drop > h.limit/10 {
		h.refusals = append([]Refusal(nil), h.refusals[drop:]...)
	}
}

// addViolation records a violation by a run, up to maxViolations. h.mu must be held.
func (h *history) addViolation(kind string, run *Run, detail string) {
	if len(h.violations) < maxViolations {
		h.violations = append(h.violations, Violation{run.StartedMS, kind, run.Worker, run.Attempt, detail})
	}
}

// page returns the runs starting at number from.
func (h *history) page(from uint64) HistoryPage {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.first + uint64(len(h.runs))
	page := HistoryPage{First: min(max(from, h.first), next), Next: next, Runs: []Run{},
		Refusals: append([]Refusal{}, h.refusals...)}
	for _, run := range h.runs[page.First-h.first:] {
		page.Runs = append(page.Runs, *run)
	}
	return page
}

// allViolations returns a copy of the recorded violations.
func (h *history) allViolations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Violation{}, h.violations...)
}
