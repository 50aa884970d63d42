package standin

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/upstream"
)

const sweepInterval = 50 * time.Millisecond

// WorkerFaults are the faults of a worker that the admin endpoint sets; nil
// fields leave a fault as it is.
type WorkerFaults struct {
	FailAll *bool  `json:"fail_all,omitempty"` // every task fails at its start
	DelayMS *int64 `json:"delay_ms,omitempty"` // before a request takes effect
	PauseMS int64  `json:"pause_ms,omitempty"` // requests wait so long from now on
	// Restart loses all tasks and answers and takes a new boot number. A worker
	// that is gone comes back.
	Restart bool  `json:"restart,omitempty"`
	Leaving *bool `json:"leaving,omitempty"` // in the VM list
	Gone    bool  `json:"gone,omitempty"`    // loses all tasks, answers nothing, leaves the VM list
}

type workerFaults struct {
	failAll    bool
	gone       bool
	delay      time.Duration
	pauseUntil time.Time
}

// set applies the faults that concern the worker itself.
func (w *worker) set(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.FailAll != nil {
		w.faults.failAll = *f.FailAll
	}
	if f.DelayMS != nil {
		w.faults.delay = milliseconds(*f.DelayMS)
	}
	if f.PauseMS > 0 {
		w.faults.pauseUntil = time.Now().Add(milliseconds(f.PauseMS))
	}
	if f.Restart || f.Gone {
		w.faults.gone = f.Gone
		w.restart()
	}
}

// restart loses everything but the epoch, which has to grow over restarts, so
// that a delayed message of an earlier holder is refused.
func (w *worker) restart() {
	for _, t := range w.tasks {
		if t.state == api.TaskRunning {
			w.end(t, api.OutcomeUnknown, "the worker restarted")
		}
	}
	clear(w.tasks)
	clear(w.past)
	w.events, w.sample = nil, nil
	w.boot = max(w.boot+1, uint64(time.Now().UnixMicro()))
	w.until = time.Time{}
	w.ended.wake()
}

// admit holds a request up as the faults say; it returns false if the worker is
// gone.
func (w *worker) admit() bool {
	w.mu.Lock()
	delay := w.faults.delay
	w.mu.Unlock()
	if delay > 0 {
		clock.Sleep(w.ctx, delay)
	}
	return w.awake()
}

// awake waits for the end of a pause; it returns false if the worker is gone.
func (w *worker) awake() bool {
	for {
		w.mu.Lock()
		gone, pause := w.faults.gone, time.Until(w.faults.pauseUntil)
		w.mu.Unlock()
		if gone || pause <= 0 || !clock.Sleep(w.ctx, pause) {
			return !gone
		}
	}
}

// sweep stops tasks whose lease lapsed, reports usage and forgets old attempts.
func (w *worker) sweep(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.state == api.TaskRunning && now.After(t.leaseUntil) {
			w.end(t, api.OutcomeFailed, "the task's lease lapsed")
		}
	}
	for a, past := range w.past {
		if now.Sub(past.at) > rememberAttempts {
			delete(w.past, a)
		}
	}
	if now.Sub(w.sampled) >= w.usageLag {
		w.sampled = now
		w.publishUsage()
	}
}

// publishUsage queues the sample taken one lag ago and takes the next one.
func (w *worker) publishUsage() {
	var published []upstream.Usage
	for _, u := range w.sample {
		if t := w.tasks[u.Attempt]; t != nil && t.state == api.TaskRunning {
			t.reported = u.Used
			published = append(published, u)
		}
	}
	w.sample = nil
	for a, t := range w.tasks {
		if t.state == api.TaskRunning {
			w.sample = append(w.sample, upstream.Usage{Attempt: a, Used: t.used()})
		}
	}
	if len(published) == 0 || !time.Now().Before(w.until) {
		return
	}
	if last := len(w.events) - 1; last >= 0 && w.events[last].Ended == nil {
		w.events = w.events[:last]
	}
	w.queue(upstream.Event{Usage: published})
}
