package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/guard"
)

// Timing and limits of a session.
const (
	// renewalWait is how long a worker may delay the response to a renewal until a task
	// ends. If none ends, it is the interval between lease renewals.
	renewalWait = 1500 * time.Millisecond
	// renewalTimeout limits the wait for the response beyond renewalWait.
	renewalTimeout = 700 * time.Millisecond
	// hedgeDelay is how long the first renewal to a worker may take before it is repeated
	// on another connection. Workers respond within some ms.
	hedgeDelay = 250 * time.Millisecond
	// renewalDelay is the delay between a listing and the next renewal. Tasks that end
	// during the delay are listed together, and the platform charges for each renewal.
	renewalDelay = 60 * time.Millisecond
	// acknowledgeTimeout limits the wait for ended tasks to be stored. Without a limit,
	// a silent log would prevent the renewal of the worker's lease.
	acknowledgeTimeout      = 250 * time.Millisecond
	acknowledgePollInterval = 5 * time.Millisecond
	// acknowledgeWindow is how long after a response of the worker ended tasks may be
	// acknowledged, also across a suspension of this VM. A worker that restarts within it is not
	// harmed, as its new incarnation refuses orders for the former one once it is listed.
	acknowledgeWindow = time.Second
	// renewalRetryDelay is the delay after a renewal without a response.
	renewalRetryDelay = 150 * time.Millisecond
	// startWindow is how long a start order remains valid after it was sent.
	startWindow = 2000 * time.Millisecond
	// startTimeout limits the wait for the response to a start. Workers respond within a
	// few ms, and the network takes less than 10 ms.
	startTimeout = 400 * time.Millisecond
	// stopTimeout limits the wait for the response to a stop or throttle order.
	stopTimeout    = 500 * time.Millisecond
	stopRetryDelay = 150 * time.Millisecond
	// maxConcurrentStarts limits the starts in progress at one worker. This limits the
	// number of connections to the worker; the platform charges for each new one.
	maxConcurrentStarts = 6
	// maxConcurrentStops limits the calls in progress at one worker that stop runs. The end of a
	// job may stop thousands of runs at once, and each call takes memory.
	maxConcurrentStops = 16
	// startSlotTimeout is how long a start may wait for a slot. The other tasks of a
	// gang wait for it on their workers, but only for a short time.
	startSlotTimeout = 300 * time.Millisecond
)

// session sends the orders of a holder to one worker and renews the worker's lease.
type session struct {
	holder     *holder
	target     Target
	ctx        context.Context
	cancel     context.CancelFunc
	startSlots chan struct{}
	stopSlots  chan struct{}
	openedAt   time.Time

	mu   sync.Mutex
	life workerLife
	// token is the fencing token of the orders. It rises with each incarnation of the worker that
	// follows another one, so that the present one refuses what was meant for those before.
	token       int64
	effective   bool // an order with this token may change an incarnation that carries it out late
	answering   bool // the last renewal was answered, so that life is the present one
	answered    bool // a renewal was answered at the address of the target
	unreachable bool // the last renewal was not answered
	// latestDeadlineMS is the latest deadline that orders have given so far, on the clock of any incarnation.
	latestDeadlineMS int64
	// otherLifeUntil is when the lease ends, at the latest, of an incarnation that has answered a start
	// and has not been listed; zero if there is none.
	otherLifeUntil time.Time
	otherLifeSince cell.Instant       // when it answered
	abortRenewal   context.CancelFunc // ends the renewal in progress
	// namedIncarnation is the newest incarnation after the known one that the registry has named.
	namedIncarnation int64
	// expiredMS is the deadline of the lease whose end this session reported last, on the
	// worker's clock; 0 if it has reported none of this incarnation.
	expiredMS int64
}

func newSession(h *holder, target Target) *session {
	ctx, cancel := context.WithCancel(h.ctx)
	s := &session{
		holder: h, target: target, ctx: ctx, cancel: cancel, openedAt: time.Now(), abortRenewal: func() {},
		startSlots: make(chan struct{}, maxConcurrentStarts), stopSlots: make(chan struct{}, maxConcurrentStops),
	}
	s.token, s.effective = h.tokens.first()
	return s
}

// run renews the worker's lease and passes its listings to the scheduler, until the
// term ends or the worker is gone.
func (s *session) run() {
	defer s.holder.post(func(*cell.Scheduler) { s.holder.closeSession(s) })
	for s.ctx.Err() == nil && !s.holder.isReleasing() {
		renewal := s.nextRenewal()
		result, err := s.renew(renewal)
		if err != nil && s.isSuperseded(renewal.Token) {
			s.reportInterrupted(result.Listing.RequestedAt)
			continue // the next renewal has a higher token
		}
		if err != nil {
			if !s.handleRenewalError(err, result.Listing.RequestedAt) {
				return
			}
			if !clock.Sleep(s.ctx, renewalRetryDelay) {
				return
			}
			continue
		}
		listing := result.Listing
		if !s.recordResponse(renewal.Token, result) {
			s.reportInterrupted(listing.RequestedAt)
			if s.isSuperseded(renewal.Token) {
				continue
			}
			s.checkLease()
			if !clock.Sleep(s.ctx, renewalRetryDelay) {
				return
			}
			continue
		}
		s.report(func(sched *cell.Scheduler) {
			sched.Listed(listing)
			s.acknowledge(listing.Incarnation, sched.Acknowledged(s.target.ID))
		})
		s.waitBeforeRenewal(listing.Ended)
	}
}

// nextRenewal returns the next renewal to send. If the last one was not answered, the
// worker may have restarted since: the renewal then only asks for a listing, because
// acknowledgements and deadlines of a former life would apply to the present one.
func (s *session) nextRenewal() LeaseRenewal {
	s.mu.Lock()
	defer s.mu.Unlock()
	renewal := LeaseRenewal{Token: s.token}
	if !s.answering {
		return renewal
	}
	renewal.Wait = renewalWait
	if clock.SinceBoot()-s.life.heardAt < acknowledgeWindow {
		renewal.Acknowledged = s.life.acknowledged
	}
	if s.ctx.Err() == nil && s.holder.hasAuthority() {
		renewal.DeadlineMS = s.deadline(s.leaseDuration())
	}
	if renewal.Acknowledged > 0 || renewal.DeadlineMS > 0 {
		s.markEffective()
	}
	return renewal
}

func (s *session) currentToken() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token
}

// isSuperseded reports whether later orders of this session have a higher token.
func (s *session) isSuperseded(token int64) bool { return token < s.currentToken() }

// leaseDuration returns the duration of the leases that the holder gives, on the worker's clock.
func (s *session) leaseDuration() time.Duration {
	return time.Duration(min(s.holder.node.cfg.LongestLeaseMS, maxLeaseMS)) * time.Millisecond
}

// acknowledge lets the worker discard its ended tasks up to number, if it is still in
// the given incarnation.
func (s *session) acknowledge(incarnation int64, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.incarnation == incarnation {
		s.life.acknowledged = number
	}
}

func (s *session) acknowledged() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.acknowledged
}

// renew sends a renewal. While the worker does not answer, it repeats a call that has no
// response after hedgeDelay: a lost packet would otherwise delay the first listing, for
// which all tasks of older jobs wait after a takeover.
func (s *session) renew(r LeaseRenewal) (LeaseRenewalResult, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.mu.Lock()
	s.abortRenewal = cancel
	superseded := r.Token < s.token
	s.mu.Unlock()
	if superseded {
		return LeaseRenewalResult{Listing: cell.Listing{RequestedAt: s.holder.now()}}, context.Canceled
	}
	if s.isAnswering() {
		return s.renewOnce(ctx, r)
	}
	type response struct {
		result LeaseRenewalResult
		err    error
	}
	sentAt := s.holder.now()
	responses := make(chan response, 2)
	call := func() {
		s.holder.spawn("the first renewal to a worker", func() {
			result, err := s.renewOnce(ctx, r)
			responses <- response{result, err}
		})
	}
	call()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for open := 1; ; {
		select {
		case <-hedge.C:
			call()
			open++
		case got := <-responses:
			if open--; got.err == nil || open == 0 {
				return got.result, got.err
			}
		case <-ctx.Done():
			return LeaseRenewalResult{Listing: cell.Listing{RequestedAt: sentAt}}, ctx.Err()
		}
	}
}

// renewOnce makes one call that renews the worker's lease. Also if it fails, the result has
// the time at which it was sent.
func (s *session) renewOnce(ctx context.Context, r LeaseRenewal) (LeaseRenewalResult, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+renewalTimeout)
	defer cancel()
	sentAt := s.holder.now()
	result, err := s.holder.node.platform.Controller.RenewLease(ctx, s.target, r)
	result.Listing.Worker, result.Listing.RequestedAt = s.target.ID, sentAt
	return result, err
}

// waitBeforeRenewal waits for renewalDelay. A worker answers a renewal at once while it
// has ended tasks that are not acknowledged, so waitBeforeRenewal also waits until these
// are stored, for up to acknowledgeTimeout. It returns once the term ends.
func (s *session) waitBeforeRenewal(ended []cell.EndedTask) {
	if !clock.Sleep(s.ctx, renewalDelay) || len(ended) == 0 {
		return
	}
	last := ended[len(ended)-1].Number
	for start := time.Now(); s.acknowledged() < last && time.Since(start) < acknowledgeTimeout; {
		if !clock.Sleep(s.ctx, acknowledgePollInterval) {
			return
		}
	}
}

// handleRenewalError handles a renewal that failed and was sent at the given time, and reports
// whether the session continues.
func (s *session) handleRenewalError(err error, sentAt cell.Instant) bool {
	if s.ctx.Err() != nil {
		return false
	}
	var c *ControlError
	if errors.As(err, &c) && c.Failure == ControlFenced {
		s.holder.endTerm("worker_fenced")
		return false
	}
	if errors.As(err, &c) && c.Failure == ControlReplaced && !s.mayRunElsewhere() {
		s.holder.logger.Info("worker_gone", zap.String("worker", s.target.ID))
		s.report(func(sched *cell.Scheduler) {
			sched.WorkerReplaced(s.target.ID, sentAt)
			// In the same event, so that an entry that is read next opens a session.
			s.holder.closeSession(s)
		})
		return false
	}
	if s.setUnreachable() {
		s.holder.logger.Warn("worker_lost", zap.String("worker", s.target.ID), zap.Error(err))
		s.report(func(sched *cell.Scheduler) { sched.WorkerUnreachable(s.target.ID, sentAt) })
	}
	s.checkLease()
	return true
}

// checkLease reports the end of the lease of the known incarnation, once it is certain.
func (s *session) checkLease() {
	if at, known := s.leaseEnd(); known && s.holder.confirmedSince(at) {
		s.leaseExpired()
	}
}

// reportInterrupted tells the scheduler that a renewal, sent at the given time, was not answered by
// the known incarnation. It decides by that time which runs cannot have ended before a crash: from then
// on their ends would have been answered.
func (s *session) reportInterrupted(sentAt cell.Instant) {
	s.report(func(sched *cell.Scheduler) { sched.WorkerUnreachable(s.target.ID, sentAt) })
}

// report passes an event to the scheduler, unless the worker has another session by then. What
// a former session knows may be of a former incarnation.
func (s *session) report(event func(*cell.Scheduler)) {
	s.holder.post(func(sched *cell.Scheduler) {
		if s.holder.sessions[s.target.ID] == s {
			event(sched)
		}
	})
}

// leaseExpired reports to the scheduler that nothing can run on the worker any more. The
// deadline is kept until then: another session that is opened before reports the end itself.
func (s *session) leaseExpired() {
	s.mu.Lock()
	deadlineMS := s.life.deadlineMS
	s.expiredMS = deadlineMS
	s.holder.logger.Info("lease_ended", zap.String("worker", s.target.ID), zap.Int64("incarnation", s.life.incarnation), zap.Int64("deadline_ms", deadlineMS),
		zap.Int64("clock_ms", s.life.clockMS), zap.Duration("silent", time.Since(s.life.clockAt)))
	s.mu.Unlock()
	s.report(func(sched *cell.Scheduler) {
		s.mu.Lock()
		if s.life.deadlineMS == deadlineMS {
			s.life.deadlineMS = 0
		}
		s.mu.Unlock()
		sched.LeaseExpired(s.target.ID)
	})
}

func (s *session) isAnswering() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answering
}

// setUnreachable records that a renewal was not answered, and reports whether the one
// before it was.
func (s *session) setUnreachable() (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = !s.unreachable
	s.answering, s.unreachable = false, true
	return changed
}

// startTerms are the token and the deadline of a start, and the incarnation that it is meant for.
type startTerms struct {
	token      int64
	deadlineMS int64
	life       workerLife
	sentAt     time.Time
}

// prepareStart returns the terms of a start that is sent now, and whether one may be sent: the worker
// must answer renewals, or its clock is not known, the term must not have ended nor its release
// begun, and the lease that the start gives must end before a next holder that does not reach the
// worker places its tasks elsewhere. An incarnation that has restarted unnoticed takes a longer one.
func (s *session) prepareStart() (startTerms, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answering || s.ctx.Err() != nil || s.holder.isReleasing() || s.holder.sinceConfirmed() >= authorityPeriod+s.leaseDuration()-startWindow {
		return startTerms{}, false
	}
	s.markEffective()
	deadlineMS := s.deadline(startWindow)
	return startTerms{s.token, deadlineMS, s.life, time.Now()}, true
}

// mayRunElsewhere reports whether the worker may be running tasks at a former address, so that
// another worker at the present one proves nothing.
func (s *session) mayRunElsewhere() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.answered && s.holdsLease()
}

// acquireStartSlot waits up to startSlotTimeout for a slot to send a start, and reports
// whether it got one. The returned function releases the slot.
func (s *session) acquireStartSlot() (release func(), ok bool) {
	timer := time.NewTimer(startSlotTimeout)
	defer timer.Stop()
	select {
	case s.startSlots <- struct{}{}:
		return func() { <-s.startSlots }, true
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return nil, false
}

// start orders a start in a new goroutine and reports the outcome to the scheduler.
func (s *session) start(a cell.Start) {
	s.holder.node.spawn(func() {
		outcome := cell.StartUnanswered // after a panic, because the order may have been sent
		_ = guard.Run(s.holder.logger, "a start order", func() { outcome = s.tryStart(a) })
		s.holder.onStarted(a, outcome)
	})
}

// tryStart orders a start and returns the outcome.
func (s *session) tryStart(a cell.Start) cell.StartOutcome {
	release, ok := s.acquireStartSlot()
	if !ok {
		return cell.StartNotSent
	}
	defer release()
	terms, ok := s.prepareStart()
	if !ok {
		return cell.StartNotSent
	}
	order := StartOrder{Start: a, Token: terms.token, DeadlineMS: terms.deadlineMS}
	ctx, cancel := context.WithTimeout(s.ctx, startTimeout)
	defer cancel()
	outcome, clockMS := s.holder.node.platform.Controller.Start(ctx, s.target, order)
	if clockMS > 0 && terms.life.isOther(clockMS, terms.sentAt, time.Now()) {
		s.holder.logger.Warn("start_met_other_life", zap.String("worker", s.target.ID), zap.String("task", a.Task.String()), zap.Uint32("run", a.Run),
			zap.Stringer("outcome", outcome), zap.Int64("clock_ms", clockMS), zap.Int64("known_clock_ms", terms.life.clockMS))
		s.recordOtherLife(terms, clockMS)
		if outcome == cell.StartAccepted && !s.holder.hasAuthority() {
			outcome = cell.StartUnanswered // has the run stopped: its lease may outlast the wait of the next holder
		}
	}
	if outcome == cell.StartFenced {
		s.handleFenced(terms.token)
	}
	return outcome
}

// stop orders a stop and repeats it until the worker answers.
func (s *session) stop(a cell.Stop) {
	s.holder.node.spawn(func() {
		for s.ctx.Err() == nil {
			token, err := s.tryStop(a)
			var c *ControlError
			switch {
			case err == nil:
				s.holder.post(func(sched *cell.Scheduler) { sched.Stopped(a.Worker, a.Task, a.Run) })
				return
			case errors.As(err, &c) && c.Failure == ControlFenced:
				if s.handleFenced(token) {
					return
				}
			case errors.As(err, &c) && c.Failure == ControlReplaced:
				return // the run has ended with the worker
			}
			if !clock.Sleep(s.ctx, stopRetryDelay) {
				return
			}
		}
	})
}

// handleFenced handles the refusal of an order because the worker has seen a higher token, and
// reports whether it was that of a newer holder, which ends the term. Once the session has ended,
// the next one with the worker may have a higher token.
func (s *session) handleFenced(token int64) (endsTerm bool) {
	if s.isSuperseded(token) || s.ctx.Err() != nil {
		return false
	}
	s.holder.endTerm("worker_fenced")
	return true
}

// tryStop orders a stop once, as soon as a slot is free, and returns the token of the order.
func (s *session) tryStop(a cell.Stop) (token int64, err error) {
	select {
	case s.stopSlots <- struct{}{}:
		defer func() { <-s.stopSlots }()
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	}
	ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
	defer cancel()
	token = s.currentToken()
	return token, s.holder.node.platform.Controller.Stop(ctx, s.target, StopOrder{Stop: a, Token: token})
}

// throttle sets the CPU share of a task. A failed order is not repeated, because
// the scheduler decides again at the next listing.
func (s *session) throttle(a cell.Throttle) {
	s.holder.node.spawn(func() {
		ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
		defer cancel()
		if err := s.holder.node.platform.Controller.Throttle(ctx, s.target, ThrottleOrder{Throttle: a, Token: s.currentToken()}); err != nil {
			s.holder.logger.Info("pace_failed", zap.String("task", a.Task.String()), zap.String("worker", a.Worker), zap.Error(err))
			s.holder.post(func(sched *cell.Scheduler) { sched.ThrottleFailed(a) })
		}
	})
}
