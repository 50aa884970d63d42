package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// This file keeps what a session knows about the incarnations of its worker. A worker may restart
// under its ID, and orders name the ID only, so any incarnation may carry out an order that was meant
// for another one, also seconds later. A session uses the listings of an incarnation only once it
// refuses such orders, and reckons its lease from all orders that may have reached it before.

// clockDrift is the fraction by which a worker's clock may be slower than the clock of
// this process.
const clockDrift = 0.02

// maxLeaseDurationMS returns the longest time in ms that a lease of leaseMS can last on
// this process's clock.
func maxLeaseDurationMS(leaseMS int64) int64 { return int64(float64(leaseMS)/(1-clockDrift)) + 1 }

// leaseEndMargin is added to the computed end of a lease to allow for the resolution of
// clocks.
const leaseEndMargin = 60 * time.Millisecond

// workerLife is what a session knows about one incarnation of its worker. The next
// incarnation runs nothing, numbers its ended tasks from 1 and has another clock, so
// nothing of the former one may be used for it.
type workerLife struct {
	incarnation  int64 // start time in Unix ms; 0 before the first response
	acknowledged uint64
	clockMS      int64         // worker's clock in its newest response
	clockAt      time.Time     // when that response arrived
	heardAt      time.Duration // the same, since boot
	// deadlineMS is the latest end of the lease that may be in force, on the worker's
	// clock; 0 if the lease has expired.
	deadlineMS int64
}

// maxClockLead is how far the worker's clock may be ahead of what the newest response lets expect, as
// that response may have been under way for some time.
const maxClockLead = time.Second

// isOther reports whether an answer with the given time of the worker's clock, to an order that
// was sent at sentAt and answered at answeredAt, is from another incarnation, whose clock begins at
// any value.
func (l *workerLife) isOther(clockMS int64, sentAt, answeredAt time.Time) bool {
	least := l.clockMS + int64(float64(sentAt.Sub(l.clockAt).Milliseconds())*(1-clockDrift)) - leaseEndMargin.Milliseconds()
	most := l.clockMS + (answeredAt.Sub(l.clockAt) + maxClockLead).Milliseconds()
	return clockMS < least || clockMS > most
}

// recordResponse records a response to a renewal with the given token. It reports whether the
// listing may be used. It may not if orders that were meant for a former incarnation may still change
// the present one: they could end the lease later than this session knows, begin runs, or make the
// worker forget ends that are not read yet.
func (s *session) recordResponse(token int64, r LeaseRenewalResult) bool {
	incarnation := r.Listing.Incarnation
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.token {
		return false
	}
	if s.life.incarnation != incarnation && s.effective {
		s.advance()
		return false
	}
	if s.unreachable {
		s.holder.logger.Info("worker_regained", zap.String("worker", s.target.ID))
	}
	s.answering, s.answered, s.unreachable = true, true, false
	if r.Listing.RequestedAt > s.otherLifeSince {
		s.otherLifeUntil = time.Time{}
	}
	if s.life.incarnation != incarnation {
		s.beginLife(incarnation, r.ClockMS)
	}
	s.life.clockMS, s.life.clockAt, s.life.heardAt = r.ClockMS, time.Now(), clock.SinceBoot()
	return true
}

// beginLife replaces what is known about the former incarnation. s.mu must be held.
func (s *session) beginLife(incarnation, clockMS int64) {
	if former := s.life; former.incarnation != 0 {
		s.holder.logger.Info("worker_life_began", zap.String("worker", s.target.ID), zap.Int64("incarnation", incarnation), zap.Int64("clock_ms", clockMS), zap.Int64("order_token", s.token),
			zap.Int64("former_incarnation", former.incarnation), zap.Int64("former_clock_ms", former.clockMS), zap.Int64("former_deadline_ms", former.deadlineMS))
	}
	s.life = workerLife{incarnation: incarnation, deadlineMS: clockMS + s.longestUnknownLease(clockMS)}
	s.expiredMS = 0
}

// recordOtherLife records that a start was answered by an incarnation, with the given time of its clock,
// after the one that it was meant for. It ends the renewal in progress, which may wait at the former
// one, so that the new one is listed next.
func (s *session) recordOtherLife(met startTerms, clockMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listedMeanwhile := s.life.incarnation != met.life.incarnation
	if listedMeanwhile && !s.life.isOther(clockMS, met.sentAt, time.Now()) {
		return
	}
	longest := time.Duration(maxLeaseDurationMS(s.longestUnknownLease(clockMS))) * time.Millisecond
	s.otherLifeUntil = time.Now().Add(orderTransit + longest + leaseEndMargin)
	s.otherLifeSince = s.holder.now()
	if listedMeanwhile || s.token == met.token {
		s.advance()
		s.abortRenewal()
	}
}

// orderTransit is how long an order that has been sent may still reach the worker: until its call times
// out, also after the session has ended the wait for it.
const orderTransit = renewalWait + renewalTimeout

// noteRegistered takes note of the incarnation that the registry names, as its start time in Unix ms.
// After a restart, the renewal in progress may wait at the former one until it times out.
func (s *session) noteRegistered(incarnation int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answering || incarnation <= max(s.life.incarnation, s.namedIncarnation) {
		return
	}
	s.namedIncarnation = incarnation
	s.advance()
	s.abortRenewal()
}

// inherit makes the session continue another one with the worker, at a former address. The lease
// of the known incarnation may be in force until the worker answers.
func (s *session) inherit(old *session) {
	old.mu.Lock()
	life, token, latestDeadlineMS, otherLifeUntil, otherLifeSince := old.life, old.token, old.latestDeadlineMS, old.otherLifeUntil, old.otherLifeSince
	old.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openedAt = old.openedAt
	s.life, s.token, s.effective, s.latestDeadlineMS = life, token, true, latestDeadlineMS
	s.otherLifeUntil, s.otherLifeSince = otherLifeUntil, otherLifeSince
}

// advance takes the next token for the orders that follow, so that the worker refuses earlier ones
// from its answer to the next renewal on. Until then, no starts are sent. Without a further token,
// which each renewal of the claim gives, the session stays at this one. s.mu must be held.
func (s *session) advance() {
	s.answering = false
	if next, ok := s.holder.tokens.after(s.token); ok {
		s.token, s.effective = next, false
	}
}

// markEffective records that an order is sent that may change an incarnation which it is not
// meant for. s.mu must be held.
func (s *session) markEffective() {
	s.effective = true
	s.holder.tokens.markUsed(s.token)
}

// earlierOrderDelay is how long after it was opened a session counts with orders of earlier sessions and
// holders: these send starts for up to 7 s, and workers carry orders out up to 12 s late.
const earlierOrderDelay = 20 * time.Second

// longestUnknownLease returns the longest lease, in ms, that an incarnation with the given time of its
// clock may hold because of orders that were meant for others. It shortens them to the longest
// lease, and a deadline that has passed on its clock gives none. s.mu must be held.
func (s *session) longestUnknownLease(clockMS int64) int64 {
	longest := s.holder.node.cfg.LongestLeaseMS
	if s.life.incarnation == 0 || time.Since(s.openedAt) < earlierOrderDelay {
		return longest // the deadlines of earlier sessions and holders are not known
	}
	return min(longest, max(s.latestDeadlineMS-clockMS, 0))
}

// deadline returns the time d from now on the worker's clock and records it as sent. s.mu must be held.
func (s *session) deadline(d time.Duration) int64 {
	at := s.life.clockMS + time.Since(s.life.clockAt).Milliseconds() + d.Milliseconds()
	s.life.deadlineMS = max(s.life.deadlineMS, at)
	s.latestDeadlineMS = max(s.latestDeadlineMS, at)
	return at
}

// holdsLease reports whether the worker may hold a lease whose end has not been reported. s.mu
// must be held.
func (s *session) holdsLease() bool {
	return s.life.deadlineMS != 0 && s.life.deadlineMS != s.expiredMS
}

// leaseEnd returns the time by which the worker's lease has certainly expired.
func (s *session) leaseEnd() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsLease() {
		return time.Time{}, false
	}
	left := time.Duration(maxLeaseDurationMS(s.life.deadlineMS-s.life.clockMS)) * time.Millisecond
	end := s.life.clockAt.Add(left + leaseEndMargin)
	if s.otherLifeUntil.After(end) {
		end = s.otherLifeUntil
	}
	return end, true
}

// lastLife returns what is known of the worker's newest incarnation.
func (s *session) lastLife() workerLife {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}
