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

// The fakes below simulate everything around the cores: workers with leases, a log and
// links between processes. Simulated time advances in steps of TickInterval.

const (
	fakeLease    = 3 * time.Second
	fakePeerDown = 3 * time.Second
	leavingGrace = 3 * time.Second // how long tasks may still start on a leaving worker
)

// fakeTask is an attempt on a fake worker.
type fakeTask struct {
	spec   api.TaskSpec
	endsAt time.Time
	ended  bool
	err    string
}

// fakeWorker implements the worker contract of the design page.
type fakeWorker struct {
	vm      api.VM
	boot    uint64
	epoch   uint64
	holder  api.EntryRef
	expires time.Time
	tasks   map[api.AttemptID]*fakeTask
	down    bool
	fails   bool      // every task that ends has failed
	leaving time.Time // when it began to leave
}

// fakeProcess is an entry process: a core with its pending events.
type fakeProcess struct {
	core        *Core
	ref         api.EntryRef
	domain      string
	inbox       []Event
	alive       bool
	paused      bool
	lastRun     time.Time // time of its last step
	seenDown    map[string]bool
	read        int       // records read from the log
	hasRead     bool      // has read the log before
	logLagUntil time.Time // until when it cannot read the log
	logUp       bool
	held        map[string]uint64
	stopped     bool
	pending     []record.Record
	repeat      []Action // actions for workers that did not answer
}

// fakeCluster simulates entry processes, workers and the log.
type fakeCluster struct {
	now             time.Time
	procs           map[string]*fakeProcess
	workers         map[string]*fakeWorker
	log             []record.Record
	appendedAt      []int // log uptime at which each record was appended, in steps
	oldest          int   // index of the oldest record kept
	logUptime       int   // of the log, in steps
	retentionSteps  int   // retention of records in steps of log uptime; 0 keeps all
	logUp           bool
	loseAcks        bool // appends take effect and are repeated
	bundle          bundle.Bundle
	answers         map[string]map[uint64]api.Answer
	startsByAttempt map[api.AttemptID]int
	startsByJob     map[string]int
	violations      []string           // violated guarantees
	cutLinks        map[[2]string]bool // pairs of processes without a link
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

func newFakeCluster(processes, workers int) *fakeCluster {
	cluster := &fakeCluster{
		now:             time.Unix(1000, 0),
		procs:           make(map[string]*fakeProcess),
		workers:         make(map[string]*fakeWorker),
		logUp:           true,
		bundle:          testBundle(),
		answers:         make(map[string]map[uint64]api.Answer),
		startsByAttempt: make(map[api.AttemptID]int),
		startsByJob:     make(map[string]int),
		cutLinks:        make(map[[2]string]bool),

		unreachable: make(map[[2]string]bool),
	}
	for i := range workers {
		name := fmt.Sprintf("w%02d", i)
		cluster.workers[name] = &fakeWorker{
			vm: api.VM{Name: name, Role: api.RoleWorker, Address: name, Domain: fmt.Sprintf("d%d", i%2),
				Capacity: api.Resources{CPUMilli: 4000, MemoryMB: 8000, Slots: 4, Connections: 60}},
			boot:  1,
			tasks: make(map[api.AttemptID]*fakeTask),
		}
	}
	for i := range processes {
		cluster.start(fmt.Sprintf("e%d", i), 1)
	}
	return cluster
}

// start starts a new incarnation of an entry process.
func (cluster *fakeCluster) start(name string, incarnation uint64) {
	ref := api.EntryRef{Name: name, Incarnation: incarnation}
	domain := "d0"
	if name == "e1" {
		domain = "d1"
	}
	p := &fakeProcess{
		core: New(Config{Self: ref, Domain: domain, Seed: 7, RefreshInterval: cluster.refreshInterval()}),
		ref:  ref, domain: domain, alive: true,
		seenDown: make(map[string]bool), held: make(map[string]uint64),
	}
	cluster.procs[name] = p
	if cluster.answers[name] == nil {
		cluster.answers[name] = make(map[uint64]api.Answer)
	}
	p.inbox = append(p.inbox, BundleChanged{Roll: 1, Bundle: cluster.bundle}, VMsChanged{Full: true, VMs: cluster.vms()})
	for _, other := range cluster.sortedProcs() {
		// checkLinks brings the links up.
		p.seenDown[other.ref.Name] = true
		other.seenDown[name] = true
	}
}

func (p *fakeProcess) running() bool { return p.alive && !p.paused }

func (cluster *fakeCluster) vms() []api.VM {
	var list []api.VM
	for _, w := range cluster.workers {
		list = append(list, w.vm)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Name < list[k].Name })
	return list
}

func (cluster *fakeCluster) sortedProcs() []*fakeProcess {
	var list []*fakeProcess
	for _, p := range cluster.procs {
		list = append(list, p)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ref.Name < list[k].ref.Name })
	return list
}

// advance runs the simulation for d.
func (cluster *fakeCluster) advance(d time.Duration) {
	for end := cluster.now.Add(d); cluster.now.Before(end); {
		cluster.step()
	}
}

func (cluster *fakeCluster) step() {
	cluster.now = cluster.now.Add(TickInterval)
	cluster.steps++
	cluster.runWorkers()
	cluster.expireLog()
	for _, p := range cluster.sortedProcs() {
		if p.running() {
			cluster.runProcess(p)
		}
	}
	cluster.checkLinks()
}

func (cluster *fakeCluster) runProcess(p *fakeProcess) {
	p.lastRun = cluster.now
	cluster.renew(p)
	if p.logUp != cluster.logUp {
		p.logUp = cluster.logUp
		p.inbox = append(p.inbox, LogState{Up: cluster.logUp})
	}
	if cluster.logUp && !cluster.now.Before(p.logLagUntil) {
		cluster.flush(p)
		cluster.readLog(p)
	}
	repeat := p.repeat
	p.repeat = nil
	for _, action := range repeat {
		cluster.carryOut(p, action)
	}
	p.inbox = append(p.inbox, Tick{})
	events := p.inbox
	p.inbox = nil
	for _, ev := range events {
		for _, action := range p.core.Step(cluster.now, ev) {
			cluster.carryOut(p, action)
		}
	}
	if cluster.steps%10 == 0 {
		summary := p.core.Summary()
		for _, other := range cluster.sortedProcs() {
			cluster.deliver(p, other.ref, summary)
		}
	}
}

func (cluster *fakeCluster) deliver(from *fakeProcess, to api.EntryRef, m message.Message) {
	other := cluster.procs[to.Name]
	if other == nil || other == from || !other.alive || other.ref != to || cluster.isCut(from, other) || from.seenDown[to.Name] {
		return
	}
	other.inbox = append(other.inbox, PeerMessage{From: from.ref, Message: m})
}

func (cluster *fakeCluster) isCut(a, b *fakeProcess) bool {
	return cluster.cutLinks[[2]string{a.ref.Name, b.ref.Name}] || cluster.cutLinks[[2]string{b.ref.Name, a.ref.Name}]
}

// checkLinks takes down the links to processes that were silent for fakePeerDown or
// are cut off, and brings up links that work again.
func (cluster *fakeCluster) checkLinks() {
	for _, p := range cluster.sortedProcs() {
		for _, other := range cluster.sortedProcs() {
			if p == other || !p.running() {
				continue
			}
			silent := !other.running() && cluster.now.Sub(other.lastRun) >= fakePeerDown
			broken := silent || cluster.isCut(p, other)
			switch {
			case broken && !p.seenDown[other.ref.Name]:
				cluster.dropLink(p, other)
			case !broken && other.running() && p.seenDown[other.ref.Name]:
				delete(p.seenDown, other.ref.Name)
				p.inbox = append(p.inbox, PeerUp{Ref: other.ref, Domain: other.domain})
			}
		}
	}
}

// dropLink takes down the link for both sides. A paused process handles the event when
// it resumes.
func (cluster *fakeCluster) dropLink(p, other *fakeProcess) {
	p.seenDown[other.ref.Name] = true
	p.inbox = append(p.inbox, PeerDown{Ref: other.ref})
	if !other.seenDown[p.ref.Name] {
		other.seenDown[p.ref.Name] = true
		other.inbox = append(other.inbox, PeerDown{Ref: p.ref})
	}
}

func (cluster *fakeCluster) carryOut(p *fakeProcess, action Action) {
	switch a := action.(type) {
	case AcquireLease:
		cluster.acquire(p, a)
	case ReleaseLease:
		if w := cluster.workers[a.Worker]; w != nil && w.epoch == a.Epoch && w.holder == p.ref {
			w.expires = cluster.now
		}
		delete(p.held, a.Worker)
		p.inbox = append(p.inbox, LeaseReleased(a))
	case StartTask:
		cluster.startTask(p, a)
	case ControlTask:
		cluster.control(p, a)
	case AcknowledgeTasks:
		cluster.acknowledge(p, a)
	case Send:
		cluster.deliver(p, a.To, a.Message)
	case Append:
		p.pending = append(p.pending, a.Records...)
	case AnswerCaller:
		if _, twice := cluster.answers[p.ref.Name][a.Token]; twice {
			cluster.violation("token %d of %s answered twice", a.Token, p.ref)
		}
		cluster.answers[p.ref.Name][a.Token] = a.Answer
		cluster.checkAnswer(a.Answer)
	case Stopped:
		p.stopped = true
	}
}

func (cluster *fakeCluster) checkAnswer(answer api.Answer) {
	if answer.Outcome == api.OutcomeNotRun && cluster.startsByJob[answer.JobID] > 0 {
		cluster.violation("job %s ran and was answered not_run", answer.JobID)
	}
	if answer.Outcome == api.OutcomeCompleted && answer.Tasks == nil && answer.Error == nil && string(answer.Body) != answer.JobID {
		cluster.violation("job %s was answered with %q", answer.JobID, answer.Body)
	}
}

func (cluster *fakeCluster) violation(format string, args ...any) {
	cluster.violations = append(cluster.violations, fmt.Sprintf("%v: ", cluster.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(format, args...))
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

func (cluster *fakeCluster) control(p *fakeProcess, a ControlTask) {
	w := cluster.reach(p, a.Worker, a.Epoch, a)
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
	cluster.endTask(w, t)
}

// runWorkers ends the tasks whose run time has passed.
func (cluster *fakeCluster) runWorkers() {
	for _, name := range sortedKeys(cluster.workers) {
		w := cluster.workers[name]
		for _, t := range sortedAttempts(w.tasks, anyAttempt) {
			if !w.down && !t.ended && t.spec.Kind != api.KindService && !cluster.now.Before(t.endsAt) {
				if w.fails {
					t.err = "exit 1"
				}
				cluster.endTask(w, t)
			}
		}
	}
}

func (cluster *fakeCluster) endTask(w *fakeWorker, t *fakeTask) {
	t.ended = true
	p := cluster.procs[w.holder.Name]
	if p != nil && p.alive && p.ref == w.holder && cluster.now.Before(w.expires) {
		p.inbox = append(p.inbox, TaskEnded{Worker: w.vm.Name, Epoch: w.epoch, Report: t.report()})
	}
}

// renew renews the leases in held and reports those that were lost.
func (cluster *fakeCluster) renew(p *fakeProcess) {
	for _, name := range sortedKeys(p.held) {
		epoch := p.held[name]
		w := cluster.workers[name]
		if w != nil && !cluster.isDown(p, w) && w.epoch == epoch && cluster.now.Before(w.expires) {
			w.expires = cluster.now.Add(fakeLease)
			continue
		}
		if w != nil && cluster.isDown(p, w) && cluster.now.Before(w.expires) {
			continue
		}
		delete(p.held, name)
		p.inbox = append(p.inbox, LeaseLost{Worker: name, Epoch: epoch})
	}
}

// restartWorker restarts a worker without its tasks and lease, as after a crash.
func (cluster *fakeCluster) restartWorker(name string) {
	w := cluster.workers[name]
	w.boot++
	w.tasks = make(map[api.AttemptID]*fakeTask)
	w.expires = cluster.now
	w.epoch++
	w.holder = api.EntryRef{}
}

func (cluster *fakeCluster) kill(name string)   { cluster.procs[name].alive = false }
func (cluster *fakeCluster) pause(name string)  { cluster.procs[name].paused = true }
func (cluster *fakeCluster) resume(name string) { cluster.resumeLate(name, 0) }

// resumeLate ends a pause. The process reads the log again only after the lag.
func (cluster *fakeCluster) resumeLate(name string, lag time.Duration) {
	p := cluster.procs[name]
	p.paused = false
	p.logLagUntil = cluster.now.Add(lag)
}

// ask passes a caller's request to a process.
func (cluster *fakeCluster) ask(process string, token uint64, op message.Operation, job api.Job) {
	p := cluster.procs[process]
	p.inbox = append(p.inbox, CallerRequest{Token: token, Operation: op, Job: job})
}

func (cluster *fakeCluster) answer(process string, token uint64) api.Answer {
	return cluster.answers[process][token]
}
