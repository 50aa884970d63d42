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
	retryPause       = 50 * time.Millisecond
	parallelAnswers  = 2 // long answers fetched at once from one worker
	answerMismatches = 3 // after so many, an answer is reported as unreadable
)

// Config is the timing of a held lease.
type Config struct {
	Lease     time.Duration // length of the worker's lease
	TaskLease time.Duration // length of the leases of its tasks
	Renew     time.Duration // longest time between two renewals
}

// Sink receives what happens under a held lease. Its methods are called one at
// a time, carry the epoch of the lease and have to return soon, because they
// delay renewals; they may call the session's commands. Granted comes first.
// After Lost or Released nothing follows.
type Sink interface {
	// Granted passes the grant on. An ended attempt whose answer is not inline
	// is listed as running; Ended follows when the whole answer has been read.
	Granted(grant api.Grant)
	Lost(worker string, epoch uint64)
	Released(worker string, epoch uint64)
	Started(worker string, epoch uint64, attempt api.AttemptID)
	// StartRefused proves that the attempt has not started. reason is a *fault.Error.
	StartRefused(worker string, epoch uint64, attempt api.AttemptID, reason error)
	// Ended passes on an ended attempt with its whole answer, after Started.
	Ended(worker string, epoch uint64, report api.TaskReport)
	Usage(worker string, epoch uint64, used map[api.AttemptID]api.Resources)
}

// Session runs one held lease. Its commands return at once and are repeated
// until the worker answers or the lease is lost; commands after that are
// dropped. It is safe for concurrent use.
type Session struct {
	client *Client
	config Config
	grant  api.Grant
	sink   Sink
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{} // closed after Lost or Released
	slots  chan struct{} // limits parallel fetches of answers

	work      conc.WaitGroup
	releasing atomic.Bool

	// workMu guards what commands change. It is taken after mu, so that the
	// sink may call commands.
	workMu   sync.Mutex
	closed   bool // nothing may be added to work
	acks     []api.AttemptID
	acking   bool
	starting map[api.AttemptID]bool

	mu    sync.Mutex // guards the fields below and orders the sink's calls
	until time.Time
	over  bool
}

// NewSession returns a session for a lease that client.Lease granted. Hold has
// to be called once.
func NewSession(client *Client, config Config, held Held, sink Sink) *Session {
	ctx, cancel := context.WithCancel(context.Background())
	return &Session{
		client: client, config: config, grant: held.Grant, sink: sink,
		ctx: ctx, cancel: cancel, done: make(chan struct{}),
		slots: make(chan struct{}, parallelAnswers),
		until: held.Until, starting: map[api.AttemptID]bool{},
	}
}

// Hold reports the grant, renews the lease and reports what happens until the
// lease is lost or released, and returns nil then. It returns ctx's error if ctx
// ends first, without a report. All its goroutines have ended when it returns.
func (s *Session) Hold(ctx context.Context) error {
	defer s.end()
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	visible, unread := hideUnread(s.grant)
	s.report(func() { s.sink.Granted(visible) })
	for _, report := range unread {
		s.spawn(func() { s.deliver(report) })
	}
	s.spawn(s.poll)
	return s.watch(ctx)
}

// hideUnread lists ended attempts whose answer is not inline as running, so
// that nobody takes an incomplete answer for the whole one.
func hideUnread(grant api.Grant) (visible api.Grant, unread []api.TaskReport) {
	visible = grant
	visible.Tasks = make([]api.TaskReport, 0, len(grant.Tasks))
	for _, report := range grant.Tasks {
		if report.State == api.TaskEnded && !isWhole(report) {
			report.Body = nil
			unread = append(unread, report)
			report = api.TaskReport{Spec: report.Spec, State: api.TaskRunning, Used: report.Used}
		}
		visible.Tasks = append(visible.Tasks, report)
	}
	return visible, unread
}

// watch reports the lease lost as soon as it has lapsed on this side's clock.
func (s *Session) watch(ctx context.Context) error {
	for {
		s.mu.Lock()
		left := time.Until(s.until)
		s.mu.Unlock()
		if left <= 0 {
			s.lose()
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
			s.over = true
			s.mu.Unlock()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// end stops and joins the session's goroutines.
func (s *Session) end() {
	s.cancel()
	s.workMu.Lock()
	s.closed = true
	s.workMu.Unlock()
	s.work.Wait()
}

func (s *Session) spawn(f func()) {
	s.workMu.Lock()
	defer s.workMu.Unlock()
	if !s.closed {
		s.work.Go(f)
	}
}

// report calls f unless the lease is over or has lapsed. The check comes before
// every report, because a paused process continues at an arbitrary place.
func (s *Session) report(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return false
	}
	if !time.Now().Before(s.until) {
		s.finish(func() { s.sink.Lost(s.grant.Worker, s.grant.Epoch) })
		return false
	}
	f()
	return true
}

// finish makes the last report. The caller holds mu.
func (s *Session) finish(f func()) {
	if s.over {
		return
	}
	s.over = true
	f()
	close(s.done)
	s.cancel()
}

func (s *Session) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(func() { s.sink.Lost(s.grant.Worker, s.grant.Epoch) })
}

// retry calls f until it succeeds, is refused, or the lease is over. It returns
// false if the lease is over. A stale epoch means that the lease is lost, but while a
// release is under way its own response decides.
func (s *Session) retry(f func() error) (refusal error, ok bool) {
	for s.ctx.Err() == nil {
		err := f()
		switch {
		case err == nil:
			return nil, true
		case fault.KindOf(err) == fault.StaleEpoch:
			if !s.releasing.Load() {
				s.lose()
			}
			return nil, false
		case refused(err):
			return err, true
		}
		s.sleep(retryPause)
	}
	return nil, false
}

// refused tells a refusal by the worker from a missing or failed response.
func refused(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Internal, fault.NotReady:
		return false
	}
	return true
}

func (s *Session) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}
