package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// checkLog refuses unsent jobs and notifies the followers if the log is silent, so that
// a follower that can reach the log takes over.
func (h *holder) checkLog() {
	if !h.isLogSilent() {
		return
	}
	h.refuseUnsent()
	if time.Since(h.silenceReportedAt) > logSilence {
		h.silenceReportedAt = time.Now()
		h.broadcast(kindLogSilent, nil)
	}
}

// isLogSilent reports whether the log has not responded to the holder for too long. During a
// pause of the process it could not respond.
func (h *holder) isLogSilent() bool {
	limit := h.writer.silenceLimit()
	unconfirmed := min(h.sinceConfirmed(), h.node.running.sinceResumed())
	return h.writer.silentFor() > limit || unconfirmed > renewInterval+limit
}

// sinceConfirmed returns the time since the newest confirmed renewal or append was
// sent. It includes time in which the VM was suspended, because another process may
// have become the holder meanwhile.
func (h *holder) sinceConfirmed() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return clock.SinceBoot() - h.confirmedAt
}

// confirmedSince reports whether the holder has been confirmed at or after the given time, so
// that it had no successor by then. It is false if the VM was suspended in between.
func (h *holder) confirmedSince(at time.Time) bool { return h.sinceConfirmed() < time.Since(at) }

// hasAuthority reports whether the holder may still renew leases. It may not once a
// release has begun, so the next holder need not wait for authorityPeriod.
func (h *holder) hasAuthority() bool {
	return !h.isReleasing() && h.sinceConfirmed() < authorityPeriod
}

// isReleasing reports whether a release has begun, after which the holder only has its
// records stored.
func (h *holder) isReleasing() bool {
	select {
	case <-h.releasing:
		return true
	default:
		return false
	}
}

// keepClaim renews the claim until the term ends, or releases it once a release has
// begun. The claims partition ends at the offset end.
func (h *holder) keepClaim(end int64) {
	next := h.claim
	timer := time.NewTicker(renewInterval)
	defer timer.Stop()
	for {
		select {
		case <-h.releasing:
			h.releaseClaim(end)
			return
		case <-h.ctx.Done():
			return
		case <-timer.C:
		case <-h.renewEarly:
		}
		next.Renewals++
		next.Lanes = h.writer.lanesToClaim()
		sent := clock.SinceBoot()
		newEnd, err := h.agent.claims.append(h.ctx, next, end)
		if err == nil {
			end = newEnd
			h.tokens.extend(end)
			h.renewals.Store(next.Renewals)
			h.confirmClaim(sent, next.Lanes)
			continue
		}
		if newest, at, readErr := h.agent.claims.read(h.ctx); readErr == nil {
			if newest.Token != h.claim.Token {
				h.endTerm("claim_superseded")
				return
			}
			end = at
			h.tokens.extend(end)
			if isEndMismatch(err) {
				h.confirmClaim(sent, newest.Lanes) // an earlier renewal was carried out late
			}
			continue
		}
		// Until a new holder has fenced the lane, this process is still the holder.
		if probed := clock.SinceBoot(); h.writer.probe(h.ctx) {
			h.confirm(probed)
		}
		h.logger.Debug("claim_not_renewed", zap.Duration("for", h.sinceConfirmed()), zap.Error(err))
	}
}

// confirmClaim records that a renewal succeeded, and the lanes that it lists.
func (h *holder) confirmClaim(sent time.Duration, lanes laneSet) {
	h.confirm(sent)
	h.mu.Lock()
	h.renewalSentAt, h.renewalTook = sent, clock.SinceBoot()-sent
	h.mu.Unlock()
	h.writer.setOpen(lanes | firstLane)
}

// laneDownFactor is how many times longer than a renewal of the claim an append must
// take for its lane to count as down. Appends are larger than renewals, and a slow log
// delays both.
const laneDownFactor = 4

// claimsRespond reports whether a renewal that was sent after an append succeeded, and
// took much less time than the append has taken so far.
func (h *holder) claimsRespond(sent time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.renewalSentAt > sent && clock.SinceBoot()-sent > laneDownFactor*h.renewalTook
}

// renewNow requests a renewal of the claim before the next interval.
func (h *holder) renewNow() {
	select {
	case h.renewEarly <- struct{}{}:
	default:
	}
}

// release hands the cell over: it waits for outstanding records to be stored and then
// releases the claim. It returns when the term has ended, or after releaseTimeout.
func (h *holder) release(cause string) { h.releaseWithin(cause, releaseTimeout) }

// releaseWithin is like release with another limit.
func (h *holder) releaseWithin(cause string, limit time.Duration) {
	h.mu.Lock()
	select {
	case <-h.releasing:
	default:
		if h.cause == "" {
			h.cause = cause
		}
		close(h.releasing)
	}
	h.mu.Unlock()
	select {
	case <-h.released:
	case <-time.After(limit):
		h.logger.Warn("release_timeout")
		h.cancel()
	}
}

// Timing of a release.
const (
	releaseTimeout = 1500 * time.Millisecond
	// releaseFlushTimeout limits the wait for records to be stored. Losing records has
	// the same effect as a crash: callers submit their jobs again, and workers list
	// ended tasks again.
	releaseFlushTimeout = 80 * time.Millisecond
)

// releaseClaim appends a claim without a holder, which names a successor if there is one, and
// notifies the followers.
func (h *holder) releaseClaim(end int64) {
	for start := time.Now(); !h.writer.idle() && time.Since(start) < releaseFlushTimeout; {
		if !clock.Sleep(h.ctx, appendDelay) {
			return
		}
	}
	notice := releaseNotice{Claim: h.releasedClaim(), Token: h.claim.Token}
	newEnd, err := h.agent.claims.append(h.ctx, notice.Claim, end)
	if err != nil {
		h.logger.Warn("release_failed", zap.Error(err))
	} else {
		notice.End = newEnd
	}
	h.agent.recordRelease(notice)
	h.announceRelease(notice)
	h.endTerm(causeReleased)
}

// releasedClaim returns the claim without a holder that releases the cell.
func (h *holder) releasedClaim() claim {
	successor, cpuMilli := h.strongestFollower()
	return claim{
		Term: h.claim.Term, Lanes: h.writer.lanesToClaim(), BestCPUMilli: max(h.claim.BestCPUMilli, cpuMilli),
		EarlyRelease: h.priorAuthority > 0 && time.Since(h.startedAt) < authorityPeriod,
		ReleasedBy:   h.node.cfg.Name, Successor: successor,
	}
}
