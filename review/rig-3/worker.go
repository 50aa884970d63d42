//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Capacity of each worker, as on the site kvows-hq.
const (
	workerCPU    = 16000 // thousandths of a core
	workerMemory = 32768 // MB
)

// Times of a worker.
const (
	heartbeat   = 1500 * time.Millisecond
	stopTime    = 200 * time.Millisecond // the site allows 900 ms
	startupTime = 300 * time.Millisecond // of a task that lasts
	workerTick  = 5 * time.Millisecond
)

// behavior says how a run goes on: it ends after a time, or lasts if that is 0.
type behavior struct {
	lasts time.Duration
	end   string // done or failed
}

// taskRun is a run on a worker.
type taskRun struct {
	task    string
	number  uint32
	entry   string
	token   int64
	started time.Time
	ended   time.Time // zero while it runs
	how     string    // how it ended, as the worker lists it; lost if the worker is gone
	behavior
	service  bool
	stopAt   time.Time // when a stop takes effect; zero if none was ordered
	cpu, mem int64
	worker   *worker
}

// endRow is an ended run that is not acknowledged.
type endRow struct {
	number int64
	run    *taskRun
}

// worker is a stand-in for one worker. It follows "Running tasks" of PROTOCOL.md.
type worker struct {
	rig     *rig
	id      string
	address string
	rack    string
	born    time.Time
	bornMS  int64

	mu       sync.Mutex
	changed  *sync.Cond
	token    int64
	lease    int64 // end on the worker's clock, in ms
	running  map[string]*taskRun
	highest  map[string]uint32 // highest run that was stopped or ended, by task
	ended    []endRow
	lastEnd  int64
	gone     bool // lost for good: it answers nothing more and sends no heartbeats
	sequence int
}

// newWorker starts a worker on a free port.
func newWorker(r *rig, index int) (*worker, error) {
	ln, err := net.Listen("tcp4", loopback(kindWorker, index)+":0")
	if err != nil {
		return nil, err
	}
	now := time.Now()
	w := &worker{
		rig: r, id: fmt.Sprintf("i-%04d", index+1), address: ln.Addr().String(), rack: fmt.Sprintf("r1-%d", index/8+1),
		born: now, bornMS: now.UnixMilli(), running: map[string]*taskRun{}, highest: map[string]uint32{},
	}
	w.changed = sync.NewCond(&w.mu)
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = server.Serve(ln) }()
	go w.beat()
	go w.tick()
	return w, nil
}

// clockMS returns the time of the worker's clock, which begins at 100 s.
func (w *worker) clockMS() int64 { return 100_000 + time.Since(w.born).Milliseconds() }

// beat writes the worker's entry to the store until the worker is gone. The store removes it after
// three heartbeats of silence.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		gone := w.gone
		w.sequence++
		entry := map[string]any{
			"service": serviceName, "address": w.address, "zone": "whk-a", "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "sequence": w.sequence, "born": w.bornMS, "clockMs": w.clockMS(),
			"capacity": map[string]int64{"cpu": workerCPU, "memMb": workerMemory, "gpu": 0}, "labels": []string{"a", w.rack},
		}
		w.mu.Unlock()
		if gone {
			time.Sleep(3*heartbeat - heartbeat/2)
			w.rig.store.Delete("keyed.servers", w.id)
			return
		}
		w.rig.store.Put("keyed.servers", w.id, entry)
		time.Sleep(heartbeat)
	}
}

// lose loses the worker for good: it turns dark, and everything that runs on it ends.
func (w *worker) lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	for _, r := range w.running {
		r.ended, r.how = time.Now(), "lost"
	}
	w.running = map[string]*taskRun{}
	w.rig.record("worker %s is lost for good and turns dark", w.id)
}

// tick ends runs whose time has come.
func (w *worker) tick() {
	for range time.Tick(workerTick) {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range w.sorted() {
			switch {
			case w.clockMS() > w.lease:
				w.finish(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.finish(r, "stopped")
			case r.lasts > 0 && now.Sub(r.started) >= r.lasts:
				w.finish(r, r.end)
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) sorted() []*taskRun {
	runs := make([]*taskRun, 0, len(w.running))
	for _, r := range w.running {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].task < runs[j].task })
	return runs
}

// finish ends a run and lists its end. w.mu must be held.
func (w *worker) finish(r *taskRun, how string) {
	delete(w.running, r.task)
	r.ended, r.how = time.Now(), how
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, r})
	w.changed.Broadcast()
	w.rig.recordRun("ends %s: %s run %d on %s", how, r.task, r.number, w.id)
}

// order is the body of a call.
type order struct {
	Task         string `json:"task"`
	Run          uint32 `json:"runId"`
	Spec         string `json:"spec"`
	Token        int64  `json:"fencingToken"`
	DeadlineMS   int64  `json:"deadlineMs"`
	Acknowledged int64  `json:"ackedThrough"`
	WaitMS       int64  `json:"waitMs"`
	Ticket       string `json:"ticket"`
}

// extend extends the lease; a longer one than the platform allows is shortened. w.mu must be held.
func (w *worker) extend(deadlineMS int64) {
	w.lease = max(w.lease, min(deadlineMS, w.clockMS()+maxHoldMS))
}

func answer(c http.ResponseWriter, status int, body any) {
	c.Header().Set("Content-Type", "application/json")
	c.WriteHeader(status)
	_ = json.NewEncoder(c).Encode(body) // the caller may have left
}

func (w *worker) refuse(c http.ResponseWriter, reason string) {
	answer(c, 409, map[string]any{"clockMs": w.clockMS(), "reason": reason})
}

// serve handles one call. A worker that is gone answers none.
func (w *worker) serve(c http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		c.WriteHeader(400)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		w.mu.Unlock()
		select {} // the machine has no power: the connection stays silent
	}
	if q.Header.Get("Expected-Instance") != w.id {
		c.WriteHeader(421)
		return
	}
	if o.Token < w.token {
		w.refuse(c, "fence")
		return
	}
	w.token = o.Token
	switch q.URL.Path {
	case "/run-start":
		w.start(c, &o)
	case "/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if r := w.running[o.Task]; r != nil && r.number == o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
		answer(c, 200, map[string]any{"clockMs": w.clockMS()})
	case "/hold":
		w.hold(c, &o)
	case "/pace":
		answer(c, 200, map[string]any{"clockMs": w.clockMS()})
	default:
		c.WriteHeader(404)
	}
}

// start serves the start of a run. w.mu must be held.
func (w *worker) start(c http.ResponseWriter, o *order) {
	if o.DeadlineMS < w.clockMS() {
		w.refuse(c, "late")
		return
	}
	job := w.rig.job(o.Task)
	if job == nil || job.spec != o.Spec {
		w.rig.violation("UNASKED", "worker %s was told to start %s, which no client sent", w.id, o.Task)
		c.WriteHeader(400)
		return
	}
	if job.queue.advice && !w.rig.validTicket(o.Ticket, o.Task, w.id) {
		w.refuse(c, "ticket")
		return
	}
	w.extend(o.DeadlineMS)
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		answer(c, 200, map[string]any{"clockMs": w.clockMS()})
		return
	}
	if o.Run <= w.highest[o.Task] || w.running[o.Task] != nil {
		w.refuse(c, "old")
		return
	}
	r := &taskRun{task: o.Task, number: o.Run, token: o.Token, started: time.Now(), service: job.lasts, cpu: job.cpu, mem: job.mem, worker: w}
	r.behavior = w.rig.addRun(job, r)
	w.running[o.Task] = r
	w.changed.Broadcast()
	w.rig.recordRun("starts: %s run %d on %s", o.Task, o.Run, w.id)
	answer(c, 200, map[string]any{"clockMs": w.clockMS()})
}

// hold serves a renewal of the lease, which waits for an end. w.mu must be held.
func (w *worker) hold(c http.ResponseWriter, o *order) {
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	for len(w.ended) > 0 && w.ended[0].number <= o.Acknowledged {
		w.ended = w.ended[1:]
	}
	timer := time.AfterFunc(time.Duration(o.WaitMS)*time.Millisecond, w.changed.Broadcast)
	defer timer.Stop()
	for began := time.Now(); len(w.ended) == 0 && time.Since(began).Milliseconds() < o.WaitMS && !w.gone; {
		w.changed.Wait()
	}
	if w.gone {
		w.mu.Unlock()
		select {}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.sorted() {
		running = append(running, []any{r.task, r.number, "", r.percent(), 100})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	answer(c, 200, map[string]any{"clockMs": w.clockMS(), "born": w.bornMS, "running": running, "finished": finished})
}

// percent returns the progress of a run.
func (r *taskRun) percent() int {
	full := r.lasts
	if r.service {
		full = startupTime
	}
	return int(min(100*time.Since(r.started)/max(full, 1), 100))
}

// free returns the free resources of the worker.
func (w *worker) free() (cpu, mem int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return 0, 0
	}
	cpu, mem = workerCPU, workerMemory
	for _, r := range w.running {
		cpu, mem = cpu-r.cpu, mem-r.mem
	}
	return cpu, mem
}

// jobOf returns the ID of the job that a task belongs to.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
