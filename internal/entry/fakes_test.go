package entry

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// fakeFleet is a set of workers without capacity limits.
type fakeFleet struct {
	mu         sync.Mutex
	infos      []cell.WorkerInfo
	changed    chan struct{} // closed and replaced when infos changes
	workers    map[string]*fakeWorker
	starts     []string // IDs of started tasks
	hangStarts bool     // starts are neither carried out nor answered
	panicStart bool     // the next start panics
	silent     bool     // renewals are neither carried out nor answered
	renewals   int      // number of calls
	// permitsTook and stopTook are how long a call for permits and a stop take.
	permitsTook, stopTook time.Duration
	stopping, mostStops   int // stops in progress now and at most
	// longestLeaseMS is the longest lease of a worker, to which longer ones are shortened; 0 if
	// leases do not end.
	longestLeaseMS int64
	doubleRuns     []string // tasks that were started while another run of them went on
	// stuckRenewal, if it is not nil, is closed to end the first renewal, which does not
	// end by itself.
	stuckRenewal chan struct{}
}

type fakeWorker struct {
	token    int64
	running  []cell.RunningTask
	ended    []cell.EndedTask
	number   uint64
	restarts int64
	bornMS   int64  // fakeClockMS at its last start
	silent   bool   // neither renewals nor orders are carried out or answered
	discard  uint64 // highest number acknowledged to this incarnation
	leaseEnd int64  // on the worker's clock
}

// prolong extends the worker's lease to a time of its clock, or by the longest lease. f.mu must be held.
func (f *fakeFleet) prolong(w *fakeWorker, deadlineMS int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadlineMS, w.clockMS()+f.longestLeaseMS))
}

// expireLeases ends the runs of workers whose leases have expired. f.mu must be held.
func (f *fakeFleet) expireLeases() {
	for _, w := range f.workers {
		for f.longestLeaseMS > 0 && w.clockMS() > w.leaseEnd && len(w.running) > 0 {
			w.end(w.running[0].Task, w.running[0].Run, cell.EndLeaseExpired)
		}
	}
}

// startedTwice returns the tasks that were started while another run of them went on.
func (f *fakeFleet) startedTwice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.doubleRuns...)
}

// clockMS returns the worker's clock, which begins at 0 when it restarts.
func (w *fakeWorker) clockMS() int64 { return fakeClockMS() - w.bornMS }

// setSilent makes a worker answer nothing, or answer again.
func (f *fakeFleet) setSilent(id string, to bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].silent = to
}

// restart replaces a worker by its next incarnation, which answers.
func (f *fakeFleet) restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*f.workers[id] = fakeWorker{restarts: f.workers[id].restarts + 1, bornMS: fakeClockMS()}
}

// discarded returns the highest number that the worker's incarnation was allowed to discard.
func (f *fakeFleet) discarded(id string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].discard
}

func newFakeFleet(n int) *fakeFleet {
	f := &fakeFleet{workers: map[string]*fakeWorker{}, changed: make(chan struct{})}
	for i := range n {
		id := fmt.Sprintf("w%d", i)
		f.infos = append(f.infos, cell.WorkerInfo{ID: id, Service: "svc", Address: id, Rack: "r0", Capacity: cell.Resources{CPUMilli: 8000, MemoryMB: 8000}})
		f.workers[id] = &fakeWorker{}
	}
	return f
}

func (f *fakeFleet) WatchWorkers(ctx context.Context, update func([]cell.WorkerInfo)) {
	for ctx.Err() == nil {
		f.mu.Lock()
		infos, changed := f.infos, f.changed
		f.mu.Unlock()
		update(infos)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// setRegistered replaces the workers in the registry.
func (f *fakeFleet) setRegistered(infos ...cell.WorkerInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.infos = infos
	close(f.changed)
	f.changed = make(chan struct{})
}

// renewed returns the number of calls to renew a lease so far.
func (f *fakeFleet) renewed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.renewals
}

// fakeClockMS returns the clock of all workers.
func fakeClockMS() int64 { return time.Since(processStart).Milliseconds() + 1 }

func (f *fakeFleet) RenewLease(ctx context.Context, t Target, r LeaseRenewal) (LeaseRenewalResult, error) {
	wait, cancel := context.WithTimeout(ctx, r.Wait/10)
	defer cancel()
	<-wait.Done()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.renewals++; f.renewals == 1 && f.stuckRenewal != nil {
		f.mu.Unlock()
		<-f.stuckRenewal
		f.mu.Lock()
		return LeaseRenewalResult{}, &ControlError{Failure: ControlUnanswered}
	}
	w := f.workers[t.ID]
	if f.silent || w.silent {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return LeaseRenewalResult{}, &ControlError{Failure: ControlUnanswered}
	}
	if r.Token < w.token {
		return LeaseRenewalResult{}, &ControlError{Failure: ControlFenced}
	}
	f.expireLeases()
	w.token, w.discard = r.Token, max(w.discard, r.Acknowledged)
	f.prolong(w, r.DeadlineMS)
	for len(w.ended) > 0 && w.ended[0].Number <= r.Acknowledged {
		w.ended = w.ended[1:]
	}
	return LeaseRenewalResult{ClockMS: w.clockMS(), Listing: cell.Listing{
		Incarnation: 1 + w.restarts, Running: append([]cell.RunningTask(nil), w.running...), Ended: append([]cell.EndedTask(nil), w.ended...),
	}}, nil
}

func (f *fakeFleet) Start(ctx context.Context, t Target, s StartOrder) (cell.StartOutcome, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.panicStart {
		f.panicStart = false
		panic("defect")
	}
	w := f.workers[t.ID]
	if f.hangStarts || w.silent {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return cell.StartUnanswered, 0
	}
	if s.Token < w.token {
		return cell.StartFenced, w.clockMS()
	}
	f.expireLeases()
	w.token = s.Token
	f.prolong(w, s.DeadlineMS)
	for _, other := range f.workers {
		if slices.ContainsFunc(other.running, func(r cell.RunningTask) bool { return r.Task == s.Task }) {
			f.doubleRuns = append(f.doubleRuns, s.Task.String())
		}
	}
	w.running = append(w.running, cell.RunningTask{Task: s.Task, Run: s.Run})
	f.starts = append(f.starts, s.Task.String())
	return cell.StartAccepted, w.clockMS()
}

func (f *fakeFleet) Stop(ctx context.Context, t Target, s StopOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[t.ID]
	if w.silent {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return &ControlError{Failure: ControlUnanswered}
	}
	if s.Token < w.token {
		return &ControlError{Failure: ControlFenced}
	}
	w.token = s.Token
	f.stopping++
	f.mostStops = max(f.mostStops, f.stopping)
	f.mu.Unlock()
	_ = clock.Sleep(ctx, f.stopTook)
	f.mu.Lock()
	f.stopping--
	f.workers[t.ID].end(s.Task, s.Run, cell.EndStopped)
	return nil
}

func (f *fakeFleet) Throttle(context.Context, Target, ThrottleOrder) error { return nil }

func (w *fakeWorker) end(task cell.TaskID, run uint32, kind cell.EndKind) {
	for i, r := range w.running {
		if r.Task == task && r.Run == run {
			w.running = append(w.running[:i], w.running[i+1:]...)
			w.number++
			w.ended = append(w.ended, cell.EndedTask{Number: w.number, Task: task, Run: run, Kind: kind})
			return
		}
	}
}

// endAll ends all running tasks.
func (f *fakeFleet) endAll(kind cell.EndKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for len(w.running) > 0 {
			w.end(w.running[0].Task, w.running[0].Run, kind)
		}
	}
}

func (f *fakeFleet) started() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

// Permits permits every worker.
func (f *fakeFleet) Permits(ctx context.Context, _ string, workers []string) (map[string]string, int64, error) {
	_ = clock.Sleep(ctx, f.permitsTook)
	tickets := map[string]string{}
	for _, id := range workers {
		tickets[id] = "ticket"
	}
	return tickets, 1500, nil
}

// fakeConfiguration is a process's configuration of version 7. Its record is the name of the process.
type fakeConfiguration string

func (c fakeConfiguration) Workspaces() ([]cell.Workspace, uint64) { return nil, 7 }

func (c fakeConfiguration) Copy(known uint64) ConfigurationCopy {
	out := ConfigurationCopy{Version: 7, Age: 1500 * time.Microsecond}
	if known < out.Version {
		out.Record = []byte(c)
	}
	return out
}

// testNode is a started process.
type testNode struct {
	*Node
	stop func()
	log  *clientLog
}

func startNode(t *testing.T, name string, log *fakeLog, fleet *fakeFleet) *testNode {
	t.Helper()
	return startNodeWithShare(t, name, log, fleet, 0)
}

// startNodeWithShare starts a process on a VM with the given CPU share; 0 for unknown.
func startNodeWithShare(t *testing.T, name string, log *fakeLog, fleet *fakeFleet, cpuShare float64) *testNode {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	client := &clientLog{fakeLog: log}
	n := NewNode(Config{
		Name: name, Domain: "d", Incarnation: name + ln.Addr().String(), LinkAddress: ln.Addr().String(),
		Cells: 1, CPUShare: cpuShare, LongestLeaseMS: 6000, KeepEndedMS: 120000, RemoteDataFactor: 3,
		Logger: zaptest.NewLogger(t, zaptest.Level(zap.WarnLevel)).With(zap.String("entry", name)),
	}, Platform{Log: client, Registry: fleet, Controller: fleet, Policy: fleet, Configuration: fakeConfiguration(name)})
	n.Start(ln)
	var once sync.Once
	stop := func() {
		once.Do(func() {
			n.Close()
			n.tasks.Wait() // nothing may log to the test after its end
		})
	}
	t.Cleanup(stop)
	return &testNode{Node: n, stop: stop, log: client}
}

// eventually polls until the condition holds and fails the test after 20 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func (n *testNode) holds() bool {
	if len(n.agents()) == 0 {
		return false
	}
	h, _, _ := n.agents()[0].route()
	return h != nil && h.ready.Load()
}

func (n *testNode) reaches() bool {
	if len(n.agents()) == 0 {
		return false
	}
	h, l, _ := n.agents()[0].route()
	return h != nil || l != nil
}

func testJob(n int) *cell.Job {
	return &cell.Job{
		ID:    fmt.Sprintf("%016x", n),
		Queue: cell.Queue{Name: "q", Service: "svc", MaxAttempts: 2, SlackFactor: 2, TargetLatencyMS: 1000},
		Steps: []cell.Step{{Tasks: 1, Resources: cell.Resources{CPUMilli: 100}, EstimateMS: 100}},
	}
}
