package upstream_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
	"github.com/fulmarlatch/fulmarlatch/internal/upstream"
)

// sink sends every call as one line to lines, and every report to ended.
type sink struct {
	lines chan string
	ended chan api.TaskReport
}

func newSink() *sink {
	return &sink{lines: make(chan string, 100), ended: make(chan api.TaskReport, 100)}
}

func (s *sink) Granted(g api.Grant)     { s.lines <- fmt.Sprint("granted ", len(g.Tasks)) }
func (s *sink) Lost(string, uint64)     { s.lines <- "lost" }
func (s *sink) Released(string, uint64) { s.lines <- "released" }
func (s *sink) Started(_ string, _ uint64, a api.AttemptID) {
	s.lines <- "started " + a.Job
}
func (s *sink) StartRefused(_ string, _ uint64, a api.AttemptID, err error) {
	s.lines <- "refused " + a.Job + " " + string(fault.KindOf(err))
}
func (s *sink) Ended(_ string, _ uint64, r api.TaskReport) {
	s.lines <- "ended " + r.Spec.Attempt.Job
	s.ended <- r
}
func (s *sink) Usage(string, uint64, map[api.AttemptID]api.Resources) {}

func (s *sink) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s.lines:
		assert.Equal(t, got, want)
	case <-time.After(20 * time.Second):
		t.Fatalf("no report %q", want)
	}
}

// fixture is a platform with one worker and a client of that worker.
type fixture struct {
	platform *standin.Platform
	client   *upstream.Client
	name     string
}

func setup(t *testing.T) fixture {
	p, err := standin.Start(standin.Config{Workers: []standin.WorkerGroup{{
		Count: 1, Capacity: api.Resources{CPUMilli: 8000, MemoryMB: 8000, Slots: 2}}}})
	assert.NilError(t, err)
	f := fixture{platform: p}
	for name, address := range p.Addresses().Workers {
		f.name, f.client = name, upstream.NewClient(address)
	}
	t.Cleanup(func() {
		assert.Check(t, p.Close())
		f.client.Close()
	})
	return f
}

// hold acquires the lease for holder and runs its session until the test ends.
func (f fixture) hold(t *testing.T, holder string, lease time.Duration) (*upstream.Session, *sink) {
	t.Helper()
	config := upstream.Config{Lease: lease, TaskLease: time.Minute, RenewInterval: lease / 3}
	var granted upstream.GrantedLease
	var err error
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		if granted, err = f.client.Lease(context.Background(), holder, config.Lease, config.TaskLease); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.NilError(t, err)
	s := newSink()
	session := upstream.NewSession(f.client, config, granted, s)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = session.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return session, s
}

// spec returns the spec of a batch task that uses one slot.
func spec(job string, payload standin.Payload) api.TaskSpec {
	data, _ := json.Marshal(payload)
	return api.TaskSpec{Attempt: api.AttemptID{Job: job, Number: 1}, Kind: api.KindBatch,
		Idempotent: true, Resources: api.Resources{Slots: 1}, Payload: data}
}

// TestLongAnswers guards against answers that are reported incomplete, when they
// span several ranges and when another holder takes over the lease.
func TestLongAnswers(t *testing.T) {
	f := setup(t)
	session, s := f.hold(t, "a", 15*time.Second)
	s.expect(t, "granted 0")
	sizes := []int{0, 1000, upstream.InlineAnswerBytes, 1 << 20, 3<<20 + 17}
	for i, size := range sizes {
		job := fmt.Sprint("job", i)
		payload := standin.Payload{AnswerBytes: size, Echo: "e" + job}
		session.Start(spec(job, payload))
		s.expect(t, "started "+job)
		s.expect(t, "ended "+job)
		report := <-s.ended
		assert.NilError(t, standin.CheckAnswer(report.Body, job, 0, payload))
	}
	session.Release()
	s.expect(t, "released")
	_, s = f.hold(t, "b", 15*time.Second)
	s.expect(t, "granted 5")
	got := map[string]bool{}
	for range 3 { // the answers that are not inline
		report := <-s.ended
		got[report.Spec.Attempt.Job] = true
		assert.Assert(t, len(report.Body) > upstream.InlineAnswerBytes)
	}
	assert.DeepEqual(t, got, map[string]bool{"job2": true, "job3": true, "job4": true})
}

// TestLostWhilePaused guards against a session that continues after the worker has
// not responded for the length of the lease, and against a start that is reported
// after that.
func TestLostWhilePaused(t *testing.T) {
	f := setup(t)
	session, s := f.hold(t, "a", 600*time.Millisecond)
	s.expect(t, "granted 0")
	assert.NilError(t, f.platform.SetWorkerFaults(f.name, standin.WorkerFaults{PauseMS: 5000}))
	began := time.Now()
	session.Start(spec("job", standin.Payload{WorkMS: 60_000}))
	s.expect(t, "lost")
	assert.Assert(t, time.Since(began) < 5*time.Second)
	// The worker grants a request that timed out during the pause once the pause
	// ends, so the next grant has to wait for that short lease to expire.
	_, next := f.hold(t, "b", 1500*time.Millisecond)
	next.expect(t, "granted 0") // the delayed start has an older epoch
	assert.Equal(t, len(s.lines), 0)
	assert.Equal(t, len(f.platform.History(0).Runs), 0)
}

// TestShortPauseKeepsLease guards against a lease that is reported as lost although
// it is renewed in time, and against repeated starts that run twice or not at all.
func TestShortPauseKeepsLease(t *testing.T) {
	f := setup(t)
	session, s := f.hold(t, "a", 6*time.Second)
	s.expect(t, "granted 0")
	assert.NilError(t, f.platform.SetWorkerFaults(f.name, standin.WorkerFaults{PauseMS: 2500}))
	session.Start(spec("job", standin.Payload{WorkMS: 10}))
	s.expect(t, "started job")
	s.expect(t, "ended job")
	session.Acknowledge([]api.AttemptID{{Job: "job", Number: 1}})
	session.Release()
	s.expect(t, "released")
	assert.Equal(t, len(f.platform.History(0).Runs), 1)
	assert.Equal(t, len(f.platform.Violations()), 0)
}

// TestCommandDuringRelease guards against a lease that is reported as lost because
// the worker refuses a command while the lease is being released.
func TestCommandDuringRelease(t *testing.T) {
	for range 5 {
		f := setup(t)
		session, s := f.hold(t, "a", 6*time.Second)
		s.expect(t, "granted 0")
		session.Release()
		for n := range 20 {
			session.Acknowledge([]api.AttemptID{{Job: "job", Number: n}})
		}
		s.expect(t, "released")
	}
}

// TestCommands guards against refusals that are not reported, a stop that does not
// reach the worker, and a lease that is not reported as lost when the worker
// restarts.
func TestCommands(t *testing.T) {
	f := setup(t)
	session, s := f.hold(t, "a", 15*time.Second)
	s.expect(t, "granted 0")
	session.Start(spec("a", standin.Payload{WorkMS: 60_000}))
	session.Control(api.AttemptID{Job: "a", Number: 1}, upstream.Stop)
	s.expect(t, "started a")
	s.expect(t, "ended a")
	assert.Equal(t, (<-s.ended).Error, "stopped")
	big := spec("b", standin.Payload{})
	big.Resources.Slots = 3
	session.Start(big)
	s.expect(t, "refused b no_capacity")

	_, err := f.client.Lease(context.Background(), "b", time.Second, time.Second)
	var leaseHeld *upstream.LeaseHeldError
	assert.Assert(t, errors.As(err, &leaseHeld) && leaseHeld.Holder == "a" && leaseHeld.Remaining > 0)
	assert.NilError(t, f.platform.SetWorkerFaults(f.name, standin.WorkerFaults{Restart: true}))
	s.expect(t, "lost")
}
