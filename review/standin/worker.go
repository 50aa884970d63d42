//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times and limits of the workers, as in the settings and the pages.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 6 * time.Second
	maxWaitMS   = 2000
	listedEnds  = 500 // ends in one list
	stopTime    = 50 * time.Millisecond
	servingTime = 200 * time.Millisecond // startup of a task that lasts
	noAnswer    = 5 * time.Second        // until a connection without an answer is closed
)

// behaviour says how a run goes: when it ends and how. A run with last set goes on until it
// is stopped or the lease expires.
type behaviour struct {
	last bool
	time time.Duration
	how  string // done or failed
}

// fleet is a set of stand-ins for the platform's workers. It keeps the history of all runs.
type fleet struct {
	rec    *record
	store  *store
	policy *policy
	behave func(w *worker, r *run) behaviour // called at each start, with mu held

	mu      sync.Mutex
	workers []*worker
	runs    []*run
}

// worker is one worker. The mutex of its fleet guards it.
type worker struct {
	fleet    *fleet
	id       string
	address  string
	service  string
	kind     string
	rack     string
	cpu, mem int64
	up       bool
	server   *http.Server
	clock0   int64 // reading of its clock when this life began
	born     time.Time
	lives    int
	sequence int64

	token   int64
	lease   time.Time
	running map[string]*run
	highest map[string]int64 // highest run that was stopped or ended, by task
	ends    []*run           // not acknowledged
	lastEnd int64
	change  chan struct{} // closed and replaced when a run ends

	// lateHolds says how much later each of the next holds is carried out, without an answer.
	// Further ones are served as usual.
	lateHolds []time.Duration
}

// run is one run of a task.
type run struct {
	task     string
	number   int64
	worker   *worker
	workerID string
	life     int
	spec     string
	goal     behaviour
	started  time.Time
	ended    time.Time // zero while it is at work
	how      string    // how it ended; "crash" if its worker crashed
	end      int64     // number of its end in the worker's list
	noted    time.Time // when ackedThrough reached its end; zero if it did not
	lapsed   bool      // the worker's lease lapsed between the end and that
	stopping bool
}

func (f *fleet) add(ip, id, service, kind, rack string, cpu, mem, clock0 int64) (*worker, error) {
	w := &worker{fleet: f, id: id, service: service, kind: kind, rack: rack, cpu: cpu, mem: mem, clock0: clock0}
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	w.address = ln.Addr().String()
	f.mu.Lock()
	f.workers = append(f.workers, w)
	w.begin(ln)
	f.mu.Unlock()
	go w.beat()
	go w.tick()
	return w, nil
}

// begin starts a life of the worker. The fleet's mutex must be held.
func (w *worker) begin(ln net.Listener) {
	w.up, w.born, w.lives = true, time.Now(), w.lives+1
	w.token, w.lease = 0, time.Time{}
	w.running, w.highest, w.ends = map[string]*run{}, map[string]int64{}, nil
	w.lastEnd, w.sequence = 0, 0
	w.change = make(chan struct{})
	life := w.lives
	mux := http.NewServeMux()
	handle := func(path string, serve func(http.ResponseWriter, *order)) {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) { w.handle(rw, r, life, serve) })
	}
	handle("/run-start", w.start)
	handle("/run-stop", w.stop)
	handle("/hold", w.hold)
	handle("/pace", func(rw http.ResponseWriter, _ *order) { w.reply(rw, 200, nil) })
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(ln) }(w.server)
	w.register()
}

// crash ends the worker and everything on it: connections break, and none is accepted.
func (f *fleet) crash(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	_ = w.server.Close()
	for _, r := range w.running {
		r.ended, r.how = time.Now(), "crash"
	}
	f.rec.add("worker %s crashes; it ran %v", w.id, slices.Sorted(maps.Keys(w.running)))
	close(w.change)
	w.change = make(chan struct{})
	go w.expire(w.lives)
}

// restart starts a crashed worker again, at its address and under its ID.
func (f *fleet) restart(w *worker) error {
	ln, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w.clock0 = 0
	w.begin(ln)
	f.rec.add("worker %s starts again", w.id)
	return nil
}

// clock returns the reading of the worker's clock, in ms.
func (w *worker) clock() int64 { return w.clock0 + time.Since(w.born).Milliseconds() }

// register writes the worker's entry to the store.
func (w *worker) register() {
	w.sequence++
	w.fleet.store.put("keyed.servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "scot-west-a", "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "sequence": w.sequence, "capacity": map[string]int64{"cpu": w.cpu, "memMb": w.mem},
		"labels": []string{w.kind, w.rack}, "born": w.born.UnixMilli(),
	})
}

// beat writes the worker's entry at each heartbeat while it is up and the store serves.
func (w *worker) beat() {
	for range time.Tick(heartbeat) {
		w.fleet.mu.Lock()
		if w.up && !w.fleet.store.isDown() {
			w.register()
		}
		w.fleet.mu.Unlock()
	}
}

// expire removes the entry after three heartbeats of silence.
func (w *worker) expire(life int) {
	time.Sleep(3 * heartbeat)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !w.up && w.lives == life {
		w.fleet.store.put("keyed.servers", w.id, nil)
		w.fleet.rec.add("entry of worker %s is removed", w.id)
	}
}

// tick ends runs whose time has come or whose lease has expired.
func (w *worker) tick() {
	for range time.Tick(5 * time.Millisecond) {
		w.fleet.mu.Lock()
		if w.up {
			w.advance()
		}
		w.fleet.mu.Unlock()
	}
}

func (w *worker) advance() {
	now := time.Now()
	if now.After(w.lease) {
		for _, end := range w.ends {
			end.lapsed = true
		}
		for _, r := range w.running {
			w.finish(r, "lapsed")
		}
	}
	for _, r := range w.running {
		if !r.goal.last && !r.stopping && now.Sub(r.started) >= r.goal.time {
			w.finish(r, r.goal.how)
		}
	}
}

// finish ends a run and lists its end. The fleet's mutex must be held.
func (w *worker) finish(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.lastEnd++
	r.ended, r.how, r.end = time.Now(), how, w.lastEnd
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.ends = append(w.ends, r)
	w.fleet.rec.add("run %s/%d on %s ends %s (end %d)", r.task, r.number, w.id, how, r.end)
	close(w.change)
	w.change = make(chan struct{})
}

// order is the body of a call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"runId"`
	Spec       string `json:"spec"`
	Token      int64  `json:"fencingToken"`
	DeadlineMS int64  `json:"deadlineMs"`
	Acked      int64  `json:"ackedThrough"`
	WaitMS     int64  `json:"waitMs"`
	Ticket     string `json:"ticket"`

	life int
}

// handle checks a call for the right life and fencing token and serves it.
func (w *worker) handle(rw http.ResponseWriter, r *http.Request, life int, serve func(http.ResponseWriter, *order)) {
	o := order{life: life}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !w.up || w.lives != life {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Token < w.token {
		w.refuse(rw, "fence")
		return
	}
	w.token = o.Token
	w.advance()
	serve(rw, &o)
}

// reply answers with the worker's clock and the given fields.
func (w *worker) reply(rw http.ResponseWriter, status int, fields map[string]any) {
	out := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
	maps.Copy(out, fields)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(answerJSON(out))
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	w.reply(rw, http.StatusConflict, map[string]any{"reason": reason})
}

// extend prolongs the lease up to a reading of the worker's clock, by maxHold at most.
func (w *worker) extend(deadlineMS int64) {
	left := min(time.Duration(deadlineMS-w.clock())*time.Millisecond, maxHold)
	if until := time.Now().Add(left); until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) start(rw http.ResponseWriter, o *order) {
	f := w.fleet
	existing := w.running[o.Task]
	switch {
	case o.DeadlineMS < w.clock():
		w.refuse(rw, "late")
		return
	case existing != nil && existing.number == o.Run:
		w.extend(o.DeadlineMS)
		w.reply(rw, 200, nil)
		return
	case o.Run <= w.highest[o.Task]:
		w.extend(o.DeadlineMS)
		w.refuse(rw, "old")
		return
	case !f.policy.valid(stepOf(o.Task), w.id, w.lives, o.Ticket):
		w.refuse(rw, "ticket")
		return
	}
	if existing != nil {
		w.finish(existing, "stopped")
	}
	w.extend(o.DeadlineMS)
	r := &run{task: o.Task, number: o.Run, worker: w, workerID: w.id, life: w.lives, spec: o.Spec, started: time.Now()}
	r.goal = f.behave(w, r)
	w.running[o.Task] = r
	f.runs = append(f.runs, r)
	f.rec.add("run %s/%d starts on %s", r.task, r.number, w.id)
	w.reply(rw, 200, nil)
}

// stepOf returns the name of a task's step.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (w *worker) stop(rw http.ResponseWriter, o *order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if w.up && w.lives == o.life {
				w.finish(r, "stopped")
			}
		})
	}
	w.reply(rw, 200, nil)
}

// hold renews the lease, takes acknowledgements and lists runs and ends. Without an end to
// list, it waits for one.
func (w *worker) hold(rw http.ResponseWriter, o *order) {
	f := w.fleet
	if len(w.lateHolds) > 0 {
		delay := w.lateHolds[0]
		w.lateHolds = w.lateHolds[1:]
		w.holdLate(o, delay)
	}
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	w.forget(o.Acked)
	timeout := time.After(time.Duration(min(o.WaitMS, maxWaitMS)) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(w.ends) == 0; {
		change := w.change
		f.mu.Unlock()
		select {
		case <-change:
		case <-timeout:
			waiting = false
		}
		f.mu.Lock()
		if !w.up || w.lives != o.life {
			panic(http.ErrAbortHandler)
		}
		if o.Token < w.token {
			w.refuse(rw, "fence")
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, task := range slices.Sorted(maps.Keys(w.running)) {
		r := w.running[task]
		running = append(running, []any{r.task, r.number, "", r.percent(), 0})
	}
	for _, r := range w.ends[:min(len(w.ends), listedEnds)] {
		finished = append(finished, []any{r.end, r.task, r.number, r.how, ""})
	}
	w.reply(rw, 200, map[string]any{"running": running, "finished": finished})
}

// forget forgets the ends up to a number that a call has acknowledged.
func (w *worker) forget(acked int64) {
	for len(w.ends) > 0 && w.ends[0].end <= acked {
		w.ends[0].noted = time.Now()
		w.ends = w.ends[1:]
	}
}

// holdLate leaves a hold without an answer and carries it out later.
func (w *worker) holdLate(o *order, delay time.Duration) {
	w.fleet.rec.add("a hold of worker %s gets no answer and is carried out %v later: ackedThrough %d", w.id, delay, o.Acked)
	time.AfterFunc(delay, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if !w.up || w.lives != o.life || o.Token < w.token {
			return
		}
		if o.DeadlineMS > 0 {
			w.extend(o.DeadlineMS)
		}
		before := len(w.ends)
		w.forget(o.Acked)
		w.fleet.rec.say("the hold of worker %s is carried out: ackedThrough %d, newest end %d, %d ends forgotten", w.id, o.Acked, w.lastEnd, before-len(w.ends))
	})
	w.fleet.mu.Unlock()
	time.Sleep(noAnswer)
	w.fleet.mu.Lock()
	panic(http.ErrAbortHandler)
}

func (r *run) percent() int64 {
	total := r.goal.time
	if r.goal.last {
		total = servingTime
	}
	return min(100*time.Since(r.started).Milliseconds()/max(total.Milliseconds(), 1), 100)
}

// byTask returns all runs of each task.
func (f *fleet) byTask() map[string][]*run {
	out := map[string][]*run{}
	for _, r := range f.runs {
		out[r.task] = append(out[r.task], r)
	}
	return out
}

// runningOn returns the worker that runs a task, or nil.
func (f *fleet) runningOn(task string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.up && w.running[task] != nil {
			return w
		}
	}
	return nil
}

// runningTasks returns the names of the tasks of a job that run now.
func (f *fleet) runningTasks(job string) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]bool{}
	for _, w := range f.workers {
		for task := range w.running {
			if w.up && strings.HasPrefix(task, job+".") {
				out[task] = true
			}
		}
	}
	return out
}

// runsOf returns how many runs a job has had.
func (f *fleet) runsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runs {
		if strings.HasPrefix(r.task, job+".") {
			n++
		}
	}
	return n
}

// atWork returns how many runs are at work on a worker.
func (f *fleet) atWork(w *worker) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(w.running)
}

// summary says how many runs each worker has.
func (f *fleet) summary() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var parts []string
	for _, w := range f.workers {
		state := "down"
		if w.up {
			state = fmt.Sprintf("%d runs", len(w.running))
		}
		parts = append(parts, w.id+": "+state)
	}
	return strings.Join(parts, ", ")
}

// twice returns the breaches of the rule TWICE: two runs of a task at the same time on
// workers that are up, or a start after an end done that was noted then or later, unless
// the worker's lease lapsed between the two.
func (f *fleet) twice() (breaches []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, runs := range f.byTask() {
		for i, later := range runs {
			for _, earlier := range runs[:i] {
				switch {
				case earlier.ended.IsZero() || later.started.Before(earlier.ended):
					breaches = append(breaches, fmt.Sprintf("%s: run %d on %s started while run %d was at work on %s", task, later.number, later.workerID, earlier.number, earlier.workerID))
				case earlier.how == "done" && !earlier.noted.IsZero() && !earlier.lapsed:
					breaches = append(breaches, fmt.Sprintf("%s: run %d on %s started %d ms after run %d had ended done on %s (end %d, noted)",
						task, later.number, later.workerID, later.started.Sub(earlier.ended).Milliseconds(), earlier.number, earlier.workerID, earlier.end))
				}
			}
		}
	}
	slices.Sort(breaches)
	return breaches
}
