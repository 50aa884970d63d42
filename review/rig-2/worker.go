package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Times and sizes of workers, as the site cl-fulmar has them.
const (
	maxHoldMS    = 6000
	stopTime     = 100 * time.Millisecond // at most stopTimeoutMs, 400 ms
	gangTimeout  = 3 * time.Second
	startupTime  = 400 * time.Millisecond // of a task that lasts
	listedEnds   = 500
	workerCPU    = 64000 // thousandths of a core
	workerMemMB  = 131072
	ticketsValid = 1500 * time.Millisecond
)

// worker is a machine with its present worker. world.mu guards it.
type worker struct {
	machine, zone, rack, address string

	id       string
	life     int
	born     time.Time
	up       bool
	server   *http.Server
	capacity int64 // cpu
	token    int64
	leaseEnd time.Time
	running  map[string]*run  // by task
	highest  map[string]int64 // highest run of each task that was stopped or ended
	ended    [][]any          // ends that are not acknowledged
	lastEnd  int64
	wake     chan struct{} // closed at the next end
}

// run is one run of a task.
type run struct {
	task    string
	number  int64
	job     *job
	step    int
	started time.Time
	due     time.Time // zero until it is stopped or, in a gang, until all are present
	how     string    // its end at due
}

func (w *worker) clockMS() int64 { return time.Since(w.born).Milliseconds() }

// begin starts a life of the worker under a new ID and listens at its address.
func (w *worker) begin() error {
	ln, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	w.life++
	w.id = fmt.Sprintf("i-%s-%d", strings.TrimPrefix(w.machine, "m-"), w.life)
	w.born, w.up, w.capacity = time.Now(), true, workerCPU
	w.token, w.leaseEnd, w.ended, w.lastEnd = 0, time.Time{}, nil, 0
	w.running, w.highest, w.wake = map[string]*run{}, map[string]int64{}, make(chan struct{})
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(ln) }(w.server)
	go w.register(w.life)
	return nil
}

// register writes the worker's entry at each heartbeat of a life.
func (w *worker) register(life int) {
	for first := true; ; first = false {
		world.mu.Lock()
		if !w.up || w.life != life {
			world.mu.Unlock()
			return
		}
		id := w.id
		entry, err := json.Marshal(map[string]any{
			"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": w.capacity, "memMb": workerMemMB, "gpu": 0},
			"labels": []string{"a", w.rack}, "born": w.born.UnixMilli(),
		})
		world.mu.Unlock()
		if err != nil {
			panic(err)
		}
		world.store.beat(id, string(entry))
		if first { // the heartbeats of the workers are spread over the interval
			time.Sleep(rand.N(heartbeat))
			continue
		}
		time.Sleep(heartbeat)
	}
}

// crash ends the life of the worker and everything that runs on it.
func (w *worker) crash() {
	world.mu.Lock()
	rec.add("%s (%s) crashes, with %d runs", w.id, w.machine, len(w.running))
	w.up = false
	runs := w.running
	w.running = map[string]*run{}
	for _, r := range runs {
		w.breakGang(r)
		world.lastRun[r.task] = time.Now()
	}
	close(w.wake)
	w.wake = make(chan struct{})
	server := w.server
	world.mu.Unlock()
	_ = server.Close() // resets the connections
}

// finish ends a run and lists its end. world.mu must be held.
func (w *worker) finish(r *run, how string) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.number, how, ""})
	world.lastRun[r.task] = time.Now()
	if how == "done" {
		r.job.done[r.task] = true
	}
	r.job.record("%s ends run %d of %s: %s", w.id, r.number, r.task, how)
	close(w.wake)
	w.wake = make(chan struct{})
	if how != "done" {
		w.breakGang(r)
	}
}

// breakGang ends the other members of a run of a gang. world.mu must be held.
func (w *worker) breakGang(r *run) {
	if !r.job.Steps[r.step].Gang {
		return
	}
	for _, other := range world.workers {
		for _, o := range other.running {
			if o != r && o.job == r.job && o.step == r.step && o.number == r.number {
				other.finish(o, "broken")
			}
		}
	}
}

// tick ends the runs whose time is over and those whose lease has run out. world.mu must be
// held.
func (w *worker) tick(now time.Time) {
	if !w.up {
		return
	}
	lapsed := len(w.running) > 0 && now.After(w.leaseEnd)
	for _, r := range sortedRuns(w.running) {
		switch {
		case w.running[r.task] != r:
		case lapsed:
			w.finish(r, "lapsed")
		case !r.due.IsZero() && !r.due.After(now):
			w.finish(r, r.how)
		}
	}
}

func sortedRuns(runs map[string]*run) []*run {
	out := make([]*run, 0, len(runs))
	for _, r := range runs {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].task < out[j].task })
	return out
}

// order is the body of a call; each kind of call uses some of the fields.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"runId"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Ticket     string `json:"ticket"`
	AckThrough int64  `json:"ackedThrough"`
	WaitMS     int64  `json:"waitMs"`
}

// ServeHTTP serves the orders of the entry processes.
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	var o order
	if json.NewDecoder(in.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler) // no response
	}
	if in.Header.Get("Expected-Instance") != w.id {
		out.WriteHeader(421)
		return
	}
	if o.Token < w.token {
		w.refuse(out, "fence")
		return
	}
	w.token = o.Token
	switch in.URL.Path {
	case "/run-start":
		w.start(out, &o)
	case "/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if r := w.running[o.Task]; r != nil && r.number == o.Run && r.how != "stopped" {
			r.how, r.due = "stopped", time.Now().Add(stopTime)
		}
		answer(out, http.StatusOK, map[string]int64{"clockMs": w.clockMS()})
	case "/hold":
		w.hold(out, &o)
	case "/pace":
		answer(out, http.StatusOK, map[string]int64{"clockMs": w.clockMS()})
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) refuse(out http.ResponseWriter, reason string) {
	answer(out, http.StatusConflict, map[string]any{"clockMs": w.clockMS(), "reason": reason})
}

// extend extends the lease to a time of the worker's clock.
func (w *worker) extend(deadlineMS int64) {
	deadlineMS = min(deadlineMS, w.clockMS()+maxHoldMS)
	if end := w.born.Add(time.Duration(deadlineMS) * time.Millisecond); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) start(out http.ResponseWriter, o *order) {
	parts := strings.Split(o.Task, ".")
	j := world.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		rec.add("%s is told to start %s, which no client sent", w.id, o.Task)
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(j.Steps) {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	existing := w.running[o.Task]
	switch {
	case o.Deadline < w.clockMS():
		w.refuse(out, "late")
		return
	case existing != nil && existing.number == o.Run:
		w.extend(o.Deadline)
		answer(out, http.StatusOK, map[string]int64{"clockMs": w.clockMS()})
		return
	case existing != nil || o.Run <= w.highest[o.Task]:
		w.extend(o.Deadline)
		w.refuse(out, "old")
		return
	case j.queue.Advice != nil && !world.ticketValid(o.Ticket, strings.Join(parts[:3], "."), w.id):
		w.refuse(out, "ticket")
		return
	}
	w.extend(o.Deadline)
	now := time.Now()
	def := &j.Steps[step]
	r := &run{task: o.Task, number: o.Run, job: j, step: step, started: now, how: "done"}
	if !def.LongRunning && !def.Gang {
		r.due = now.Add(j.runTime)
	}
	w.running[o.Task] = r
	j.starts++
	j.record("%s starts run %d of %s (token %d)", w.id, o.Run, o.Task, o.Token)
	if def.Gang {
		w.assemble(r, def)
	}
	answer(out, http.StatusOK, map[string]int64{"clockMs": w.clockMS()})
}

// assemble lets a gang begin its work when all of its tasks are present. Until then, each of
// them waits gangTimeout for the others.
func (w *worker) assemble(r *run, def *step) {
	var present []*run
	for _, other := range world.workers {
		for _, o := range other.running {
			if o.job == r.job && o.step == r.step && o.number == r.number {
				present = append(present, o)
			}
		}
	}
	if len(present) == def.Count {
		for _, o := range present {
			o.how, o.due = "done", time.Now().Add(r.job.runTime)
		}
		return
	}
	r.how, r.due = "alone", time.Now().Add(gangTimeout)
}

// hold renews the lease, forgets acknowledged ends and lists what runs and what has ended.
func (w *worker) hold(out http.ResponseWriter, o *order) {
	life := w.life
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.AckThrough {
		w.ended = w.ended[1:]
	}
	limit := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer limit.Stop()
	for over := o.WaitMS == 0; len(w.ended) == 0 && !over; {
		wake := w.wake
		world.mu.Unlock()
		select {
		case <-wake:
		case <-limit.C:
			over = true
		}
		world.mu.Lock()
		if !w.up || w.life != life {
			panic(http.ErrAbortHandler) // no response
		}
		if o.Token < w.token {
			w.refuse(out, "fence")
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range sortedRuns(w.running) {
		full := max(r.job.runTime, time.Millisecond)
		if r.job.Steps[r.step].LongRunning {
			full = startupTime
		}
		percent := min(100*time.Since(r.started).Milliseconds()/full.Milliseconds(), 100)
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), listedEnds)] {
		finished = append(finished, e)
	}
	answer(out, http.StatusOK, map[string]any{"clockMs": w.clockMS(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}

// used returns the cpu that runs occupy on the worker. world.mu must be held.
func (w *worker) used() (cpu, mem int64) {
	for _, r := range w.running {
		cpu += r.job.Steps[r.step].CPU
		mem += r.job.Steps[r.step].MemMB
	}
	return cpu, mem
}

// fits returns how many tasks of the step fit on the worker now. world.mu must be held.
func (w *worker) fits(s *step) int64 {
	if !w.up {
		return 0
	}
	cpu, mem := w.used()
	return max(min((w.capacity-cpu)/max(s.CPU, 1), (workerMemMB-mem)/max(s.MemMB, 1)), 0)
}
