package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

const (
	retryDelay          = 50 * time.Millisecond
	maxParallelFetches  = 2 // long answers fetched at once from one worker
	maxAnswerMismatches = 3 // mismatches after which the attempt is reported as failed
)

// Config holds the timing of a Session.
type Config struct {
	Lease         time.Duration // length of the worker's lease
	TaskLease     time.Duration // length of the leases of its tasks
	RenewInterval time.Duration // longest interval between two renewals
}

// Sink receives the reports of a Session. Its methods are called one at a time
// with the epoch of the lease. They must return quickly, because they delay
// renewals, and may call the methods of the session that send commands. Granted
// is called first; after Lost or Released no method is called.
type Sink interface {
	// Granted reports the grant. An ended attempt whose answer is not inline is
	// listed as running; Ended is called when its answer has been fetched.
	Granted(grant api.Grant)
	// Lost reports that the lease has expired or was superseded.
	Lost(worker string, epoch uint64)
	// Released reports that the lease ended after Session.Release.
	Released(worker string, epoch uint64)
	// Started reports that the worker has started the attempt.
	Started(worker string, epoch uint64, attempt api.AttemptID)
	// StartRefused reports that the attempt has certainly not started. reason is a
	// *fault.Error.
	StartRefused(worker string, epoch uint64, attempt api.AttemptID, reason error)
	// Ended reports an ended attempt with its complete answer, after Started.
	Ended(worker string, epoch uint64, report api.TaskReport)
	// Usage reports the measured use of running attempts.
	Usage(worker string, epoch uint64, used map[api.AttemptID]api.Resources)
}

// Session manages one lease from its grant to its end. The methods that send
// commands return at once; a command is repeated until the worker responds or the
// lease ends, and commands after that are dropped. A Session is safe for
// concurrent use.
type Session struct {
	client     *Client
	config     Config
	grant      api.Grant
	sink       Sink
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{} // closed after Lost or Released
	fetchSlots chan struct{} // semaphore for fetches of long answers

	goroutines conc.WaitGroup
	releasing  atomic.Bool

	// workMu guards the fields that commands change. It is locked after mu, so
	// that the sink may call commands.
	workMu   sync.Mutex
	closed   bool                   // no goroutine may be started
	acks     []api.AttemptID        // ended attempts to acknowledge
	acking   bool                   // acknowledge is running
	starting map[api.AttemptID]bool // starts without a response

	mu       sync.Mutex // guards the fields below and serializes the calls of sink
	leaseEnd time.Time
	finished bool // no further call of sink
}

// NewSession returns a session for a lease that was granted to client. The caller
// must call Run once.
func NewSession(client *Client, config Config, lease GrantedLease, sink Sink) *Session {
	ctx, cancel := context.WithCancel(context.Background())
	return &Session{
		client: client, config: config, grant: lease.Grant, sink: sink,
		ctx: ctx, cancel: cancel, done: make(chan struct{}),
		fetchSlots: make(chan struct{}, maxParallelFetches),
		leaseEnd:   lease.Expires, starting: map[api.AttemptID]bool{},
	}
}

// Run reports the grant, renews the lease and reports events until the lease is
// lost or released, and then returns nil. If ctx ends first, it returns the error
// of ctx without a report. All goroutines of the session have ended when it
// returns.
func (s *Session) Run(ctx context.Context) error {
	defer s.shutdown()
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	visible, unfetched := hideUnfetched(s.grant)
	s.ifHeld(func() { s.sink.Granted(visible) })
	for _, report := range unfetched {
		s.spawn(func() { s.fetchAnswer(report) })
	}
	s.spawn(s.poll)
	return s.watchExpiry(ctx)
}

// hideUnfetched returns the grant with ended attempts whose answer is not inline
// listed as running, so that no incomplete answer is used, and the reports of those
// attempts.
func hideUnfetched(grant api.Grant) (visible api.Grant, unfetched []api.TaskReport) {
	visible = grant
	visible.Tasks = make([]api.TaskReport, 0, len(grant.Tasks))
	for _, report := range grant.Tasks {
		if report.State == api.TaskEnded && !isComplete(report) {
			report.Body = nil
			unfetched = append(unfetched, report)
			report = api.TaskReport{Spec: report.Spec, State: api.TaskRunning, Used: report.Used}
		}
		visible.Tasks = append(visible.Tasks, report)
	}
	return visible, unfetched
}

// watchExpiry waits for the end of the lease or of ctx. It reports the lease as
// lost as soon as it has expired by the clock of this process.
func (s *Session) watchExpiry(ctx context.Context) error {
	for {
		s.mu.Lock()
		left := time.Until(s.leaseEnd)
		s.mu.Unlock()
		if left <= 0 {
			s.loseLease()
			return nil
		}
		timer := time.NewTimer(left)
		select {
		case <-s.done:
			timer.Stop()
			return nil
		case <-ctx.Done():
			timer.Stop()
			s.mu.Lock()
			s.finished = true
			s.mu.Unlock()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// shutdown stops the goroutines of the session and waits for them.
func (s *Session) shutdown() {
	s.cancel()
	s.workMu.Lock()
	s.closed = true
	s.workMu.Unlock()
	s.goroutines.Wait()
}

// spawn runs f in a goroutine of the session, or drops f after shutdown.
func (s *Session) spawn(f func()) {
	s.workMu.Lock()
	defer s.workMu.Unlock()
	if !s.closed {
		s.goroutines.Go(f)
	}
}

// ifHeld calls f with mu held and returns true, or returns false if the lease has
// ended or expired. Every report is made through it, because the process may have
// been paused past the end of the lease at any point.
func (s *Session) ifHeld(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished {
		return false
	}
	if !time.Now().Before(s.leaseEnd) {
		s.finish(func() { s.sink.Lost(s.grant.Worker, s.grant.Epoch) })
		return false
	}
	f()
	return true
}

// finish makes the last report and ends the session. The caller holds mu.
func (s *Session) finish(f func()) {
	if s.finished {
		return
	}
	s.finished = true
	f()
	close(s.done)
	s.cancel()
}

// loseLease reports the lease as lost.
func (s *Session) loseLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(func() { s.sink.Lost(s.grant.Worker, s.grant.Epoch) })
}

// retry calls f until it succeeds, the worker refuses it or the lease ends. ok is
// false if the lease has ended. A stale epoch means that the lease is lost, except
// during a release, where the response to the release decides.
func (s *Session) retry(f func() error) (refusal error, ok bool) {
	for s.ctx.Err() == nil {
		err := f()
		switch {
		case err == nil:
			return nil, true
		case fault.KindOf(err) == fault.StaleEpoch:
			if !s.releasing.Load() {
				s.loseLease()
			}
			return nil, false
		case isRefusal(err):
			return err, true
		}
		s.sleep(retryDelay)
	}
	return nil, false
}

// isRefusal reports whether err is a refusal by the worker rather than a missing
// or failed response.
func isRefusal(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Internal, fault.NotReady:
		return false
	}
	return true
}

// sleep waits for d or until the session ends.
func (s *Session) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}
