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
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// agent keeps one cell reachable from this process: through a link to its holder,
// or by being the holder.
type agent struct {
	node   *Node
	cell   int
	claims claimLog
	logger *zap.Logger

	mu      sync.Mutex
	holder  *holder       // this process, if it holds the cell
	link    *link.Link    // to the holder otherwise; nil if there is none
	changed chan struct{} // closed and replaced when holder or link change
	lostAt  time.Time     // when the cell was last reachable
	stale   claim         // a claim that was watched and not renewed
	// announced is the newest claim that its holder told this process.
	announced claim

	// watch is what the agent has seen of the newest claim.
	watch struct {
		claim   claim
		since   time.Time // unchanged since
		refused bool      // nothing listens at the holder's address
		// beats and beatsAt are what the holder last told over a link.
		beats   uint32
		beatsAt time.Time
	}
	slowUntil time.Time     // this process gave the cell up because it was slow
	doubt     chan struct{} // the holder said that the log owes it an answer
}

func newAgent(n *Node, index int) *agent {
	return &agent{
		node: n, cell: index,
		claims:  claimLog{log: n.platform.Log, partition: placeOf(index, claimOffset, n.cfg.Partitions)},
		logger:  n.cfg.Logger.With(zap.Int("cell", index)),
		changed: make(chan struct{}),
		doubt:   make(chan struct{}, 1),
		lostAt:  time.Now(),
	}
}

// run follows the holder of the cell, or becomes it, until ctx ends.
func (a *agent) run(ctx context.Context) {
	for ctx.Err() == nil {
		newest, end, err := a.claims.read(ctx)
		if err != nil {
			a.logger.Debug("claim_not_read", zap.Error(err))
			a.tryKnown(ctx)
			clock.Sleep(ctx, observeInterval)
			continue
		}
		a.observe(newest)
		switch {
		case a.mayClaim(newest):
			a.claim(ctx, newest, end)
		case newest.Holder == a.node.cfg.Name && newest.Incarnation != a.node.cfg.Incarnation:
			a.setStale(newest) // of this process before its last start
		case newest.Incarnation == a.node.cfg.Incarnation && newest.Holder == a.node.cfg.Name:
			// A claim whose answer was lost has been carried out after all.
			a.hold(ctx, newest, end, authority)
		case newest.Holder != "" && newest.Holder != a.node.cfg.Name:
			a.follow(ctx, newest, a.dialTimeout())
			clock.Sleep(ctx, redialPause)
		default:
			clock.Sleep(ctx, observeInterval)
		}
	}
}

// tryKnown dials the last known holder while the log does not answer.
func (a *agent) tryKnown(ctx context.Context) {
	if c := a.known(); c.Holder != "" && c.Holder != a.node.cfg.Name {
		a.follow(ctx, c, link.HandshakeTimeout)
	}
}

// minDialTimeout is the least time for dialling a holder.
const minDialTimeout = 150 * time.Millisecond

// dialTimeout returns how long dialling the holder of a claim may take. The VM of
// a holder that has lost power does not refuse the connection, and the claim can
// be superseded before the dial would fail.
func (a *agent) dialTimeout() time.Duration {
	left := staleAfter + a.node.cfg.claimDelay(int(a.node.holding.Load())) - time.Since(a.watch.since)
	return min(max(left, minDialTimeout), link.HandshakeTimeout)
}

// observe notes the newest claim and since when it is unchanged.
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
	// A holder that is alive renews its claim also after its last heartbeat. If
	// the log shows at most one renewal more, it was the last.
	if last := w.beatsAt.Add(renewInterval); same && !w.beatsAt.IsZero() && c.Beats <= w.beats+1 && last.Before(w.since) {
		w.since = last
	}
	w.beatsAt = time.Time{}
}

// mayClaim reports whether the claim may be superseded.
func (a *agent) mayClaim(c claim) bool {
	unchanged := time.Since(a.watch.since)
	delay := a.node.cfg.claimDelay(int(a.node.holding.Load()))
	switch {
	case a.node.Stopping():
		return false
	case time.Now().Before(a.slowUntil):
		return unchanged > staleSlow
	case c.Holder == "" || a.isStale(c):
		return unchanged >= delay
	case a.watch.refused:
		return unchanged > staleRefused+delay
	default:
		return unchanged > staleAfter+delay
	}
}

// claim tries to become the holder.
func (a *agent) claim(ctx context.Context, old claim, end int64) {
	next := claim{
		Holder:      a.node.cfg.Name,
		Incarnation: a.node.cfg.Incarnation,
		Address:     a.node.cfg.LinkAddress,
		Term:        old.Term + 1,
		Lanes:       old.Lanes | firstLane,
	}
	a.node.holding.Add(1)
	defer a.node.holding.Add(-1)
	newEnd, err := a.claims.append(ctx, next, end)
	if err != nil {
		a.logger.Info("claim_failed", zap.Int64("end", end), zap.String("old_holder", old.Holder), zap.Error(err))
		clock.Sleep(ctx, rand.N(observeInterval))
		return
	}
	next.Token = newEnd
	a.logger.Info("claim_made", zap.Int64("token", newEnd), zap.Uint32("term", next.Term), zap.String("old_holder", old.Holder),
		zap.Duration("unchanged", time.Since(a.watch.since)))
	renewing := authority
	if old.Holder == "" {
		renewing = 0 // the last holder gave the cell up
	}
	a.hold(ctx, next, newEnd, renewing)
}

// hold runs the holder until it loses the cell. An earlier holder may go on to renew
// leases of workers for the time renewing.
func (a *agent) hold(ctx context.Context, c claim, end int64, renewing time.Duration) {
	h := newHolder(a, c, renewing)
	a.set(h, nil)
	cause := h.run(ctx, end)
	a.set(nil, nil)
	a.watch.since = time.Time{}
	if cause == causeSlow {
		a.slowUntil = time.Now().Add(slowPause)
	}
	a.logger.Info("holder_ended", zap.Int64("token", c.Token), zap.String("cause", cause))
}

// briefLink is the life of a link below which its end is no news.
const briefLink = 300 * time.Millisecond

// follow dials the holder, within dialTimeout, and keeps the link until it ends.
func (a *agent) follow(ctx context.Context, c claim, dialTimeout time.Duration) {
	dialCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var up *link.Link
	begun := time.Now()
	cfg := a.node.linkConfig(a.cell, a.handleFromHolder)
	cfg.DialTimeout = dialTimeout
	err := link.Dial(dialCtx, c.Address, cfg, func(l *link.Link) {
		a.logger.Info("holder_reached", zap.String("holder", c.Holder), zap.Int64("token", c.Token))
		up = l
		if l.Peer().Incarnation != c.Incarnation {
			// The process that made the claim has ended.
			a.setStale(c)
			l.Close()
			return
		}
		a.set(nil, l)
		a.node.spawn(func() { a.guard(dialCtx, l) })
	})
	a.set(nil, nil)
	if up == nil {
		a.watch.refused = errors.Is(err, syscall.ECONNREFUSED)
		a.logger.Debug("holder_not_reached", zap.String("holder", c.Holder), zap.Error(err))
		return
	}
	beats, at := up.PeerStatus()
	a.watch.beats, a.watch.beatsAt, a.watch.since = uint32(beats), at, time.Time{}
	level := zap.InfoLevel
	if time.Since(begun) < briefLink {
		level = zap.DebugLevel // a process that holds the cell no longer closes links at once
	}
	a.logger.Log(level, "holder_lost", zap.String("holder", c.Holder), zap.Int64("token", c.Token), zap.Error(err))
}

// guard waits for the holder to say that the log owes it an answer. If the claim
// then goes stale, the link is dropped, so that this process may claim the cell.
func (a *agent) guard(ctx context.Context, l *link.Link) {
	for {
		select {
		case <-a.doubt:
		case <-l.Done():
			return
		}
		if stale, yes := a.goesStale(ctx); yes {
			a.setStale(stale)
			a.logger.Warn("holder_without_log", zap.String("holder", l.Peer().Name))
			l.Close()
			return
		}
	}
}

// goesStale watches the claim until it is renewed or has been unchanged for
// staleAfter. While the log is silent for this process too, it tells nothing.
func (a *agent) goesStale(ctx context.Context) (claim, bool) {
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
		clock.Sleep(ctx, observeInterval)
	}
	return claim{}, false
}

func (a *agent) setStale(c claim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stale = c
}

// isStale reports whether the claim is the one that was watched and not renewed.
func (a *agent) isStale(c claim) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c == a.stale
}

// set changes how the cell is reached.
func (a *agent) set(h *holder, l *link.Link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if (a.holder != nil || a.link != nil) && h == nil && l == nil {
		a.lostAt = time.Now()
	}
	a.holder, a.link = h, l
	close(a.changed)
	a.changed = make(chan struct{})
}

// route returns how the cell is reached at present, and a channel that is closed
// when that changes.
func (a *agent) route() (*holder, *link.Link, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder, a.link, a.changed
}

// unreachableFor returns for how long the cell has had no holder; 0 if it has one.
func (a *agent) unreachableFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holder != nil || a.link != nil {
		return 0
	}
	return time.Since(a.lostAt)
}

// handleFromHolder serves requests of the holder.
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
		// The next read of the claim shows the release.
		l.Close()
	case kindSilent:
		select {
		case a.doubt <- struct{}{}:
		default:
		}
		r.Reply(nil, nil)
	default:
		r.Reply(nil, fault.New(fault.Invalid, "unknown request of a holder", "run the same version on all entry VMs"))
	}
}
