package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/measure"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// TestMeasureDecision measures the calls of Step for one placement at 7 running tasks
// per worker. The design load is 91,000 tasks on 13,000 workers.
func TestMeasureDecision(t *testing.T) {
	measure.SkipUnlessEnabled(t)
	for _, workers := range []int{50, 500, 5_000, 13_000} {
		r := newRig()
		r.hold(workers)
		r.fill(7 * workers)
		var decisions, placements []time.Duration
		for range 20_000 {
			r.now = r.now.Add(time.Millisecond)
			i := r.rng.IntN(len(r.running))
			began := time.Now()
			r.end(i)
			ended := time.Since(began)
			j := r.job()
			began = time.Now()
			r.submit(j)
			decided := time.Since(began)
			r.started(len(r.running) - 1)
			decisions = append(decisions, decided)
			placements = append(placements, ended+time.Since(began))
		}
		label := fmt.Sprintf("%d workers: ", workers)
		measure.Report(t, label+"submit to start, p50", us(measure.Quantile(decisions, 0.5)), "us")
		measure.Report(t, label+"submit to start, p99", us(measure.Quantile(decisions, 0.99)), "us")
		measure.Report(t, label+"all steps of a placement, p50", us(measure.Quantile(placements, 0.5)), "us")
		measure.Report(t, label+"all steps of a placement, p99", us(measure.Quantile(placements, 0.99)), "us")
		r.idle(3) // the timers of the reservations expire
		ticks, summaries := r.idle(3)
		measure.Report(t, label+fmt.Sprintf("ticks with %d tasks", 7*workers), ms(ticks), "ms/s")
		measure.Report(t, label+"summaries", ms(summaries), "ms/s")
	}
}

// TestMeasureIdle measures the time that an idle Core takes for ticks and summaries. The
// target is 12 ms per second for the whole process.
func TestMeasureIdle(t *testing.T) {
	measure.SkipUnlessEnabled(t)
	for _, tasks := range []int{0, 1_000, 10_000, 20_000} {
		r := newRig()
		r.hold(1500 + tasks/7)
		r.fill(tasks)
		ticks, summaries := r.idle(5)
		measure.Report(t, fmt.Sprintf("%d held tasks: ticks and summaries", tasks), ms(ticks+summaries), "ms/s")
	}
	for _, jobs := range []int{1_000, 20_000} {
		r := newRig()
		r.logJobs(rigSelf, 0, jobs)
		r.idle(int(resumeGrace/time.Second) + 1) // nothing is appended again before
		ticks, _ := r.idle(5)
		measure.Report(t, fmt.Sprintf("%d logged jobs of this process: ticks", jobs), ms(ticks), "ms/s")
		r = newRig()
		r.addPeer(rigPeer, "d0", message.Summary{})
		r.logJobs(rigPeer, 0, jobs)
		ticks, _ = r.idle(5)
		measure.Report(t, fmt.Sprintf("%d logged jobs of a peer: ticks", jobs), ms(ticks), "ms/s")
		r = newRig()
		r.claimKeys(0, jobs)
		ticks, _ = r.idle(5)
		measure.Report(t, fmt.Sprintf("%d keys: ticks", jobs), ms(ticks), "ms/s")
		r = newRig()
		r.finishJobs(0, jobs)
		ticks, _ = r.idle(5)
		measure.Report(t, fmt.Sprintf("%d finished jobs: ticks", jobs), ms(ticks), "ms/s")
	}
	for _, workers := range []int{1_500, 13_000} {
		r := newRig()
		r.addPeer(rigPeer, "d0", message.Summary{})
		r.step(VMsChanged{Full: true, VMs: rigVMs(workers, "d0")})
		r.grantRequested()
		ticks, _ := r.idle(5)
		measure.Report(t, fmt.Sprintf("%d workers, half held by a peer: ticks", workers), ms(ticks), "ms/s")
	}
}

func (r *rig) grantRequested() {
	for _, action := range r.core.Step(r.now, Tick{}) {
		if a, ok := action.(AcquireLease); ok {
			r.step(LeaseGranted{Grant: api.Grant{Worker: a.Worker, Epoch: 1, Boot: 1, Capacity: rigShape}})
		}
	}
}

// logJobs makes the core read accept records of services with one task.
func (r *rig) logJobs(writer api.EntryRef, from, to int) {
	for i := from; i < to; i++ {
		j := r.job()
		j.ID, j.Kind = api.NewJobID(writer, uint64(i+1)), api.KindService
		r.step(RecordRead{Offset: uint64(i), Record: record.Record{Writer: writer, Sequence: uint64(i + 1), Accept: &record.Accept{Job: j}}})
	}
}

func (r *rig) claimKeys(from, to int) {
	for i := from; i < to; i++ {
		claim := &record.Claim{Workspace: "a", Key: fmt.Sprintf("order-%08d", i), JobID: api.NewJobID(rigPeer, uint64(i+1))}
		r.step(RecordRead{Offset: uint64(i), Record: record.Record{Writer: rigPeer, Sequence: uint64(i + 1), Claim: claim}})
	}
}

// finishJobs runs requests under minted IDs, whose answers are kept.
func (r *rig) finishJobs(from, to int) {
	if len(r.core.workers.byName) == 0 {
		r.hold(1)
	}
	for range to - from {
		j := r.job()
		j.ID, _ = r.core.MintID(r.now)
		r.submit(j)
		r.started(len(r.running) - 1)
		r.end(len(r.running) - 1)
	}
}

// TestMeasureMemory measures the bytes per item of each kind of state, as the slope of
// the live heap over four sizes.
func TestMeasureMemory(t *testing.T) {
	measure.SkipUnlessEnabled(t)
	sizes := []int{0, 2_000, 5_000, 10_000}
	summary := message.Summary{Held: 1, Capacity: scaled(1 << 30), Free: scaled(1 << 30), Largest: scaled(1 << 30)}
	grow := map[string]func(r *rig, from, to int){
		"known worker": func(r *rig, _, to int) { r.step(VMsChanged{Full: true, VMs: rigVMs(to, "d1")}) },
		"held worker":  func(r *rig, _, to int) { r.holdMore(to) },
		"coordinated attempt": func(r *rig, from, to int) {
			for range to - from {
				r.submitToPeer()
			}
		},
		"held task of a peer": func(r *rig, from, to int) { r.holdTasks(from, to) },
		"logged job, 1 task":  func(r *rig, from, to int) { r.logJobs(rigPeer, from, to) },
		"finished job":        func(r *rig, from, to int) { r.finishJobs(from, to) },
		"key":                 func(r *rig, from, to int) { r.claimKeys(from, to) },
	}
	for name, more := range grow {
		r := newRig()
		r.addPeer(rigPeer, "d1", summary)
		if name == "held task of a peer" {
			r.hold(sizes[3] / 7)
		}
		var x, y []float64
		for i, size := range sizes {
			if i > 0 {
				more(r, sizes[i-1], size)
			}
			r.running = nil
			x, y = append(x, float64(size)), append(y, measure.HeapBytes())
		}
		measure.Report(t, "per "+name, measure.Slope(x, y), "bytes")
		r.core.Summary()
	}
}

func scaled(n int64) api.Resources {
	return api.Resources{CPUMilli: n, MemoryMB: n, Slots: n, Connections: n}
}

// holdMore grants the core the leases of workers in its own failure domain, for which
// it is the preferred holder.
func (r *rig) holdMore(count int) {
	r.step(VMsChanged{Full: true, VMs: rigVMs(count, "d0")})
	r.grantRequested()
}

// submitToPeer submits a request that runs on a worker of the peer.
func (r *rig) submitToPeer() {
	r.token++
	ev := CallerRequest{Token: r.token, Operation: message.OpSubmit, Job: r.job()}
	for _, action := range r.core.Step(r.now, ev) {
		s, ok := action.(Send)
		if !ok {
			continue
		}
		if m, ok := s.Message.(message.Reserve); ok {
			p := message.Placement{Attempt: m.Attempts[0], Worker: fmt.Sprintf("w%d", r.token%1000), Epoch: 1, Boot: 1}
			r.step(PeerMessage{From: s.To, Message: message.Reserved{Placements: []message.Placement{p}}})
			r.step(PeerMessage{From: s.To, Message: message.Started{Attempt: p.Attempt}})
		}
	}
}

// holdTasks starts attempts that the peer coordinates.
func (r *rig) holdTasks(from, to int) {
	for i := from; i < to; i++ {
		id := api.AttemptID{Job: api.NewJobID(rigPeer, uint64(i)), Number: 1}
		j := r.job()
		spec := api.TaskSpec{Coordinator: rigPeer, Workspace: j.Workspace, Class: j.Class, Kind: j.Kind, Resources: j.Resources}
		reserve := message.Reserve{Attempts: []api.AttemptID{id}, Spec: spec, TTLMS: 2000}
		for _, action := range r.core.Step(r.now, PeerMessage{From: rigPeer, Message: reserve}) {
			s, ok := action.(Send)
			if !ok {
				continue
			}
			if m, ok := s.Message.(message.Reserved); ok && len(m.Placements) == 1 {
				r.step(PeerMessage{From: rigPeer, Message: message.Commit{Placement: m.Placements[0]}})
				r.started(len(r.running) - 1)
			}
		}
	}
}

// TestMeasureChange measures the time of changes of membership and leases with 13,000
// workers.
func TestMeasureChange(t *testing.T) {
	measure.SkipUnlessEnabled(t)
	for _, peers := range []int{2, 8, 31, 63} {
		r := newRig()
		for i := range peers {
			r.addPeer(api.EntryRef{Name: fmt.Sprintf("peer-%d", i), Incarnation: 1}, "d0", message.Summary{})
		}
		r.step(VMsChanged{Full: true, VMs: rigVMs(13_000, "d0")})
		r.grantRequested()
		began := time.Now()
		r.step(PeerDown{Ref: api.EntryRef{Name: "peer-0", Incarnation: 1}})
		measure.Report(t, fmt.Sprintf("13000 workers, %d peers: a peer goes down", peers), ms(time.Since(began)), "ms")
		began = time.Now()
		r.step(VMsChanged{VMs: rigVMs(1, "d0")})
		measure.Report(t, fmt.Sprintf("13000 workers, %d peers: one VM changes", peers), ms(time.Since(began)), "ms")
	}
	measureTakeover(t)
	measureCancellations(t)
}

// measureTakeover measures the loss of 1,500 leases, and their new grants with 7 tasks
// each, among 13,000 known workers.
func measureTakeover(t *testing.T) {
	const taken = 1500
	r := newRig()
	r.step(VMsChanged{Full: true, VMs: rigVMs(13_000, "d1")})
	r.addPeer(rigPeer, "d1", message.Summary{})
	changed := rigVMs(taken, "d0")
	r.step(VMsChanged{VMs: changed})
	r.grantRequested()
	var longest time.Duration
	began := time.Now()
	for _, vm := range changed {
		stepBegan := time.Now()
		r.step(LeaseLost{Worker: vm.Name, Epoch: 1})
		longest = max(longest, time.Since(stepBegan))
	}
	measure.Report(t, "1500 leases lost among 13000 workers", ms(time.Since(began)), "ms")
	r.now = r.now.Add(time.Second)
	began = time.Now()
	for _, action := range r.core.Step(r.now, Tick{}) {
		if a, ok := action.(AcquireLease); ok {
			stepBegan := time.Now()
			r.step(LeaseGranted{Grant: rigGrant(a.Worker, 7)})
			longest = max(longest, time.Since(stepBegan))
		}
	}
	measure.Report(t, "1500 workers taken over with 10500 tasks", ms(time.Since(began)), "ms")
	measure.Report(t, "longest step of the takeover", ms(longest), "ms")
	measure.Report(t, "workers held after the takeover", float64(r.core.workers.heldCount), "workers")
}

func rigGrant(worker string, tasks int) api.Grant {
	g := api.Grant{Worker: worker, Epoch: 2, Boot: 1, Capacity: rigShape}
	for i := range tasks {
		spec := api.TaskSpec{Attempt: api.AttemptID{Job: fmt.Sprintf("%s-%d", worker, i), Number: 1}, Coordinator: rigPeer,
			Workspace: "a", Class: "bulk", Kind: api.KindRequest, Resources: api.Resources{CPUMilli: 1000, MemoryMB: 1000, Slots: 1, Connections: 1}}
		g.Tasks = append(g.Tasks, api.TaskReport{Spec: spec, State: api.TaskRunning})
	}
	return g
}

// measureCancellations measures the cancellation of 100,000 waiting requests.
func measureCancellations(t *testing.T) {
	const count = 100_000
	r := newRig()
	r.hold(1)
	r.fill(5)
	for range count {
		j := r.job()
		j.Resources.Slots = 8
		r.submit(j)
	}
	waiting := r.core.queue.Len()
	ids := make([]string, 0, count)
	for id, j := range r.core.jobs.byID {
		if j.tasks[0].phase == taskWaiting {
			ids = append(ids, id)
		}
	}
	steps := make([]time.Duration, 0, count)
	began := time.Now()
	for _, id := range ids {
		r.token++
		stepBegan := time.Now()
		r.step(CallerRequest{Token: r.token, Operation: message.OpCancel, Job: api.Job{ID: id, Workspace: r.core.jobs.byID[id].spec.Workspace}})
		steps = append(steps, time.Since(stepBegan))
	}
	measure.Report(t, fmt.Sprintf("%d waiting requests cancelled", waiting), ms(time.Since(began)), "ms")
	measure.Report(t, "one cancellation, p99", us(measure.Quantile(steps, 0.99)), "us")
	measure.Report(t, "waiting after the wave", float64(r.core.queue.Len()), "tasks")
}
