package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// cutFleet is the fleet as seen by one process, which some workers do not hear.
type cutFleet struct {
	*fakeFleet
	unheard atomic.Int32 // renewals sent to workers that do not hear them
	mu      sync.Mutex
	cut     map[string]bool
}

func (f *cutFleet) set(cut map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *cutFleet) isCut(t Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[t.ID]
}

func (f *cutFleet) RenewLease(ctx context.Context, t Target, r LeaseRenewal) (LeaseRenewalResult, error) {
	if f.isCut(t) {
		f.unheard.Add(1)
		<-ctx.Done()
		return LeaseRenewalResult{}, &ControlError{Failure: ControlUnanswered}
	}
	return f.fakeFleet.RenewLease(ctx, t, r)
}

func (f *cutFleet) Start(ctx context.Context, t Target, s StartOrder) (cell.StartOutcome, int64) {
	if f.isCut(t) {
		<-ctx.Done()
		return cell.StartUnanswered, 0
	}
	return f.fakeFleet.Start(ctx, t, s)
}

func (f *cutFleet) Stop(ctx context.Context, t Target, s StopOrder) error {
	if f.isCut(t) {
		<-ctx.Done()
		return &ControlError{Failure: ControlUnanswered}
	}
	return f.fakeFleet.Stop(ctx, t, s)
}

// startCutNode starts a process that can be cut from workers and from the log.
func startCutNode(t *testing.T, name string, log *fakeLog, fleet *cutFleet) *testNode {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	client := &clientLog{fakeLog: log}
	n := NewNode(Config{
		Name: name, Domain: "d", Incarnation: name + ln.Addr().String(), LinkAddress: ln.Addr().String(),
		Cells: 1, LongestLeaseMS: 6000, KeepEndedMS: 120000, RemoteDataFactor: 3,
		Logger: zaptest.NewLogger(t, zaptest.Level(zap.WarnLevel)).With(zap.String("entry", name)),
	}, Platform{Log: client, Registry: fleet, Controller: fleet, Policy: fleet})
	n.Start(ln)
	stop := sync.OnceFunc(func() {
		n.Close()
		n.tasks.Wait() // nothing may log to the test after its end
	})
	t.Cleanup(stop)
	return &testNode{Node: n, stop: stop, log: client}
}

// others returns the IDs of all workers but one.
func (f *fakeFleet) others(id string) map[string]bool {
	out := map[string]bool{}
	for other := range f.workers {
		out[other] = other != id
	}
	return out
}

// Guards against tasks that run twice because a holder that is cut off takes leases for expired that its successor has renewed.
func TestHolderCutFromTheLogDoesNotRestartTasks(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(3)
	views := map[string]*cutFleet{"a": {fakeFleet: fleet}, "b": {fakeFleet: fleet}}
	a := startCutNode(t, "a", log, views["a"])
	eventually(t, "a holder", a.holds)
	b := startCutNode(t, "b", log, views["b"])
	eventually(t, "a follower", b.reaches)
	job := testJob(1)
	job.Steps[0].EstimateMS = 60_000
	assert.NilError(t, a.Submit(within(3*time.Second), job))
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	runsOn, near := "", ""
	fleet.mu.Lock()
	for id, w := range fleet.workers {
		if len(w.running) > 0 {
			runsOn = id
		} else {
			near = id
		}
	}
	fleet.mu.Unlock()

	// The holder and one worker are cut from everything else.
	views["b"].set(map[string]bool{near: true})
	views["a"].set(fleet.others(near))
	a.log.disconnected.Store(true)
	eventually(t, "the next holder", b.holds)
	for start := time.Now(); time.Since(start) < 8*time.Second; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, fleet.runs() <= 1, "the task was started again while its run on %s goes on", runsOn)
	}
}

// Guards against the same for workers that a holder has not reached since its takeover, whose leases it waits for.
func TestNewHolderCutFromTheLogDoesNotRestartTasks(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(3)
	a := startCutNode(t, "a", log, &cutFleet{fakeFleet: fleet})
	eventually(t, "a holder", a.holds)
	job := testJob(1)
	job.Steps[0].EstimateMS = 60_000
	assert.NilError(t, a.Submit(within(3*time.Second), job))
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	runsOn, near := "", ""
	fleet.mu.Lock()
	for id, w := range fleet.workers {
		if len(w.running) > 0 {
			runsOn = id
		} else {
			near = id
		}
	}
	fleet.mu.Unlock()
	a.stop()

	view := &cutFleet{fakeFleet: fleet}
	view.set(fleet.others(near))
	b := startCutNode(t, "b", log, view)
	eventually(t, "the second holder", b.holds)
	time.Sleep(4 * time.Second) // it lists the worker that it reaches
	b.log.disconnected.Store(true)
	c := startCutNode(t, "c", log, &cutFleet{fakeFleet: fleet, cut: map[string]bool{near: true}})
	eventually(t, "the third holder", c.holds)
	for start := time.Now(); time.Since(start) < 9*time.Second; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, fleet.runs() <= 1, "the task was started again while its run on %s goes on", runsOn)
	}
}

// runs returns the number of runs that go on.
func (f *fakeFleet) runs() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		n += len(w.running)
	}
	return n
}
