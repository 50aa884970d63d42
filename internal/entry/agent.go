package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/guard"
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// agent keeps one cell reachable from this process, either over a link to the holder or
// by being the holder. Its run goroutine owns the fields that the mutex does not guard.
type agent struct {
	node   *Node
	cell   int
	claims claimLog
	logger *zap.Logger

	mu      sync.Mutex
	holder  *holder       // set if this process holds the cell
	link    *link.Link    // to the holder, if another process holds the cell
	changed chan struct{} // closed and replaced when holder or link changes
	lostAt  time.Duration // when the cell was last reachable, by the clock of the node's running time
	// linkToken is the token of the claim for which the newest link was dialed.
	linkToken int64
	stale     claim // a claim that is known not to be renewed any more
	// released is the newest notice of the end of a term.
	released  releaseNotice
	slowUntil time.Time // until then, staleAfterSlow applies, so that other processes claim first
	// announced is the newest claim that a holder has announced to this process.
	announced claim

	// watch is the observed state of the newest claim.
	watch struct {
		claim   claim
		since   time.Time // when the claim was first observed in this state
		refused bool      // connections to the holder's address are refused
		// renewals and renewalsAt are from the last heartbeat of a lost link to the
		// holder.
		renewals   uint32
		renewalsAt time.Time
	}
	noYieldUntil     time.Time     // until then, this process does not yield the cell
	servedToken      int64         // token of the newest term of this process; 0 if there was none
	logSilentReports chan struct{} // signaled when the holder reports a silent log
}

func newAgent(n *Node, index int) *agent {
	return &agent{
		node: n, cell: index,
		claims:           claimLog{log: n.platform.Log, partition: partitionOf(index, claimOffset, n.cfg.Partitions)},
		logger:           n.cfg.Logger.With(zap.Int("cell", index)),
		changed:          make(chan struct{}),
		logSilentReports: make(chan struct{}, 1),
		lostAt:           n.running.now(),
	}
}

// run follows the holder of the cell or becomes the holder, until ctx ends.
func (a *agent) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := observeInterval // also after a panic
		if err := guard.Run(a.logger, "the agent of a cell", func() { pause = a.step(ctx) }); err != nil {
			a.setRoute(nil, nil)
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// step reads the newest claim and follows or supersedes it. It returns the pause before the
// next step.
func (a *agent) step(ctx context.Context) (pause time.Duration) {
	newest, end, err := a.claims.read(ctx)
	if err != nil {
		a.logger.Debug("claim_not_read", zap.Error(err))
		a.followLastKnown(ctx)
		return observeInterval
	}
	a.observe(newest)
	switch {
	case a.mayClaim(newest):
		return a.claim(ctx, newest, end)
	case newest.Holder == a.node.cfg.Name && newest.Incarnation != a.node.cfg.Incarnation:
		if !a.isStale(newest) {
			a.setStale(newest) // made by this process before its last start
			return 0
		}
	case newest.Incarnation == a.node.cfg.Incarnation && newest.Holder == a.node.cfg.Name && newest.Token != a.servedToken:
		// An append of this process's claim had no response but was carried out.
		a.hold(ctx, newest, end, authorityPeriod)
		return 0
	case newest.Holder != "" && newest.Holder != a.node.cfg.Name:
		a.follow(ctx, newest, a.dialTimeout())
		if notice := a.newestRelease(); notice.Token == newest.Token {
			return a.followRelease(ctx, notice)
		}
		return redialDelay
	}
	return observeInterval
}

// followLastKnown dials the last known holder while the log does not respond.
func (a *agent) followLastKnown(ctx context.Context) {
	if c := a.lastKnownClaim(); c.Holder != "" && c.Holder != a.node.cfg.Name {
		a.follow(ctx, c, link.HandshakeTimeout)
	}
}

// minDialTimeout is the minimum timeout for dialing a holder.
const minDialTimeout = 150 * time.Millisecond

// dialTimeout returns the timeout for dialing the holder of the watched claim. The VM
// of a holder that has lost power does not refuse connections, so dialing must end by
// the time at which the claim may be superseded.
func (a *agent) dialTimeout() time.Duration {
	left := staleAfter + a.claimDelay(a.watch.claim) - time.Since(a.watch.since)
	return min(max(left, minDialTimeout), link.HandshakeTimeout)
}

// observe records the newest claim and since when it is unchanged.
func (a *agent) observe(c claim) {
	w := &a.watch
	if c == w.claim && !w.since.IsZero() {
		return
	}
	same := c.Token == w.claim.Token
	if !same {
		w.refused = false
	}
	w.claim, w.since = c, time.Now()
	// A holder may renew its claim once more within renewInterval after its last
	// heartbeat. If the log shows no further renewal, the claim has not changed since.
	if last := w.renewalsAt.Add(renewInterval); same && !w.renewalsAt.IsZero() && c.Renewals <= w.renewals+1 && last.Before(w.since) {
		w.since = last
	}
	w.renewalsAt = time.Time{}
}

// claimDelay returns how long this process leaves the claim to others that are better
// suited.
func (a *agent) claimDelay(c claim) time.Duration {
	delay := claimDelay(a.node.cpuMilli(), int(a.node.holding.Load()), c.BestCPUMilli)
	if released, ok := a.asReleased(c); ok {
		return released.successorDelay(a.node.cfg.Name, delay)
	}
	return delay
}

// mayClaim reports whether this process may supersede the claim.
func (a *agent) mayClaim(c claim) bool {
	unchanged := time.Since(a.watch.since)
	delay := a.claimDelay(c)
	switch {
	case a.node.Stopping():
		return false
	case a.isSlow() && !a.isSuccessor(c):
		return unchanged > staleAfterSlow
	case a.isReleased(c) || a.isStale(c) || c.Token == a.servedToken:
		// A claim of this process whose release failed. A token serves one term only:
		// the log would take the appends of another one for repeats.
		return unchanged >= delay
	case a.watch.refused:
		return unchanged > staleAfterRefused+delay
	default:
		return unchanged > staleAfter+delay
	}
}

// claim tries to become the holder by appending a claim at end. It returns the pause before the
// next step, which is random after a failure so that two claimants do not meet again.
func (a *agent) claim(ctx context.Context, old claim, end int64) (pause time.Duration) {
	next := claim{
		Holder:      a.node.cfg.Name,
		Incarnation: a.node.cfg.Incarnation,
		Address:     a.node.cfg.LinkAddress,
		Term:        old.Term + 1,
		Lanes:       old.Lanes | firstLane,

		BestCPUMilli: max(old.BestCPUMilli, uint64(a.node.cfg.CPUShare*1000)),
	}
	a.node.holding.Add(1)
	defer a.node.holding.Add(-1)
	newEnd, err := a.claims.append(ctx, next, end)
	if err != nil {
		a.logger.Info("claim_failed", zap.Int64("end", end), zap.String("old_holder", old.Holder), zap.Error(err))
		return rand.N(observeInterval)
	}
	next.Token = newEnd
	a.logger.Info("claim_made", zap.Int64("token", newEnd), zap.Uint32("term", next.Term), zap.String("old_holder", old.Holder),
		zap.Duration("unchanged", time.Since(a.watch.since)))
	a.hold(ctx, next, newEnd, old.priorAuthority())
	return 0
}

// hold runs the holder until it loses the cell. For up to priorAuthority, an earlier
// holder may still renew leases of workers.
func (a *agent) hold(ctx context.Context, c claim, end int64, priorAuthority time.Duration) {
	h := newHolder(a, c, priorAuthority)
	a.servedToken = c.Token
	a.setRoute(h, nil)
	cause := h.run(ctx, end)
	a.setRoute(nil, nil)
	a.watch.since = time.Time{}
	switch cause {
	case causeSlow, causePanic:
		a.setSlow(slowPeriod)
	case causeYielded:
		a.noYieldUntil = time.Now().Add(yieldPause)
	}
	a.logger.Info("holder_ended", zap.Int64("token", c.Token), zap.String("cause", cause))
}

// shortLinkAge is the age below which the end of a link is logged at debug level only.
const shortLinkAge = 300 * time.Millisecond

// follow dials the holder, within dialTimeout, and keeps the link until it ends.
func (a *agent) follow(ctx context.Context, c claim, dialTimeout time.Duration) {
	dialCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var up *link.Link
	start := time.Now()
	cfg := a.node.linkConfig(a.cell, a.handleFromHolder)
	cfg.DialTimeout = dialTimeout
	err := link.Dial(dialCtx, c.Address, cfg, func(l *link.Link) {
		a.logger.Info("holder_reached", zap.String("holder", c.Holder), zap.Int64("token", c.Token))
		up = l
		if l.Peer().Incarnation != c.Incarnation {
			// The process that made the claim has been restarted since.
			a.setStale(c)
			l.Close()
			return
		}
		a.setLink(l, c.Token)
		a.node.spawn(func() { a.watchForSilentLog(dialCtx, l) })
	})
	a.setRoute(nil, nil)
	if up == nil {
		a.watch.refused = errors.Is(err, syscall.ECONNREFUSED)
		a.logger.Debug("holder_not_reached", zap.String("holder", c.Holder), zap.Error(err))
		return
	}
	if status, at := up.PeerStatus(); status.Renewals > 0 {
		a.watch.renewals, a.watch.renewalsAt, a.watch.since = uint32(status.Renewals), at, time.Time{}
	}
	// Without a renewal over the link, the time for which the log has shown the claim
	// unchanged goes on. The process of a term that has ended still accepts links.
	level := zap.InfoLevel
	if time.Since(start) < shortLinkAge {
		level = zap.DebugLevel // a process that is not the holder closes new links at once
	}
	a.logger.Log(level, "holder_lost", zap.String("holder", c.Holder), zap.Int64("token", c.Token), zap.Error(err))
}

// watchForSilentLog waits for the holder to report that the log does not respond to it.
// If the claim then becomes stale, it closes the link, so that this process may claim
// the cell.
func (a *agent) watchForSilentLog(ctx context.Context, l *link.Link) {
	for {
		select {
		case <-a.logSilentReports:
		case <-l.Done():
			return
		}
		if stale, ok := a.awaitStaleClaim(ctx); ok {
			a.setStale(stale)
			a.logger.Warn("holder_without_log", zap.String("holder", l.Peer().Name))
			l.Close()
			return
		}
	}
}

// awaitStaleClaim polls the claim until it is renewed, or has been unchanged for
// staleAfter and is thus stale. Time in which the log does not respond to this process
// either does not count.
func (a *agent) awaitStaleClaim(ctx context.Context) (claim, bool) {
	var seen claim
	since := time.Now()
	for ctx.Err() == nil {
		newest, _, err := a.claims.read(ctx)
		switch {
		case err != nil:
			since = time.Now()
		case seen == claim{}:
			seen, since = newest, time.Now()
		case newest != seen:
			return claim{}, false
		case time.Since(since) > staleAfter:
			return seen, true
		}
		if !clock.Sleep(ctx, observeInterval) {
			break
		}
	}
	return claim{}, false
}

func (a *agent) setStale(c claim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stale = c
}

// isStale reports whether the claim is marked as stale.
func (a *agent) isStale(c claim) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c == a.stale
}

// setLink sets that the cell is reached by a link to the holder with the given token.
func (a *agent) setLink(l *link.Link, token int64) {
	a.mu.Lock()
	a.linkToken = token
	a.mu.Unlock()
	a.setRoute(nil, l)
}

// setRoute sets how the cell is reached: by the local holder, by a link, or not at all.
func (a *agent) setRoute(h *holder, l *link.Link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if (a.holder != nil || a.link != nil) && h == nil && l == nil {
		a.lostAt = a.node.running.now()
	}
	a.holder, a.link = h, l
	close(a.changed)
	a.changed = make(chan struct{})
}

// route returns the current local holder or link to the holder, and a channel that is
// closed when either changes.
func (a *agent) route() (*holder, *link.Link, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder, a.link, a.changed
}

// tokenOf returns the token of the holder that a link leads to, or 0 if the link has been
// replaced.
func (a *agent) tokenOf(l *link.Link) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.link != l {
		return 0
	}
	return a.linkToken
}

// unreachableFor returns for how long this process has run with neither a local holder nor
// a link to the holder; 0 if it has one.
func (a *agent) unreachableFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holder != nil || a.link != nil {
		return 0
	}
	return a.node.running.now() - a.lostAt
}

// handleFromHolder handles requests from the holder.
func (a *agent) handleFromHolder(l *link.Link, r *link.Request) {
	switch r.Kind {
	case kindPermits:
		var in permitsRequest
		if err := r.Decode(&in); err != nil {
			r.Reply(nil, err)
			return
		}
		a.node.spawn(func() { r.Reply(a.node.permits(in)) })
	case kindRelease:
		var notice releaseNotice
		if err := r.Decode(&notice); err != nil {
			a.logger.Warn("release_not_decoded", zap.Error(err)) // the log holds the release too
		}
		a.recordRelease(notice)
		l.Close()
	case kindLogSilent:
		select {
		case a.logSilentReports <- struct{}{}:
		default:
		}
		r.Reply(nil, nil)
	default:
		r.Reply(nil, fault.New(fault.Invalid, "unknown request kind from a holder", "run the same version on all entry VMs"))
	}
}
