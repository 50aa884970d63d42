package core

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// rig is a core whose workers grant leases and start tasks at once. Its time advances
// only when the measurement sets it.
type rig struct {
	core    *Core
	now     time.Time
	rng     *rand.Rand
	token   uint64
	running []StartTask // started on the workers and not ended
	answers int
}

// rigShape is the capacity of each worker, as in the measurements of package test.
var rigShape = api.Resources{CPUMilli: 16000, MemoryMB: 32000, Slots: 8, Connections: 60}

var (
	rigSelf = api.EntryRef{Name: "self", Incarnation: 1}
	rigPeer = api.EntryRef{Name: "peer", Incarnation: 1}
)

func newRig() *rig {
	b := testBundle()
	for i := range b.Classes {
		b.Classes[i].QueueBound = 1 << 20
		b.Classes[i].DeadlineMS = 0
	}
	r := &rig{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(7, 7))}
	r.core = New(Config{Self: rigSelf, Domain: "d0", Seed: 7})
	r.step(BundleChanged{Roll: 1, Bundle: b})
	r.step(LogState{Up: true})
	r.step(LogCaughtUp{})
	return r
}

// step passes an event to the core and records the tasks that it starts.
func (r *rig) step(ev Event) {
	for _, action := range r.core.Step(r.now, ev) {
		switch a := action.(type) {
		case StartTask:
			r.running = append(r.running, a)
		case AnswerCaller:
			r.answers++
		}
	}
}

func rigVMs(count int, domain string) []api.VM {
	list := make([]api.VM, count)
	for i := range list {
		list[i] = api.VM{Name: fmt.Sprintf("worker-%05d", i), Role: api.RoleWorker, Address: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
			Domain: domain, Region: "r", Rack: fmt.Sprintf("rack-%d", i/8), Capacity: rigShape}
	}
	return list
}

// hold grants the core the leases of count workers.
func (r *rig) hold(count int) {
	r.step(VMsChanged{Full: true, VMs: rigVMs(count, "d0")})
	for _, action := range r.core.Step(r.now, Tick{}) {
		if a, ok := action.(AcquireLease); ok {
			r.step(LeaseGranted{Grant: api.Grant{Worker: a.Worker, Epoch: 1, Boot: 1, Capacity: rigShape}})
		}
	}
}

// addPeer adds a peer with a working link and a summary.
func (r *rig) addPeer(ref api.EntryRef, domain string, s message.Summary) {
	r.step(PeerUp{Ref: ref, Domain: domain})
	r.step(PeerMessage{From: ref, Message: s})
}

func (r *rig) job() api.Job {
	class, workspace := "urgent", "a"
	if r.rng.IntN(2) == 0 {
		class, workspace = "bulk", "b"
	}
	return api.Job{Class: class, Workspace: workspace, Kind: api.KindRequest, Idempotent: true, Tasks: 1, RunTimeMS: 1000,
		Resources: api.Resources{CPUMilli: 500 + r.rng.Int64N(1500), MemoryMB: 500 + r.rng.Int64N(3000), Slots: 1, Connections: 1}}
}

func (r *rig) submit(j api.Job) {
	r.token++
	r.step(CallerRequest{Token: r.token, Operation: message.OpSubmit, Job: j})
}

// fill submits requests until the given number of tasks run.
func (r *rig) fill(tasks int) {
	for len(r.running) < tasks {
		before := len(r.running)
		r.submit(r.job())
		if len(r.running) == before {
			panic("a request does not fit on the workers of the rig")
		}
		r.started(before)
	}
}

func (r *rig) started(i int) {
	a := r.running[i]
	r.step(TaskStarted{Worker: a.Worker, Epoch: a.Epoch, Attempt: a.Spec.Attempt})
}

// end ends the task at index i.
func (r *rig) end(i int) {
	a := r.running[i]
	last := len(r.running) - 1
	r.running[i] = r.running[last]
	r.running = r.running[:last]
	report := api.TaskReport{Spec: a.Spec, State: api.TaskEnded, Outcome: api.OutcomeCompleted, Body: []byte("x"), Length: 1}
	r.step(TaskEnded{Worker: a.Worker, Epoch: a.Epoch, Report: report})
}

// idle advances the time with ticks and summaries as in a process, and returns the time
// that ticks and summaries took per second.
func (r *rig) idle(seconds int) (ticks, summaries time.Duration) {
	perSecond := int(time.Second / TickInterval)
	for i := range seconds * perSecond {
		r.now = r.now.Add(TickInterval)
		began := time.Now()
		r.step(Tick{})
		ticks += time.Since(began)
		if i%5 == 0 {
			began = time.Now()
			r.core.Summary()
			summaries += time.Since(began)
		}
	}
	return ticks / time.Duration(seconds), summaries / time.Duration(seconds)
}
