package entry

import (
	"context"
	"time"
)

// A release names the process that is to hold the cell next: the linked follower with the
// largest CPU share. Without a name, the process that has released the cell often claimed it
// again, because it sees its release first and no larger process has held the cell.

// Waits before a process other than the successor claims a released cell, beyond its usual
// delay. They are what a successor costs that is dead, cut off from the log or slow.
const (
	// successorWait applies to all other processes. It is as long as a lost holder costs.
	successorWait = staleAfter
	// releaserWait applies in addition to the process that has released the cell, so that any
	// other process that reaches the log comes before it.
	releaserWait = 600 * time.Millisecond
)

// releaseNotice tells a follower that the term of its holder has ended. Earlier versions send
// and expect no body.
type releaseNotice struct {
	Claim claim `cbor:"1,keyasint"` // that releases the cell
	// End is the end of the partition after that claim, or 0 if the claim may not be stored.
	End   int64 `cbor:"2,keyasint,omitempty"`
	Token int64 `cbor:"3,keyasint"` // of the term that has ended
}

// successorDelay returns how long the named process waits before it claims a cell that this
// claim has released, if it would wait for delay without a successor.
func (c claim) successorDelay(name string, delay time.Duration) time.Duration {
	switch c.Successor {
	case "":
		return delay
	case name:
		return 0
	}
	delay += successorWait
	if c.ReleasedBy == name {
		delay += releaserWait
	}
	return delay
}

// announceRelease sends the notice to all followers and waits until the successor has received
// it, for up to broadcastTimeout: the end of the term closes all links.
func (h *holder) announceRelease(notice releaseNotice) {
	links := h.followerLinks()
	for name, l := range links {
		if name != notice.Claim.Successor {
			h.node.spawn(func() { h.notify(l, kindRelease, notice) })
		}
	}
	if l := links[notice.Claim.Successor]; l != nil {
		h.notify(l, kindRelease, notice)
	}
}

// recordRelease records that a term has ended.
func (a *agent) recordRelease(notice releaseNotice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if notice.Token > a.released.Token {
		a.released = notice
	}
}

func (a *agent) newestRelease() releaseNotice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.released
}

// asReleased returns the claim that released the cell if c is that claim, or the one that it
// replaces in case it was not stored.
func (a *agent) asReleased(c claim) (claim, bool) {
	if c.Holder == "" {
		return c, true
	}
	if notice := a.newestRelease(); notice.Token != 0 && notice.Token == c.Token {
		return notice.Claim, true
	}
	return claim{}, false
}

// isReleased reports whether the claim is released, or its holder has ended its term.
func (a *agent) isReleased(c claim) bool {
	_, ok := a.asReleased(c)
	return ok
}

// isSuccessor reports whether the claim is released in favor of this process.
func (a *agent) isSuccessor(c claim) bool {
	released, ok := a.asReleased(c)
	return ok && released.Successor == a.node.cfg.Name
}

// followRelease claims the cell if the notice names this process as the successor. It needs
// not read the claim first: the append fails if any other record follows the release. It
// returns the pause before the next step.
func (a *agent) followRelease(ctx context.Context, notice releaseNotice) (pause time.Duration) {
	if notice.End == 0 || notice.Claim.Successor != a.node.cfg.Name || a.node.Stopping() || ctx.Err() != nil {
		return 0 // the next step reads the claim
	}
	released := notice.Claim
	released.Token = notice.End
	a.observe(released)
	return a.claim(ctx, released, notice.End)
}

// setSlow has the process leave the cell to others for the given time.
func (a *agent) setSlow(period time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slowUntil = time.Now().Add(period)
}

// isSlow reports whether this process has released the cell a short time ago because it was
// too slow, or its term ended with a panic.
func (a *agent) isSlow() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.slowUntil)
}
