package cell

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// desk plays the load of an order desk against a Scheduler, with workers, a policy
// service and a log that work without faults, in simulated time.
type desk struct {
	s       *Scheduler
	now     Instant
	events  deskEvents
	workers map[string]*deskWorker
	ids     []string
	callers map[string]Instant // when the calls of an entry process have ended
	classes []deskClass
	jobs    map[string]*deskJob
	order   []*deskJob
	nextID  int
}

// deskClass describes the jobs of a queue. Sizes have a log-normal distribution.
type deskClass struct {
	name            string
	perSecond       float64
	steps           float64
	width           distribution
	cpuMilli        distribution
	workMS          distribution
	estimateSpread  float64
	gangShare       float64
	slackFactor     float64
	targetLatencyMS int64
	allowedShare    float64
	policy          PolicyCost
	rng             *rand.Rand
}

type distribution struct{ mean, spread, max float64 }

func (d distribution) draw(rng *rand.Rand) float64 {
	return min(math.Exp(math.Log(d.mean)-d.spread*d.spread/2+d.spread*rng.NormFloat64()), d.max)
}

type deskJob struct {
	class     *deskClass
	submitted Instant
	objective int64 // ms
	ended     Instant
	work      float64   // thousandths of a core x ms
	stepWork  [][]int64 // run time of each task of each step
}

type deskWorker struct {
	running map[runKey]*deskRun
	ended   []EndedTask
	number  uint64
	dirty   bool
}

type deskRun struct{ started, ends Instant }

type deskEvent struct {
	at   Instant
	call func()
}

type deskEvents []deskEvent

func (e deskEvents) Len() int           { return len(e) }
func (e deskEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e deskEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *deskEvents) Push(x any)        { *e = append(*e, x.(deskEvent)) }
func (e *deskEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Delays of the simulated platform, in ms.
const (
	deskTickMS    = 5
	deskHopMS     = 4  // one way between two processes
	deskAppendMS  = 12 // of a record
	deskListingMS = 1500
	deskMemoryMB  = 1 << 20
)

// newDesk returns a desk with workers of 64 cores.
func newDesk(seed uint64, workers, callers int, classes []deskClass) *desk {
	d := &desk{
		s:       New(Config{RemoteDataFactor: 1, KeepEndedMS: 120000, StopTimeoutMS: 200}),
		workers: map[string]*deskWorker{}, callers: map[string]Instant{},
		classes: classes, jobs: map[string]*deskJob{},
	}
	var names []string
	for i := range callers {
		names = append(names, fmt.Sprintf("e%02d", i))
	}
	d.s.Tick(1, 1)
	d.s.SetCallers(names)
	var infos []WorkerInfo
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		d.ids = append(d.ids, id)
		d.workers[id] = &deskWorker{running: map[runKey]*deskRun{}}
		infos = append(infos, WorkerInfo{ID: id, Service: "svc", Capacity: Resources{CPUMilli: 64000, MemoryMB: deskMemoryMB}})
	}
	d.s.SetWorkers(infos)
	for i, id := range d.ids {
		d.list(id)
		d.after(int64(deskListingMS*i/workers), func() { d.listRepeatedly(id) })
	}
	for i := range classes {
		d.classes[i].rng = rand.New(rand.NewPCG(seed, uint64(i)))
		d.arrive(&d.classes[i])
	}
	return d
}

func (d *desk) after(ms int64, call func()) {
	heap.Push(&d.events, deskEvent{d.now + Instant(ms), call})
}

// run advances the simulation by the given time.
func (d *desk) run(ms int64) {
	for end := d.now + Instant(ms); d.now < end; {
		d.now += deskTickMS
		d.s.Tick(d.now, int64(d.now))
		for len(d.events) > 0 && d.events[0].at <= d.now {
			heap.Pop(&d.events).(deskEvent).call()
		}
		for _, id := range d.ids {
			if d.workers[id].dirty {
				d.list(id)
			}
		}
		for _, a := range d.s.Actions() {
			d.perform(a)
		}
	}
}

// arrive submits a job and schedules the next one of the class.
func (d *desk) arrive(c *deskClass) {
	d.after(int64(c.rng.ExpFloat64()*1000/c.perSecond), func() {
		d.submit(c)
		d.arrive(c)
	})
}

func (d *desk) submit(c *deskClass) {
	d.nextID++
	job := &Job{ID: fmt.Sprintf("%016x", d.nextID), Queue: Queue{
		Name: c.name, Service: "svc", MaxAttempts: 4, SlackFactor: c.slackFactor, TargetLatencyMS: c.targetLatencyMS, Policy: &c.policy,
	}}
	j := &deskJob{class: c, submitted: d.now}
	steps := 1
	for c.rng.Float64() < 1-1/c.steps {
		steps++
	}
	work, chain := c.workMS.draw(c.rng), int64(0)
	demand := int64(c.cpuMilli.draw(c.rng))
	gang := c.rng.Float64() < c.gangShare
	for index := range steps {
		width := max(int(c.width.draw(c.rng)+0.5), 1)
		st := Step{Tasks: width, Resources: Resources{CPUMilli: demand}, Gang: gang && width > 1,
			EstimateMS: int64(work * math.Exp(c.estimateSpread*c.rng.NormFloat64()))}
		if index > 0 {
			st.After = []int{index - 1}
		}
		job.Steps = append(job.Steps, st)
		times := make([]int64, width)
		for i := range times {
			times[i] = int64(work * (1 + 0.15*(2*c.rng.Float64()-1)))
		}
		j.stepWork = append(j.stepWork, times)
		chain += int64(work) + c.policy.Duration(objectiveWorkers)
	}
	j.objective = int64(c.slackFactor*float64(chain)) + c.targetLatencyMS
	j.work = work * float64(demand) * float64(len(j.stepWork)*len(j.stepWork[0]))
	d.jobs[job.ID] = j
	d.order = append(d.order, j)
	d.s.Submit(job)
}

func (d *desk) perform(action Action) {
	switch a := action.(type) {
	case Start:
		d.after(deskHopMS, func() { d.start(a) })
	case Stop:
		d.after(2*deskHopMS, func() {
			d.end(a.Worker, runKey{a.Task, a.Run}, EndStopped)
			d.s.Stopped(a.Worker, a.Task, a.Run)
		})
	case RequestPermits:
		duration := a.duration(d)
		begin := max(d.now+2*deskHopMS, d.callers[a.Caller])
		d.callers[a.Caller] = begin + Instant(duration)
		d.after(int64(d.callers[a.Caller]-d.now)+2*deskHopMS, func() { d.permit(a) })
	case Persist:
		d.after(deskAppendMS, func() { d.s.Stored(a.Seq) })
	case LogEvent:
		if id := a.Job; a.Event == EventJobCompleted {
			d.jobs[id].ended = d.now
		}
	}
}

func (a RequestPermits) duration(d *desk) int64 {
	id, err := ParseTaskID(a.Step + ".0")
	if err != nil {
		panic(err)
	}
	return d.jobs[id.Job].class.policy.Duration(len(a.Workers))
}

// permit answers a call of the policy service.
func (d *desk) permit(a RequestPermits) {
	id, err := ParseTaskID(a.Step + ".0")
	if err != nil {
		panic(err)
	}
	tickets := map[string]string{}
	for _, w := range a.Workers {
		h := fnv.New64a()
		_, _ = h.Write([]byte(a.Step + w)) // never fails
		if float64(h.Sum64()*fibonacciMultiplier>>11)/(1<<53) < d.jobs[id.Job].class.allowedShare {
			tickets[w] = "t"
		}
	}
	d.s.PermitsReceived(PermitResult{Caller: a.Caller, Step: a.Step, Workers: a.Workers, Tickets: tickets, ValidForMS: 1500})
}

// start begins a run. The members of a gang end together, with the slowest.
func (d *desk) start(a Start) {
	times := d.jobs[a.Task.Job].stepWork[a.Task.Step]
	work := times[a.Task.Index]
	if t := d.s.task(a.Task); t != nil && t.step.def.Gang {
		for _, w := range times {
			work = max(work, w)
		}
	}
	key := runKey{a.Task, a.Run}
	d.workers[a.Worker].running[key] = &deskRun{d.now, d.now + Instant(work)}
	d.after(deskHopMS, func() { d.s.Started(a.Worker, a.Task, a.Run, StartAccepted) })
	d.after(work, func() { d.end(a.Worker, key, EndDone) })
}

func (d *desk) end(worker string, key runKey, kind EndKind) {
	w := d.workers[worker]
	if w.running[key] == nil {
		return
	}
	delete(w.running, key)
	w.number++
	w.ended = append(w.ended, EndedTask{Number: w.number, Task: key.task, Run: key.run, Kind: kind})
	d.after(deskHopMS, func() { w.dirty = true })
}

func (d *desk) listRepeatedly(id string) {
	d.list(id)
	d.after(deskListingMS, func() { d.listRepeatedly(id) })
}

// list sends the listing of a worker.
func (d *desk) list(id string) {
	w := d.workers[id]
	w.dirty = false
	for len(w.ended) > 0 && w.ended[0].Number <= d.s.Acknowledged(id) {
		w.ended = w.ended[1:]
	}
	l := Listing{Worker: id, Incarnation: 1, RequestedAt: d.now - deskHopMS, Ended: w.ended}
	for key, r := range w.running {
		l.Running = append(l.Running, RunningTask{Task: key.task, Run: key.run, Percent: int(100 * (d.now - r.started) / max(r.ends-r.started, 1))})
	}
	d.s.Listed(l)
}

// deskResult is what the callers of a class got.
type deskResult struct {
	jobs, inTime, late int
	owed, earned       float64
}

// worth returns the share of the credit that the jobs earned. A job is worth 0.3 and
// 0.7 times its work against the mean, and a late one a fifth of that.
func (r *deskResult) worth() float64 { return r.earned / max(r.owed, 1) }

// results returns the results of the jobs that were submitted in an interval, by class.
func (d *desk) results(from, to Instant) map[string]*deskResult {
	out := map[string]*deskResult{}
	var counted []*deskJob
	mean := map[string]float64{}
	for _, j := range d.order {
		if j.submitted >= from && j.submitted < to {
			counted = append(counted, j)
			mean[j.class.name] += j.work
		}
	}
	for i := range d.classes {
		out[d.classes[i].name] = &deskResult{}
	}
	for _, j := range counted {
		out[j.class.name].jobs++
	}
	for _, j := range counted {
		r := out[j.class.name]
		worth := min(0.3+0.7*j.work*float64(r.jobs)/mean[j.class.name], 4)
		r.owed += worth
		switch took := int64(j.ended - j.submitted); {
		case j.ended == 0:
		case took <= j.objective:
			r.inTime++
			r.earned += worth
		case took <= expiryFactor*j.objective:
			r.late++
			r.earned += worth / 5
		}
	}
	return out
}

// largeDesk is the load of the order desk on 540 workers, at a share of its size.
func largeDesk(share, load float64) []deskClass {
	rate := share * load
	return []deskClass{
		{"menu-plan", 7.48 * rate, 1.2, distribution{20, 0.8, 120}, distribution{18000, 0.4, 30000}, distribution{5000, 0.5, 12000}, 0.2, 1, 2.2, 1000, 0.25, PolicyCost{624, 8.97}, nil},
		{"grower-match", 12.2 * rate, 1.5, distribution{15, 0.6, 76}, distribution{11000, 0.45, 33000}, distribution{3400, 0.5, 8400}, 0.9, 0, 4, 3000, 0.45, PolicyCost{182, 2.6}, nil},
		{"depot-lookup", 86.8 * rate, 1, distribution{3.1, 0.8, 19}, distribution{16000, 0.45, 47000}, distribution{1000, 0.5, 2500}, 0.5, 0.3, 1.5, 300, 0.7, PolicyCost{26, 0.364}, nil},
	}
}

// With a fifth more load than on the calm large site, which is more than its workers can
// hold, each kind of job must still earn most of its credit, although the tasks of wide
// gangs need room at the same time. The bounds are the users' target for the day as a
// whole and, for urgent jobs, that they hardly notice the rest.
func TestDeskEarnsItsCredit(t *testing.T) {
	d := newDesk(1, 180, 32, largeDesk(1./3, 1.2))
	d.run(35000)
	results := d.results(4000, 14000)
	for name, least := range map[string]float64{"menu-plan": 0.66, "grower-match": 0.66, "depot-lookup": 0.95} {
		r := results[name]
		t.Logf("%s: %d jobs, %d in time, %d late, worth %.3f", name, r.jobs, r.inTime, r.late, r.worth())
		assert.Assert(t, r.worth() >= least, "%s earned %.3f", name, r.worth())
	}
}
