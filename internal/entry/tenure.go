package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// checkLog tells the followers when the log owes an answer, so that one of them
// takes over if it reaches the log.
func (h *holder) checkLog() {
	if !h.isLogSilent() {
		return
	}
	h.withdraw()
	if time.Since(h.toldSilent) > logSilence {
		h.toldSilent = time.Now()
		h.broadcast(kindSilent)
	}
}

// isLogSilent reports whether the log owes the holder an answer for too long.
func (h *holder) isLogSilent() bool {
	patience := h.writer.patience()
	return h.writer.silent() > patience || h.sinceRenewal() > renewInterval+patience
}

// sinceRenewal returns how long ago the newest confirmed renewal was sent. It counts
// the time in which the VM was suspended: another process may hold the cell since.
func (h *holder) sinceRenewal() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return clock.SinceBoot() - h.renewed
}

// hasAuthority reports whether the holder may still renew leases. It ends before the
// cell is given up, so that the next holder need not wait for renewals.
func (h *holder) hasAuthority() bool {
	select {
	case <-h.releasing:
		return false
	default:
		return h.sinceRenewal() < authority
	}
}

// keepClaim renews the claim until the tenure ends.
func (h *holder) keepClaim(end int64) {
	next := h.claim
	timer := time.NewTicker(renewInterval)
	defer timer.Stop()
	for {
		select {
		case <-h.releasing:
			h.giveUp(end)
			return
		case <-h.ctx.Done():
			return
		case <-timer.C:
		case <-h.renew:
		}
		next.Beats++
		next.Lanes = h.writer.lanes()
		sent := clock.SinceBoot()
		newEnd, err := h.agent.claims.append(h.ctx, next, end)
		if err == nil {
			end = newEnd
			h.beats.Store(next.Beats)
			h.confirmClaim(sent, next.Lanes)
			continue
		}
		if newest, at, readErr := h.agent.claims.read(h.ctx); readErr == nil {
			if newest.Token != h.claim.Token {
				h.lose("claim_superseded")
				return
			}
			end = at
			if moved(err) {
				h.confirmClaim(sent, newest.Lanes) // an earlier renewal was carried out late
			}
			continue
		}
		// As long as no new holder has fenced the lane, this one holds the cell.
		if probed := clock.SinceBoot(); h.writer.probe(h.ctx) {
			h.confirm(probed)
		}
		h.logger.Debug("claim_not_renewed", zap.Duration("for", h.sinceRenewal()), zap.Error(err))
	}
}

// confirm notes that a renewal was carried out that was sent at a time since boot.
func (h *holder) confirm(at time.Duration) {
	h.mu.Lock()
	h.renewed = max(h.renewed, at)
	h.mu.Unlock()
}

// confirmClaim notes that a renewal was carried out, and the lanes that it names.
func (h *holder) confirmClaim(sent time.Duration, lanes laneSet) {
	h.confirm(sent)
	h.mu.Lock()
	h.claimed, h.claimTook = sent, clock.SinceBoot()-sent
	h.mu.Unlock()
	h.writer.setOpen(lanes | firstLane)
}

// muchSooner is how many times as long as a renewal of the claim an append must have
// taken for its lane to count as down. Appends are larger than renewals, and a log that
// is slow is slow for both.
const muchSooner = 4

// claimsAnswer reports whether the claims have answered a renewal that was sent after an
// append, much sooner than the append was.
func (h *holder) claimsAnswer(sent time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claimed > sent && clock.SinceBoot()-sent > muchSooner*h.claimTook
}

// renewNow has the claim renewed before its time.
func (h *holder) renewNow() {
	select {
	case h.renew <- struct{}{}:
	default:
	}
}

// release hands the cell over: what is under way is stored, then the claim is
// given up. It returns when the tenure has ended, or after releaseTimeout.
func (h *holder) release(cause string) {
	h.mu.Lock()
	select {
	case <-h.releasing:
	default:
		h.cause = cause
		close(h.releasing)
	}
	h.mu.Unlock()
	select {
	case <-h.released:
	case <-time.After(releaseTimeout):
		h.logger.Warn("release_timeout")
		h.cancel()
	}
}

// Times of a release.
const (
	releaseTimeout = 1500 * time.Millisecond
	// releaseFlush bounds the wait for records to be stored. What is lost is no
	// more than in a crash: callers are asked again, ends are listed again.
	releaseFlush = 80 * time.Millisecond
)

// giveUp writes a claim without a holder and tells the followers.
func (h *holder) giveUp(end int64) {
	for begun := time.Now(); !h.writer.idle() && time.Since(begun) < releaseFlush; {
		if !clock.Sleep(h.ctx, appendPause) {
			return
		}
	}
	if _, err := h.agent.claims.append(h.ctx, claim{Term: h.claim.Term, Lanes: h.writer.lanes()}, end); err != nil {
		h.logger.Warn("release_failed", zap.Error(err))
	}
	h.broadcast(kindRelease)
	h.lose(causeReleased)
}
