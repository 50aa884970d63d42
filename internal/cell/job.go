package cell

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Instant is a time on the holder's monotonic clock in milliseconds.
type Instant int64

// Limits on a job. They limit memory use and the size of log records.
const (
	MaxSpecBytes    = 4000
	MaxSteps        = 64
	MaxTasksPerStep = 1000
)

// Resources are an amount of CPU in thousandths of a core, of memory in MB and of
// accelerators.
type Resources struct {
	CPUMilli int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	GPUs     int64 `cbor:"3,keyasint,omitempty"`
}

// AddScaled returns r + n*o; n may be negative.
func (r Resources) AddScaled(o Resources, n int64) Resources {
	return Resources{r.CPUMilli + n*o.CPUMilli, r.MemoryMB + n*o.MemoryMB, r.GPUs + n*o.GPUs}
}

// Covers reports whether o is at most r in every dimension.
func (r Resources) Covers(o Resources) bool {
	return o.CPUMilli <= r.CPUMilli && o.MemoryMB <= r.MemoryMB && o.GPUs <= r.GPUs
}

// FitsInto reports whether r is at most o in every dimension in which r is not 0.
func (r Resources) FitsInto(o Resources) bool { return o.FitCount(r, 1) == 1 }

// String returns the amounts for messages.
func (r Resources) String() string {
	return fmt.Sprintf("cpu_milli=%d memory_mb=%d gpus=%d", r.CPUMilli, r.MemoryMB, r.GPUs)
}

// FitCount returns how many tasks that each need o fit into r, up to limit.
func (r Resources) FitCount(o Resources, limit int) int {
	n := int64(limit)
	for _, d := range [...][2]int64{{r.CPUMilli, o.CPUMilli}, {r.MemoryMB, o.MemoryMB}, {r.GPUs, o.GPUs}} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return int(n)
}

// PolicyCost is the cost model of a call to the policy service, in milliseconds.
type PolicyCost struct {
	DecisionMS  float64 `cbor:"1,keyasint,omitempty"`
	PerWorkerMS float64 `cbor:"2,keyasint,omitempty"`
}

// Duration returns the expected duration in milliseconds of a call that names n
// workers.
func (c PolicyCost) Duration(n int) int64 { return int64(c.DecisionMS + c.PerWorkerMS*float64(n)) }

// Queue holds the settings of the queue that a job was submitted to. It is stored with
// the job, so that later changes of the settings do not affect accepted jobs.
type Queue struct {
	Name        string `cbor:"1,keyasint"`
	Service     string `cbor:"2,keyasint"`
	Priority    int    `cbor:"3,keyasint,omitempty"` // 0 is the most urgent
	MaxAttempts int    `cbor:"4,keyasint,omitempty"` // failed runs of a task or gang at which the job fails
	// The objective of a job is to complete within SlackFactor times the expected time
	// of its longest chain of steps, plus TargetLatencyMS, after it was due.
	SlackFactor     float64 `cbor:"5,keyasint,omitempty"`
	TargetLatencyMS int64   `cbor:"6,keyasint,omitempty"`
	// Policy is set if tasks need permits from the policy service.
	Policy *PolicyCost `cbor:"7,keyasint,omitempty"`
}

// Step is one stage of a job: a number of identical tasks.
type Step struct {
	Tasks      int       `cbor:"1,keyasint"`
	Resources  Resources `cbor:"2,keyasint"`           // of each task
	EstimateMS int64     `cbor:"3,keyasint,omitempty"` // the caller's rough estimate of a task's run time
	After      []int     `cbor:"4,keyasint,omitempty"` // indexes of earlier steps that must complete first
	Gang       bool      `cbor:"5,keyasint,omitempty"` // all tasks run at the same time or none does
	// Checkpoints is set if a task saves checkpoints while it runs.
	Checkpoints bool `cbor:"6,keyasint,omitempty"`
	// OneRack is set if the tasks run slowly when they are spread over several racks.
	OneRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have; empty for none.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that stores the input of the tasks; empty for none.
	DataRack     string `cbor:"9,keyasint,omitempty"`
	MaxPerWorker int    `cbor:"10,keyasint,omitempty"` // 0 for no limit
	// Speculative is set if several attempts of a task may run at once.
	Speculative bool   `cbor:"11,keyasint,omitempty"`
	LongRunning bool   `cbor:"12,keyasint,omitempty"` // tasks run until the job is cancelled
	Image       string `cbor:"13,keyasint,omitempty"`
	// TailTargetMS is the tail latency target of a service task, in ms.
	TailTargetMS int64 `cbor:"14,keyasint,omitempty"`
	// Filler is set if the tasks' CPU is not accounted for: they use the CPU time that
	// other tasks on the worker leave idle.
	Filler bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the maximum number of tasks of a service that the system may
	// make unavailable at the same time; 0 for no limit.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Demand returns the resources of a worker that one task occupies.
func (s *Step) Demand() Resources {
	if s.Filler {
		return Resources{MemoryMB: s.Resources.MemoryMB, GPUs: s.Resources.GPUs}
	}
	return s.Resources
}

// Schedule repeats the steps of a job at a fixed interval.
type Schedule struct {
	Occurrences int   `cbor:"1,keyasint"`
	FirstUnixMS int64 `cbor:"2,keyasint"` // wall-clock time of the first occurrence
	IntervalMS  int64 `cbor:"3,keyasint"`
}

// Job is a job as it was submitted.
type Job struct {
	ID       string    `cbor:"1,keyasint"` // 16 hexadecimal digits, chosen by the caller
	Queue    Queue     `cbor:"2,keyasint"`
	Spec     string    `cbor:"3,keyasint,omitempty"` // passed to every task unchanged
	Steps    []Step    `cbor:"4,keyasint"`
	Schedule *Schedule `cbor:"5,keyasint,omitempty"`
	// AcceptedUnixMS is the wall-clock time at which the holder accepted the job.
	AcceptedUnixMS int64 `cbor:"6,keyasint"`
	// Workspace is the name of the workspace that submitted the job; empty if the deployment has
	// no workspaces, or the caller needed no key.
	Workspace string `cbor:"7,keyasint,omitempty"`
}

// Check returns a fault of kind Invalid that names the first invalid value, or nil.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return invalid("spec has %d bytes", "send at most %d bytes", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return invalid("the job has %d steps", "send 1 to %d steps", len(j.Steps), MaxSteps)
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
	}
	if s := j.Schedule; s != nil && (s.Occurrences < 1 || s.IntervalMS < 0) {
		return invalid("the schedule has %d occurrences", "send at least %d, and an interval that is not negative", s.Occurrences, 1)
	}
	return nil
}

func (s *Step) check(index int) error {
	r := s.Resources
	if s.Tasks < 1 || s.Tasks > MaxTasksPerStep {
		return invalid("a step has %d tasks", "send 1 to %d tasks", s.Tasks, MaxTasksPerStep)
	}
	if r.CPUMilli < 0 || r.MemoryMB < 0 || r.GPUs < 0 || s.EstimateMS < 0 || s.MaxPerWorker < 0 {
		return invalid("step %d has a negative resource, estimate or limit per worker", "send values of %d or more", index, 0)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return invalid("a step depends on step %d", "depend only on steps before step %d", earlier, index)
		}
	}
	return nil
}

func invalid(message, remedy string, got, limit int) error {
	return fault.New(fault.Invalid, fmt.Sprintf(message, got), fmt.Sprintf(remedy, limit))
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task name in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step in the form JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses a task name as returned by TaskID.String. The error is a fault of
// kind Invalid.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fault.New(fault.Invalid, fmt.Sprintf("task name %q is malformed", name), "use JOB.OCCURRENCE.STEP.INDEX")
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fault.New(fault.Invalid, fmt.Sprintf("task name %q is malformed", name), "use JOB.OCCURRENCE.STEP.INDEX")
		}
		numbers[i] = n
	}
	return TaskID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)
