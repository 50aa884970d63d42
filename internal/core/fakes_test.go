package core

import (
	"fmt"
	"sort"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// The fakes below stand at the core's interfaces: workers with leases, a log and
// links between processes. Time moves in steps of TickInterval.

const (
	fakeLease    = 3 * time.Second
	fakePeerDown = 3 * time.Second
	leavingBound = 3 * time.Second
)

// fakeTask is an attempt at a fake worker.
type fakeTask struct {
	spec   api.TaskSpec
	endsAt time.Time
	ended  bool
	err    string
}

// fakeWorker keeps the worker contract of the design page.
type fakeWorker struct {
	vm      api.VM
	boot    uint64
	epoch   uint64
	holder  api.EntryRef
	expires time.Time
	tasks   map[api.AttemptID]*fakeTask
	down    bool
	fails   bool // every task that ends
	leaving time.Time
}

// fakeProcess is one core with its pending events.
type fakeProcess struct {
	core     *Core
	ref      api.EntryRef
	domain   string
	inbox    []Event
	alive    bool
	paused   bool
	silence  time.Time // since when it has not run
	seenDown map[string]bool
	read     int       // records of the log
	opened   bool      // the log has been read
	lagsTo   time.Time // the log is not read before
	logUp    bool
	held     map[string]uint64
	stopped  bool
	pending  []record.Record
	repeat   []Action // for workers that did not answer
}

// fakeCell is a cell of fakes.
type fakeCell struct {
	now      time.Time
	procs    map[string]*fakeProcess
	workers  map[string]*fakeWorker
	log      []record.Record
	logged   []int // uptime of the log at each append, in steps
	oldest   int   // records before are dropped
	uptime   int   // of the log, in steps
	keepFor  int   // uptime for which records are kept; 0 for ever
	logUp    bool
	loseAcks bool // appends take effect but are repeated
	bundle   bundle.Bundle
	answers  map[string]map[uint64]api.Answer
	starts   map[api.AttemptID]int
	ran      map[string]int // starts by job
	problems []string
	cut      map[[2]string]bool
	// unreachable holds the pairs of process and worker without a connection.
	unreachable map[[2]string]bool
	steps       int
}

func testBundle() bundle.Bundle {
	b := bundle.Bundle{Version: 1, Timing: bundle.DefaultTiming()}
	b.Fleet.PackingWeight = 0.5
	b.Classes = []bundle.Class{
		{Name: "urgent", Rank: 1, Floor: 0.2, Ceiling: 1, QueueBound: 1000, DeadlineMS: 20000, RetryBudget: 0.5, MaxAttempts: 3},
		{Name: "bulk", Rank: 5, Floor: 0.1, Ceiling: 1, QueueBound: 5000, RetryBudget: 0.5, MaxAttempts: 3, Preemptible: true},
	}
	b.Workspaces = []bundle.Workspace{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
	return b
}

func newFakeCell(processes, workers int) *fakeCell {
	cell := &fakeCell{
		now:     time.Unix(1000, 0),
		procs:   make(map[string]*fakeProcess),
		workers: make(map[string]*fakeWorker),
		logUp:   true,
		bundle:  testBundle(),
		answers: make(map[string]map[uint64]api.Answer),
		starts:  make(map[api.AttemptID]int),
		ran:     make(map[string]int),
		cut:     make(map[[2]string]bool),

		unreachable: make(map[[2]string]bool),
	}
	for i := range workers {
		name := fmt.Sprintf("w%02d", i)
		cell.workers[name] = &fakeWorker{
			vm: api.VM{Name: name, Role: api.RoleWorker, Address: name, Domain: fmt.Sprintf("d%d", i%2),
				Capacity: api.Resources{CPUMilli: 4000, MemoryMB: 8000, Slots: 4, Connections: 60}},
			boot:  1,
			tasks: make(map[api.AttemptID]*fakeTask),
		}
	}
	for i := range processes {
		cell.start(fmt.Sprintf("e%d", i), 1)
	}
	return cell
}

// start starts a new incarnation of an entry process.
func (cell *fakeCell) start(name string, incarnation uint64) {
	ref := api.EntryRef{Name: name, Incarnation: incarnation}
	domain := "d0"
	if name == "e1" {
		domain = "d1"
	}
	p := &fakeProcess{
		core: New(Config{Self: ref, Domain: domain, Seed: 7, RefreshInterval: cell.refreshInterval()}),
		ref:  ref, domain: domain, alive: true,
		seenDown: make(map[string]bool), held: make(map[string]uint64),
	}
	cell.procs[name] = p
	if cell.answers[name] == nil {
		cell.answers[name] = make(map[uint64]api.Answer)
	}
	p.inbox = append(p.inbox, BundleChanged{Roll: 1, Bundle: cell.bundle}, VMsChanged{Full: true, VMs: cell.vms()})
	for _, other := range cell.sorted() {
		// checkLinks reports the links that work.
		p.seenDown[other.ref.Name] = true
		other.seenDown[name] = true
	}
}

func (p *fakeProcess) running() bool { return p.alive && !p.paused }

func (cell *fakeCell) vms() []api.VM {
	var list []api.VM
	for _, w := range cell.workers {
		list = append(list, w.vm)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Name < list[k].Name })
	return list
}

func (cell *fakeCell) sorted() []*fakeProcess {
	var list []*fakeProcess
	for _, p := range cell.procs {
		list = append(list, p)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ref.Name < list[k].ref.Name })
	return list
}

// advance lets the cell run for d.
func (cell *fakeCell) advance(d time.Duration) {
	for end := cell.now.Add(d); cell.now.Before(end); {
		cell.step()
	}
}

func (cell *fakeCell) step() {
	cell.now = cell.now.Add(TickInterval)
	cell.steps++
	cell.runWorkers()
	cell.expireLog()
	for _, p := range cell.sorted() {
		if p.running() {
			cell.runProcess(p)
		}
	}
	cell.checkLinks()
}

func (cell *fakeCell) runProcess(p *fakeProcess) {
	p.silence = cell.now
	cell.renew(p)
	if p.logUp != cell.logUp {
		p.logUp = cell.logUp
		p.inbox = append(p.inbox, LogState{Up: cell.logUp})
	}
	if cell.logUp && !cell.now.Before(p.lagsTo) {
		cell.flush(p)
		cell.readLog(p)
	}
	repeat := p.repeat
	p.repeat = nil
	for _, action := range repeat {
		cell.carryOut(p, action)
	}
	p.inbox = append(p.inbox, Tick{})
	events := p.inbox
	p.inbox = nil
	for _, ev := range events {
		for _, action := range p.core.Step(cell.now, ev) {
			cell.carryOut(p, action)
		}
	}
	if cell.steps%10 == 0 {
		summary := p.core.Summary()
		for _, other := range cell.sorted() {
			cell.deliver(p, other.ref, summary)
		}
	}
}

func (cell *fakeCell) deliver(from *fakeProcess, to api.EntryRef, m message.Message) {
	other := cell.procs[to.Name]
	if other == nil || other == from || !other.alive || other.ref != to || cell.isCut(from, other) || from.seenDown[to.Name] {
		return
	}
	other.inbox = append(other.inbox, PeerMessage{From: from.ref, Message: m})
}

func (cell *fakeCell) isCut(a, b *fakeProcess) bool {
	return cell.cut[[2]string{a.ref.Name, b.ref.Name}] || cell.cut[[2]string{b.ref.Name, a.ref.Name}]
}

// checkLinks reports processes that were silent or cut off for too long, and
// links that work again.
func (cell *fakeCell) checkLinks() {
	for _, p := range cell.sorted() {
		for _, other := range cell.sorted() {
			if p == other || !p.running() {
				continue
			}
			silent := !other.running() && cell.now.Sub(other.silence) >= fakePeerDown
			broken := silent || cell.isCut(p, other)
			switch {
			case broken && !p.seenDown[other.ref.Name]:
				cell.dropLink(p, other)
			case !broken && other.running() && p.seenDown[other.ref.Name]:
				delete(p.seenDown, other.ref.Name)
				p.inbox = append(p.inbox, PeerUp{Ref: other.ref, Domain: other.domain})
			}
		}
	}
}

// dropLink closes the link for both sides; a paused process learns of it later.
func (cell *fakeCell) dropLink(p, other *fakeProcess) {
	p.seenDown[other.ref.Name] = true
	p.inbox = append(p.inbox, PeerDown{Ref: other.ref})
	if !other.seenDown[p.ref.Name] {
		other.seenDown[p.ref.Name] = true
		other.inbox = append(other.inbox, PeerDown{Ref: p.ref})
	}
}

func (cell *fakeCell) carryOut(p *fakeProcess, action Action) {
	switch a := action.(type) {
	case AcquireLease:
		cell.acquire(p, a)
	case ReleaseLease:
		if w := cell.workers[a.Worker]; w != nil && w.epoch == a.Epoch && w.holder == p.ref {
			w.expires = cell.now
		}
		delete(p.held, a.Worker)
		p.inbox = append(p.inbox, LeaseReleased(a))
	case StartTask:
		cell.startTask(p, a)
	case ControlTask:
		cell.control(p, a)
	case AcknowledgeTasks:
		cell.acknowledge(p, a)
	case Send:
		cell.deliver(p, a.To, a.Message)
	case Append:
		p.pending = append(p.pending, a.Records...)
	case AnswerCaller:
		if _, twice := cell.answers[p.ref.Name][a.Token]; twice {
			cell.problem("token %d of %s answered twice", a.Token, p.ref)
		}
		cell.answers[p.ref.Name][a.Token] = a.Answer
		cell.checkAnswer(a.Answer)
	case Stopped:
		p.stopped = true
	}
}

func (cell *fakeCell) checkAnswer(answer api.Answer) {
	if answer.Outcome == api.OutcomeNotRun && cell.ran[answer.JobID] > 0 {
		cell.problem("job %s ran and was answered not_run", answer.JobID)
	}
	if answer.Outcome == api.OutcomeCompleted && answer.Tasks == nil && answer.Error == nil && string(answer.Body) != answer.JobID {
		cell.problem("job %s was answered with %q", answer.JobID, answer.Body)
	}
}

func (cell *fakeCell) problem(format string, args ...any) {
	cell.problems = append(cell.problems, fmt.Sprintf("%v: ", cell.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(format, args...))
}

func (w *fakeWorker) used() api.Resources {
	var sum api.Resources
	for _, t := range w.tasks {
		if !t.ended {
			sum = sum.Add(t.spec.Resources)
		}
	}
	return sum
}

func (cell *fakeCell) control(p *fakeProcess, a ControlTask) {
	w := cell.reach(p, a.Worker, a.Epoch, a)
	if w == nil || a.Command == CommandThrottle {
		return
	}
	t := w.tasks[a.Attempt]
	if t == nil || t.ended {
		return
	}
	t.err = errorStopped
	if a.Command == CommandCheckpoint {
		t.err = errorCheckpointed
	}
	cell.endTask(w, t)
}

// runWorkers ends tasks whose time is over.
func (cell *fakeCell) runWorkers() {
	for _, name := range sortedKeys(cell.workers) {
		w := cell.workers[name]
		for _, t := range sortedAttempts(w.tasks, anyAttempt) {
			if !w.down && !t.ended && t.spec.Kind != api.KindService && !cell.now.Before(t.endsAt) {
				if w.fails {
					t.err = "exit 1"
				}
				cell.endTask(w, t)
			}
		}
	}
}

func (cell *fakeCell) endTask(w *fakeWorker, t *fakeTask) {
	t.ended = true
	p := cell.procs[w.holder.Name]
	if p != nil && p.alive && p.ref == w.holder && cell.now.Before(w.expires) {
		p.inbox = append(p.inbox, TaskEnded{Worker: w.vm.Name, Epoch: w.epoch, Report: t.report()})
	}
}

// renew renews the leases that a process believes to hold, and reports lost ones.
func (cell *fakeCell) renew(p *fakeProcess) {
	for _, name := range sortedKeys(p.held) {
		epoch := p.held[name]
		w := cell.workers[name]
		if w != nil && !cell.isDown(p, w) && w.epoch == epoch && cell.now.Before(w.expires) {
			w.expires = cell.now.Add(fakeLease)
			continue
		}
		if w != nil && cell.isDown(p, w) && cell.now.Before(w.expires) {
			continue
		}
		delete(p.held, name)
		p.inbox = append(p.inbox, LeaseLost{Worker: name, Epoch: epoch})
	}
}

// restartWorker empties a worker, as after a crash.
func (cell *fakeCell) restartWorker(name string) {
	w := cell.workers[name]
	w.boot++
	w.tasks = make(map[api.AttemptID]*fakeTask)
	w.expires = cell.now
	w.epoch++
	w.holder = api.EntryRef{}
}

func (cell *fakeCell) kill(name string)   { cell.procs[name].alive = false }
func (cell *fakeCell) pause(name string)  { cell.procs[name].paused = true }
func (cell *fakeCell) resume(name string) { cell.resumeLate(name, 0) }

// resumeLate ends a pause; the tail of the log goes on after the lag.
func (cell *fakeCell) resumeLate(name string, lag time.Duration) {
	p := cell.procs[name]
	p.paused = false
	p.lagsTo = cell.now.Add(lag)
}

// ask gives a caller's request to a process.
func (cell *fakeCell) ask(process string, token uint64, op message.Operation, job api.Job) {
	p := cell.procs[process]
	p.inbox = append(p.inbox, CallerRequest{Token: token, Operation: op, Job: job})
}

func (cell *fakeCell) answer(process string, token uint64) api.Answer {
	return cell.answers[process][token]
}
