package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

const maxViolations = 1000

// Run is one start of an attempt at a worker. Times are Unix times in
// milliseconds.
type Run struct {
	Worker     string        `json:"worker"`
	Boot       uint64        `json:"boot"`
	Epoch      uint64        `json:"epoch"` // of the lease under which it started
	Attempt    api.AttemptID `json:"attempt"`
	Workspace  string        `json:"workspace"`
	Class      string        `json:"class"`
	Kind       api.Kind      `json:"kind"`
	Idempotent bool          `json:"idempotent,omitempty"`
	Declared   api.Resources `json:"declared"`
	Used       api.Resources `json:"used"`
	StartedMS  int64         `json:"started_ms"`
	EndedMS    int64         `json:"ended_ms,omitempty"` // 0 while running
	Outcome    api.Outcome   `json:"outcome,omitempty"`  // unknown if the worker died
	Error      string        `json:"error,omitempty"`
}

// Refusal is a start that was refused because the worker was full.
type Refusal struct {
	TimeMS    int64         `json:"time_ms"`
	Worker    string        `json:"worker"`
	Attempt   api.AttemptID `json:"attempt"`
	Dimension string        `json:"dimension"`
}

// Kinds of violations.
const (
	OverCapacity = "over_capacity"
	RunsTwice    = "runs_twice"    // a task of a job runs twice at once
	StartedTwice = "started_twice" // a non-idempotent task was started twice
)

// Violation is a broken invariant that the workers have seen.
type Violation struct {
	TimeMS  int64         `json:"time_ms"`
	Kind    string        `json:"kind"`
	Worker  string        `json:"worker"`
	Attempt api.AttemptID `json:"attempt"`
	Detail  string        `json:"detail"`
}

// HistoryPage is a part of the history. Runs that are still running are in the
// page of their start and change when they end.
type HistoryPage struct {
	First    uint64    `json:"first"` // number of the first run in the page
	Next     uint64    `json:"next"`  // number of the run after the page
	Runs     []Run     `json:"runs"`
	Refusals []Refusal `json:"refusals"` // the latest ones, in every page
}

type taskKey struct {
	job  string
	task int
}

// history records the runs of all workers of the process and checks the
// invariants independently of the accounting of the workers.
type history struct {
	mu         sync.Mutex
	limit      int
	first      uint64
	runs       []*Run
	refusals   []Refusal
	violations []Violation
	running    map[taskKey][]*Run
	once       map[taskKey]api.AttemptID // first starts of non-idempotent tasks
	use        map[string]api.Resources
}

func newHistory(limit int) *history {
	return &history{limit: limit, running: map[taskKey][]*Run{}, once: map[taskKey]api.AttemptID{},
		use: map[string]api.Resources{}}
}

func (h *history) started(run *Run, capacity api.Resources) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run.StartedMS = time.Now().UnixMilli()
	key := taskKey{run.Attempt.Job, run.Attempt.Task}
	for _, other := range h.running[key] {
		h.violation(RunsTwice, run, fmt.Sprintf("attempt %s runs at %s", other.Attempt, other.Worker))
	}
	if earlier, ok := h.once[key]; ok && !run.Idempotent {
		h.violation(StartedTwice, run, fmt.Sprintf("attempt %s was started before", earlier))
	} else if !run.Idempotent {
		h.once[key] = run.Attempt
	}
	use := h.use[run.Worker].Add(run.Declared)
	if d, over := use.Exceeds(capacity); over {
		h.violation(OverCapacity, run, fmt.Sprintf("%s is %d of %d", d, use.Get(d), capacity.Get(d)))
	}
	h.use[run.Worker] = use
	h.running[key] = append(h.running[key], run)
	h.keep(run)
}

func (h *history) keep(run *Run) {
	h.runs = append(h.runs, run)
	if drop := len(h.runs) - h.limit; drop > h.limit/10 {
		h.first += uint64(drop)
		h.runs = append([]*Run(nil), h.runs[drop:]...)
	}
}

func (h *history) ended(run *Run, outcome api.Outcome, reason string) {
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

func (h *history) refused(worker string, attempt api.AttemptID, d api.Dimension) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals = append(h.refusals, Refusal{time.Now().UnixMilli(), worker, attempt, d.String()})
	if drop := len(h.refusals) - h.limit; drop > h.limit/10 {
		h.refusals = append([]Refusal(nil), h.refusals[drop:]...)
	}
}

func (h *history) violation(kind string, run *Run, detail string) {
	if len(h.violations) < maxViolations {
		h.violations = append(h.violations, Violation{run.StartedMS, kind, run.Worker, run.Attempt, detail})
	}
}

// page returns the runs from number from on.
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

func (h *history) broken() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Violation{}, h.violations...)
}
