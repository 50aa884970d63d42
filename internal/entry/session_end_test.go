package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// Guards against a worker without a session because its entry returns while the session that leaseExpired has cancelled is ending.
func TestWorkerThatReturnsWhileItsSessionEnds(t *testing.T) {
	fleet := newFakeFleet(1)
	n := startNode(t, "a", newFakeLog(), fleet)
	eventually(t, "a holder", n.holds)
	h, _, _ := n.agents()[0].route()
	eventually(t, "a listing", func() bool { return fleet.renewed() > 2 })
	fleet.setSilent("w0", true)
	h.setWorkers(nil)
	time.Sleep(1500 * time.Millisecond) // the worker counts as unreachable
	got := make(chan *session, 1)
	h.post(func(*cell.Scheduler) { got <- h.sessions["w0"] })
	s := <-got
	assert.Assert(t, s != nil)
	// A batch of events: the lease expires, and the next update of the registry names the worker.
	release := make(chan struct{})
	h.post(func(*cell.Scheduler) { <-release })
	s.leaseExpired()
	h.setWorkers(fleet.infos)
	close(release)
	fleet.setSilent("w0", false)
	time.Sleep(3 * time.Second)
	has := make(chan [2]bool, 1)
	h.post(func(c *cell.Scheduler) { has <- [2]bool{c.HasWorker("w0"), h.sessions["w0"] != nil} })
	assert.Equal(t, <-has, [2]bool{true, true}, "known, with a session")
}

// Guards against an expiry that a session of a former address reports late, when the worker answers the next session.
func TestLateExpiryOfFormerSession(t *testing.T) {
	fleet := newFakeFleet(2)
	h, runsOn := startOnFirst(t, fleet)
	got := make(chan *session, 1)
	h.post(func(*cell.Scheduler) { got <- h.sessions[runsOn] })
	old := <-got
	infos := slices.Clone(fleet.infos)
	for i := range infos {
		if infos[i].ID == runsOn {
			infos[i].Address = "moved"
		}
	}
	h.setWorkers(infos)
	eventually(t, "the next session", func() bool {
		h.post(func(*cell.Scheduler) { got <- h.sessions[runsOn] })
		s := <-got
		return s != nil && s != old && s.isAnswering()
	})
	old.leaseExpired() // its goroutine was descheduled between the check and the report
	time.Sleep(3 * time.Second)
	assert.Equal(t, fleet.started(), 1)
}

// goneFleet answers renewals as another worker, and stops not at all.
type goneFleet struct {
	*fakeFleet
	gone  atomic.Bool
	stops atomic.Int32
}

func (f *goneFleet) RenewLease(ctx context.Context, t Target, r LeaseRenewal) (LeaseRenewalResult, error) {
	if f.gone.Load() && t.ID == "w0" {
		return LeaseRenewalResult{}, &ControlError{Failure: ControlReplaced}
	}
	return f.fakeFleet.RenewLease(ctx, t, r)
}

func (f *goneFleet) Stop(ctx context.Context, t Target, s StopOrder) error {
	f.stops.Add(1)
	<-ctx.Done()
	return &ControlError{Failure: ControlUnanswered}
}

// Guards against stops to a worker that has been replaced, which go on until the term ends.
func TestStopsToReplacedWorkerEnd(t *testing.T) {
	fleet := newFakeFleet(1)
	log := newFakeLog()
	view := &goneFleet{fakeFleet: fleet}
	n := startCutNode(t, "a", log, &cutFleet{fakeFleet: fleet})
	eventually(t, "a holder", n.holds)
	h, _, _ := n.agents()[0].route()
	got := make(chan *session, 1)
	eventually(t, "a session", func() bool {
		h.post(func(*cell.Scheduler) { got <- h.sessions["w0"] })
		s := <-got
		return s != nil && s.isAnswering()
	})
	h.node.platform.Controller = view // before the orders below
	h.post(func(*cell.Scheduler) {
		h.sessions["w0"].stop(cell.Stop{Worker: "w0", Task: cell.TaskID{Job: "1"}, Run: 1})
	})
	time.Sleep(100 * time.Millisecond)
	view.gone.Store(true)
	h.setWorkers(nil)
	eventually(t, "the end of the session", func() bool {
		has := make(chan bool, 1)
		h.post(func(c *cell.Scheduler) { has <- h.sessions["w0"] == nil && !c.HasWorker("w0") })
		return <-has
	})
	time.Sleep(time.Second)
	before := view.stops.Load()
	time.Sleep(3 * time.Second)
	assert.Equal(t, view.stops.Load(), before, "stops to a worker that is neither registered nor known")
}

// Guards against calls to a worker that never answered this holder and has left, after the wait for its lease.
func TestSessionOfWorkerThatNeverAnsweredEnds(t *testing.T) {
	fleet, log := newFakeFleet(2), newFakeLog()
	a := startNode(t, "a", log, fleet)
	eventually(t, "a holder", a.holds)
	eventually(t, "listings", func() bool { return fleet.renewed() > 4 })
	time.Sleep(500 * time.Millisecond)
	a.stop()
	view := &cutFleet{fakeFleet: fleet, cut: map[string]bool{"w0": true}}
	b := startCutNode(t, "b", log, view)
	eventually(t, "the next holder", b.holds)
	h, _, _ := b.agents()[0].route()
	eventually(t, "a session with the worker", func() bool { return sessionOf(h, "w0") != nil })
	h.setWorkers(fleet.infos[1:])
	eventually(t, "the end of the wait", func() bool {
		removed := make(chan bool, 1)
		h.post(func(s *cell.Scheduler) { removed <- !s.HasWorker("w0") })
		return <-removed
	})
	time.Sleep(2 * time.Second)
	before := view.unheard.Load()
	time.Sleep(3 * time.Second)
	assert.Equal(t, view.unheard.Load(), before, "calls to a worker that is neither registered nor known")
}

// Guards against a roster without a version that counts as no roster at all.
func TestRosterWithoutVersion(t *testing.T) {
	fleet, log := newFakeFleet(2), newFakeLog()
	h, runsOn := func() (*holder, string) {
		n := startNode(t, "a", log, fleet)
		eventually(t, "a holder", n.holds)
		job := testJob(1)
		job.Steps[0].EstimateMS = 60_000
		assert.NilError(t, n.Submit(within(3*time.Second), job))
		eventually(t, "a start", func() bool { return fleet.started() == 1 })
		h, _, _ := n.agents()[0].route()
		on := ""
		fleet.mu.Lock()
		for id, w := range fleet.workers {
			if len(w.running) > 0 {
				on = id
			}
		}
		fleet.mu.Unlock()
		n.stop()
		return h, on
	}()
	_ = h
	log.mu.Lock()
	for name, p := range log.partitions {
		if v, ok := p.newest["workers"]; ok {
			p.newest["workers"] = v[:8]
			t.Log("cut", name)
		}
	}
	log.mu.Unlock()
	view := &cutFleet{fakeFleet: fleet, cut: map[string]bool{runsOn: true}}
	b := startCutNode(t, "b", log, view)
	eventually(t, "the next holder", b.holds)
	time.Sleep(3 * time.Second)
	assert.Equal(t, fleet.started(), 1, "started again while %s may be running it", runsOn)
}

// Guards against a lease that the next session of a worker does not know, because the former one still renews it.
func TestRenewalAfterLastLife(t *testing.T) {
	fleet := newFakeFleet(1)
	h, runsOn := startOnFirst(t, fleet)
	got := make(chan *session, 1)
	h.post(func(*cell.Scheduler) { got <- h.sessions[runsOn] })
	s := <-got
	s.cancel()
	life := s.lastLife()
	time.Sleep(20 * time.Millisecond)
	renewal := s.nextRenewal() // by run, which checked the context before
	assert.Assert(t, renewal.DeadlineMS <= life.deadlineMS, "a lease that ends %d ms after the one that the next session knows", renewal.DeadlineMS-life.deadlineMS)
}

// mutedFleet answers renewals, but no starts and stops while it is muted.
type mutedFleet struct {
	*fakeFleet
	muted  atomic.Bool
	starts atomic.Int32
}

func (f *mutedFleet) Start(ctx context.Context, t Target, s StartOrder) (cell.StartOutcome, int64) {
	f.starts.Add(1)
	if f.muted.Load() {
		<-ctx.Done()
		return cell.StartUnanswered, 0
	}
	return f.fakeFleet.Start(ctx, t, s)
}

func (f *mutedFleet) Stop(ctx context.Context, t Target, s StopOrder) error {
	if f.muted.Load() {
		<-ctx.Done()
		return &ControlError{Failure: ControlUnanswered}
	}
	return f.fakeFleet.Stop(ctx, t, s)
}

// Guards against a task that waits for good because the stop after its unanswered start ends with the session, when the worker's address changes.
func TestStopOutlivesAddress(t *testing.T) {
	for _, moved := range []bool{false, true} {
		fleet := newFakeFleet(1)
		view := &mutedFleet{fakeFleet: fleet}
		view.muted.Store(true)
		ln := startMuted(t, fleet, view)
		eventually(t, "a holder", ln.holds)
		assert.NilError(t, ln.Submit(within(3*time.Second), testJob(1)))
		eventually(t, "a start", func() bool { return view.starts.Load() == 1 })
		time.Sleep(600 * time.Millisecond) // the stop is being repeated
		h, _, _ := ln.agents()[0].route()
		if moved {
			infos := slices.Clone(fleet.infos)
			infos[0].Address = "moved"
			h.setWorkers(infos)
			time.Sleep(100 * time.Millisecond)
		}
		view.muted.Store(false)
		for start := time.Now(); fleet.started() < 1 && time.Since(start) < 15*time.Second; {
			time.Sleep(20 * time.Millisecond)
		}
		assert.Equal(t, fleet.started(), 1, "moved: %v", moved)
		ln.stop()
	}
}

func startMuted(t *testing.T, fleet *fakeFleet, view Controller) *testNode {
	t.Helper()
	return startLeased(t, fleet, view, 6000)
}

// startLeased starts a process that controls the fleet through view, with the given longest lease of workers.
func startLeased(t *testing.T, fleet *fakeFleet, view Controller, longestLeaseMS int64) *testNode {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	client := &clientLog{fakeLog: newFakeLog()}
	n := NewNode(Config{
		Name: "a", Domain: "d", Incarnation: "a" + ln.Addr().String(), LinkAddress: ln.Addr().String(),
		Cells: 1, LongestLeaseMS: longestLeaseMS, KeepEndedMS: 120000, RemoteDataFactor: 3,
		Logger: zaptest.NewLogger(t, zaptest.Level(zap.WarnLevel)),
	}, Platform{Log: client, Registry: fleet, Controller: view, Policy: fleet})
	n.Start(ln)
	stop := sync.OnceFunc(func() {
		n.Close()
		n.tasks.Wait()
	})
	t.Cleanup(stop)
	return &testNode{Node: n, stop: stop, log: client}
}

// movedFleet has another worker at the address "moved".
type movedFleet struct{ *fakeFleet }

func (f movedFleet) RenewLease(ctx context.Context, t Target, r LeaseRenewal) (LeaseRenewalResult, error) {
	if t.Address == "moved" {
		return LeaseRenewalResult{}, &ControlError{Failure: ControlReplaced}
	}
	return f.fakeFleet.RenewLease(ctx, t, r)
}

// Guards against a task that runs twice because the entry of its worker names the address of another one while the lease is in force.
func TestEntryWithAddressOfAnotherWorker(t *testing.T) {
	fleet := newFakeFleet(2)
	n := startMuted(t, fleet, movedFleet{fleet})
	eventually(t, "a holder", n.holds)
	job := testJob(1)
	job.Steps[0].EstimateMS = 60_000
	assert.NilError(t, n.Submit(within(3*time.Second), job))
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	h, _, _ := n.agents()[0].route()
	infos := slices.Clone(fleet.infos)
	for i := range infos {
		fleet.mu.Lock()
		if len(fleet.workers[infos[i].ID].running) > 0 {
			infos[i].Address = "moved"
		}
		fleet.mu.Unlock()
	}
	h.setWorkers(infos)
	time.Sleep(3 * time.Second)
	assert.Equal(t, fleet.runs(), 1, "runs of one task")
}
