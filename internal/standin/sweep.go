package standin

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/upstream"
)

// sweepInterval is the interval of worker.sweep.
const sweepInterval = 50 * time.Millisecond

// WorkerFaults are changes to the injected faults of a worker. A field that is nil or
// zero changes nothing.
type WorkerFaults struct {
	FailAll *bool  `json:"fail_all,omitempty"` // whether every task fails when it starts
	DelayMS *int64 `json:"delay_ms,omitempty"` // delay before each request takes effect
	PauseMS int64  `json:"pause_ms,omitempty"` // time from now until which all requests wait
	// Restart discards all tasks and answers and sets a new boot number. A worker
	// that is gone becomes available again.
	Restart bool  `json:"restart,omitempty"`
	Leaving *bool `json:"leaving,omitempty"` // sets the flag in the VM list
	Gone    bool  `json:"gone,omitempty"`    // discards all tasks, drops all requests and marks the VM as gone
}

// workerFaults are the injected faults in force at a worker.
type workerFaults struct {
	failAll    bool
	gone       bool
	delay      time.Duration
	pauseUntil time.Time
}

// setFaults applies f, except for the changes to the VM list.
func (w *worker) setFaults(f WorkerFaults) {
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

// restart discards all state but the epoch. The epoch must increase across restarts,
// so that delayed requests of an earlier holder are refused. w.mu must be held.
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
	w.leaseEnd = time.Time{}
	w.changed.wake()
}

// admit delays a request by the injected faults. It reports false if the worker is
// gone.
func (w *worker) admit() bool {
	w.mu.Lock()
	delay := w.faults.delay
	w.mu.Unlock()
	if delay > 0 && !clock.Sleep(w.ctx, delay) {
		return false
	}
	return w.waitWhilePaused()
}

// waitWhilePaused waits until the worker is not paused. It reports false if the worker
// is gone.
func (w *worker) waitWhilePaused() bool {
	for {
		w.mu.Lock()
		gone, pause := w.faults.gone, time.Until(w.faults.pauseUntil)
		w.mu.Unlock()
		if gone || pause <= 0 || !clock.Sleep(w.ctx, pause) {
			return !gone
		}
	}
}

// sweep stops tasks whose lease has expired, drops expired past attempts and reports
// usage.
func (w *worker) sweep(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.state == api.TaskRunning && now.After(t.leaseEnd) {
			w.end(t, api.OutcomeFailed, "the task's lease expired")
		}
	}
	for a, past := range w.past {
		if now.Sub(past.at) > pastAttemptTTL {
			delete(w.past, a)
		}
	}
	if now.Sub(w.sampledAt) >= w.usageLag {
		w.sampledAt = now
		w.publishUsage()
	}
}

// publishUsage queues the sample taken usageLag ago and takes the next one. w.mu must
// be held.
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
	if len(published) == 0 || !time.Now().Before(w.leaseEnd) {
		return
	}
	if last := len(w.events) - 1; last >= 0 && w.events[last].Ended == nil {
		w.events = w.events[:last]
	}
	w.queueEvent(upstream.Event{Usage: published})
}
