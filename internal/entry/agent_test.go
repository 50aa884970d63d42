package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// The renewals that a lost holder reported over its link must not be applied to the
// claim of the next holder. A follower that did so superseded the new holder at once.
func TestNewClaimIsNotStale(t *testing.T) {
	a := newAgent(NewNode(Config{Name: "a", Cells: 1}, Platform{}), 0)
	a.observe(claim{Holder: "old", Token: 1, Renewals: 5})
	a.watch.renewals, a.watch.renewalsAt, a.watch.since = 6, time.Now().Add(-2*time.Second), time.Time{}
	next := claim{Holder: "next", Token: 9}
	a.observe(next)
	assert.Assert(t, !a.mayClaim(next))

	// A holder that has renewed its claim only once since its last heartbeat may be
	// superseded.
	lost := claim{Holder: "old", Token: 1, Renewals: 7}
	a.watch.claim = claim{Holder: "old", Token: 1, Renewals: 5}
	a.watch.renewals, a.watch.renewalsAt, a.watch.since = 6, time.Now().Add(-2*time.Second), time.Time{}
	a.observe(lost)
	assert.Assert(t, a.mayClaim(lost))
}

// The VM of a holder that has lost power does not refuse connections. Dialing it must
// end by the time its claim may be superseded; otherwise a takeover takes 0.4 s longer.
func TestDialEndsWhenClaimMayBeSuperseded(t *testing.T) {
	a := newAgent(NewNode(Config{Name: "a", Cells: 1}, Platform{}), 0)
	lost := claim{Holder: "lost", Token: 1}
	a.observe(lost)
	for _, unchanged := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		a.watch.since = time.Now().Add(-unchanged)
		limit := a.dialTimeout()
		assert.Assert(t, limit <= staleAfter-unchanged, "after %v", unchanged)
		a.watch.since = a.watch.since.Add(-limit - time.Millisecond)
		assert.Assert(t, a.mayClaim(lost), "after %v and a dial of %v", unchanged, limit)
	}
	a.watch.since = time.Now().Add(-staleAfter)
	assert.Equal(t, a.dialTimeout(), minDialTimeout)
}

// A holder that releases its cell must not renew leases from then on, because the next
// holder treats an unreachable worker as empty without waiting for authorityPeriod.
func TestReleaseEndsAuthority(t *testing.T) {
	a := newAgent(NewNode(Config{Name: "a", Cells: 1, LongestLeaseMS: 6000}, Platform{}), 0)
	h := newHolder(a, claim{Term: 1}, authorityPeriod)
	assert.Assert(t, h.hasAuthority())
	close(h.releasing)
	assert.Assert(t, !h.hasAuthority())

	late := newHolder(a, claim{Term: 1}, authorityPeriod)
	late.confirmedAt -= authorityPeriod // the authority also expires while the VM is suspended
	assert.Assert(t, !late.hasAuthority())
}

// Guards against a request that is not passed to the next holder because the first one was
// slow before it was lost.
func TestSlowHolderLeavesTimeForTheNext(t *testing.T) {
	a := newAgent(NewNode(Config{Name: "a", Cells: 1}, Platform{}), 0)
	a.setRoute(nil, new(link.Link))
	calls := 0
	_, err := a.callHolder(within(4*time.Second), nil, func(*link.Link) error {
		if calls++; calls == 1 {
			time.Sleep(takeoverTimeout + 50*time.Millisecond)
			a.setRoute(nil, nil)
			time.AfterFunc(100*time.Millisecond, func() { a.setRoute(nil, new(link.Link)) })
			return fault.New(fault.Unavailable, "the link is down", "retry")
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, calls, 2)
}

// Guards against a log that reports a slow holder as a lost one.
func TestUnansweredRequestNamesItsCause(t *testing.T) {
	a := newAgent(NewNode(Config{Name: "a", Cells: 1}, Platform{}), 0)
	a.setRoute(nil, new(link.Link))
	const requests = 16
	errs := make(chan error, requests)
	for range requests {
		go func() {
			ctx := within(takeoverTimeout + 50*time.Millisecond)
			_, err := a.callHolder(ctx, nil, func(*link.Link) error {
				<-ctx.Done()
				return fault.Wrap(fault.Unavailable, ctx.Err(), "no reply in time", "retry")
			})
			errs <- err
		}()
	}
	for range requests {
		err := <-errs
		assert.Equal(t, fault.KindOf(err), fault.OutcomeLost)
		assert.ErrorContains(t, err, "did not reply in time")
	}
}

// Guards against a request that is refused because the process was paused while it had no holder.
func TestPauseIsNoTimeWithoutHolder(t *testing.T) {
	a := newAgent(NewNode(Config{Name: "a", Cells: 1}, Platform{}), 0)
	paused := &a.node.running
	paused.readAt = paused.readAt.Add(-2 * takeoverTimeout)
	time.AfterFunc(100*time.Millisecond, func() { a.setRoute(nil, new(link.Link)) })
	_, err := a.callHolder(within(4*time.Second), nil, func(*link.Link) error { return nil })
	assert.NilError(t, err)
}
