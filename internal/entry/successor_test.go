package entry

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// newestClaim returns the newest claim of cell 0.
func newestClaim(t *testing.T, log *fakeLog) claim {
	t.Helper()
	c, _, err := claimLog{log: log, partition: partitionOf(0, claimOffset, 0)}.read(t.Context())
	assert.NilError(t, err)
	return c
}

// Guards against a holder that hands the cell over and claims it back itself, because its own
// share is the largest of any holder so far and it is the first to see its release. On a large
// site that repeated every 10 s, and a quarter of the requests failed.
func TestYieldedCellIsNotClaimedBack(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	half := startNodeWithShare(t, "half", log, fleet, 0.48)
	eventually(t, "a holder", half.holds)
	startNodeWithShare(t, "large", log, fleet, 0.8)
	eventually(t, "the second term", func() bool {
		c := newestClaim(t, log)
		return c.Holder != "" && c.Term == 2
	})
	assert.Equal(t, newestClaim(t, log).Holder, "large")
	time.Sleep(time.Second)
	assert.Equal(t, newestClaim(t, log).Term, uint32(2), "the cell was released again")
}

// handover is a cell with a holder, the follower that the holder will name as its successor, and
// a third process.
type handover struct {
	log                  *fakeLog
	holder, named, third *testNode
}

// newHandover starts the processes of a handover. The holder is on the largest VM, so without a named
// successor it would be the first to claim the cell again.
func newHandover(t *testing.T) handover {
	t.Helper()
	h := handover{log: newFakeLog()}
	fleet := newFakeFleet(2)
	h.holder = startNodeWithShare(t, "holder", h.log, fleet, 0.81)
	eventually(t, "a holder", h.holder.holds)
	h.named = startNodeWithShare(t, "named", h.log, fleet, 0.8)
	h.third = startNodeWithShare(t, "third", h.log, fleet, 0.7)
	eventually(t, "the statuses of the followers", func() bool {
		name, _ := h.term().strongestFollower()
		return name == "named" && h.third.reaches()
	})
	return h
}

// term returns the term of the holder, or nil after it.
func (h *handover) term() *holder {
	term, _, _ := h.holder.agents()[0].route()
	return term
}

// release has the holder release the cell. Meanwhile is called just before the release is stored.
func (h *handover) release(meanwhile func()) {
	h.holder.log.onRelease.Store(&meanwhile)
	h.term().release(causeYielded)
}

// nextHolder waits for the next term and returns its holder, and the time that it took.
func (h *handover) nextHolder(t *testing.T) (string, time.Duration) {
	t.Helper()
	start := time.Now()
	var next claim
	eventually(t, "the next term", func() bool {
		next = newestClaim(t, h.log)
		return next.Holder != "" && next.Term == 2
	})
	return next.Holder, time.Since(start)
}

// handoverSlack is what a handover may take in a test beyond the waits: the delay of the third process
// for its smaller CPU share, of 0.27 s, and the time to observe the claim.
const handoverSlack = 700 * time.Millisecond

// Guards against a cell that its former holder claims again, or that stays without a holder for
// long, because the successor has died.
func TestSuccessorDies(t *testing.T) {
	h := newHandover(t)
	h.release(h.named.cancel)
	next, took := h.nextHolder(t)
	assert.Equal(t, next, "third")
	assert.Assert(t, took < successorWait+handoverSlack, "the cell had no holder for %v", took)
}

// Guards against the same for a successor that is linked to the holder but not to the log.
func TestSuccessorIsCutOffFromTheLog(t *testing.T) {
	h := newHandover(t)
	h.release(func() { h.named.log.disconnected.Store(true) })
	next, took := h.nextHolder(t)
	assert.Equal(t, next, "third")
	assert.Assert(t, took < successorWait+handoverSlack, "the cell had no holder for %v", took)
}

// Guards against two holders, and against a long time without one, if the claim of a slow successor
// is carried out after another process has claimed the cell.
func TestSuccessorIsSlow(t *testing.T) {
	h := newHandover(t)
	h.release(func() { h.named.log.appendDelay.Store(int64(2 * time.Second)) })
	next, took := h.nextHolder(t)
	assert.Equal(t, next, "third")
	assert.Assert(t, took < successorWait+handoverSlack, "the cell had no holder for %v", took)
	time.Sleep(2500 * time.Millisecond) // until the late claim has been carried out
	newest := newestClaim(t, h.log)
	assert.Equal(t, newest.Holder, "third")
	assert.Equal(t, newest.Term, uint32(2))
	assert.Assert(t, h.third.holds())
	eventually(t, "the successor as a follower", func() bool {
		_, l, _ := h.named.agents()[0].route()
		return l != nil && l.Peer().Name == "third"
	})
}

// Guards against a successor that claims the cell only if the message reaches it: it must find its
// name when it reads the claim.
func TestReleaseMessageIsLost(t *testing.T) {
	h := newHandover(t)
	term := h.term()
	h.release(term.closeFollowerLinks)
	next, took := h.nextHolder(t)
	assert.Equal(t, next, "named")
	assert.Assert(t, took < successorWait, "the cell had no holder for %v", took)
}

// Guards against a cell without a holder for long if the release is not stored: the followers know
// from the message that the term has ended.
func TestReleaseIsNotStored(t *testing.T) {
	h := newHandover(t)
	h.release(func() { h.log.setOutage(topicClaims, 0, refuses) })
	h.log.setOutage(topicClaims, 0, noOutage)
	next, took := h.nextHolder(t)
	assert.Equal(t, next, "named")
	assert.Assert(t, took < successorWait, "the cell had no holder for %v", took)
}

// Guards against a planned stop after which the processes compete for the cell.
func TestPlannedStopNamesSuccessor(t *testing.T) {
	h := newHandover(t)
	go h.holder.HandOver(0, 3*time.Second)
	next, took := h.nextHolder(t)
	assert.Equal(t, next, "named")
	assert.Equal(t, h.holder.agents()[0].newestRelease().Claim.Successor, "named")
	assert.Assert(t, took < successorWait, "the cell had no holder for %v", took)
}

// Guards against a process that claims a cell although it has released it a short time ago because it
// was too slow, and against a holder that names it as its successor.
func TestSlowProcessIsNoSuccessor(t *testing.T) {
	n := NewNode(Config{Name: "a", Cells: 1, CPUShare: 0.8}, Platform{})
	agents := []*agent{newAgent(n, 0)}
	n.cells.Store(&agents)
	assert.Equal(t, n.linkStatus(0).CPUMilli, uint64(800))
	released := claim{Term: 1, Token: 5}
	agents[0].watch.since = time.Now().Add(-time.Second)
	assert.Assert(t, agents[0].mayClaim(released))
	agents[0].setSlow(slowPeriod)
	assert.Equal(t, n.linkStatus(0).CPUMilli, uint64(0))
	assert.Assert(t, !agents[0].mayClaim(released))
	released.Successor = "a" // named by a holder that has not heard of it yet
	assert.Assert(t, agents[0].mayClaim(released))
}

// Guards against a large VM that is named as the successor for all cells.
func TestHeldCellsLowerTheShare(t *testing.T) {
	n := NewNode(Config{Name: "a", Cells: 2, CPUShare: 0.8}, Platform{})
	agents := []*agent{newAgent(n, 0), newAgent(n, 1)}
	n.cells.Store(&agents)
	n.holding.Add(1)
	assert.Equal(t, n.linkStatus(1).CPUMilli, uint64(400))
}

// Guards against a process that comes before the successor of a released cell, or a releasing one
// before the others.
func TestSuccessorDelay(t *testing.T) {
	const usual = 100 * time.Millisecond
	released := claim{ReleasedBy: "a", Successor: "b"}
	assert.Equal(t, released.successorDelay("b", usual), time.Duration(0))
	assert.Equal(t, released.successorDelay("c", usual), usual+successorWait)
	assert.Equal(t, released.successorDelay("a", usual), usual+successorWait+releaserWait)
	assert.Equal(t, claim{ReleasedBy: "a"}.successorDelay("a", usual), usual)
	assert.Equal(t, claim{}.successorDelay("a", usual), usual)
}

// Guards against an update during which processes of two versions cannot read each other's claims
// or messages.
func TestReleaseOfOtherVersion(t *testing.T) {
	type earlierClaim struct {
		Term         uint32 `cbor:"5,keyasint,omitempty"`
		BestCPUMilli uint64 `cbor:"8,keyasint,omitempty"`
	}
	var earlier earlierClaim
	assert.NilError(t, cbor.Unmarshal(mustMarshal(claim{Term: 3, BestCPUMilli: 800, ReleasedBy: "a", Successor: "b"}), &earlier))
	assert.Equal(t, earlier, earlierClaim{3, 800})
	var present claim
	assert.NilError(t, cbor.Unmarshal(mustMarshal(earlier), &present))
	assert.Equal(t, present, claim{Term: 3, BestCPUMilli: 800})
	assert.Equal(t, len(mustMarshal(claim{Term: 3})), len(mustMarshal(earlierClaim{Term: 3})), "a claim without the new fields has grown")

	a := newAgent(NewNode(Config{Name: "a", Cells: 1}, Platform{}), 0)
	var notice releaseNotice
	assert.NilError(t, cbor.Unmarshal(mustMarshal(nil), &notice)) // the body that an earlier version sends
	a.recordRelease(notice)
	assert.Assert(t, !a.isReleased(claim{Holder: "b", Token: 4}))
}
