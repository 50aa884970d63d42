package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What a lost holder told over its link says nothing of the next holder. A follower
// that took it so superseded the new holder at once.
func TestNewClaimIsNotStale(t *testing.T) {
	a := newAgent(NewNode(Config{Name: "a", Cells: 1}, Platform{}), 0)
	a.observe(claim{Holder: "old", Token: 1, Beats: 5})
	a.watch.beats, a.watch.beatsAt, a.watch.since = 6, time.Now().Add(-2*time.Second), time.Time{}
	next := claim{Holder: "next", Token: 9}
	a.observe(next)
	assert.Assert(t, !a.mayClaim(next))

	// The same holder without a renewal since its last heartbeat is gone.
	lost := claim{Holder: "old", Token: 1, Beats: 7}
	a.watch.claim = claim{Holder: "old", Token: 1, Beats: 5}
	a.watch.beats, a.watch.beatsAt, a.watch.since = 6, time.Now().Add(-2*time.Second), time.Time{}
	a.observe(lost)
	assert.Assert(t, a.mayClaim(lost))
}

// The VM of a holder that has lost power does not refuse connections. Dialling it
// must end by the time its claim may be superseded; a takeover took 0.4 s longer
// otherwise.
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

// A holder that gives its cell up must renew no lease from then on: the next one
// does not wait for renewals before it takes a worker that it cannot reach for empty.
func TestReleaseEndsAuthority(t *testing.T) {
	a := newAgent(NewNode(Config{Name: "a", Cells: 1, LeaseMS: 6000}, Platform{}), 0)
	h := newHolder(a, claim{Term: 1}, authority)
	assert.Assert(t, h.hasAuthority())
	close(h.releasing)
	assert.Assert(t, !h.hasAuthority())

	late := newHolder(a, claim{Term: 1}, authority)
	late.renewed -= authority // also if the VM was suspended meanwhile
	assert.Assert(t, !late.hasAuthority())
}
