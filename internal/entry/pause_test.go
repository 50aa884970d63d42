package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a job that is refused after a pause of the holder, because the log counts as silent for the time of the pause.
func TestPauseOfHolderIsNoSilenceOfTheLog(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(1)
	n := startNode(t, "a", log, fleet)
	eventually(t, "a holder", n.holds)
	h, _, _ := n.agents()[0].route()
	awaitQuietLog(t, n, fleet)
	log.mu.Lock()
	log.delay = 100 * time.Millisecond
	log.mu.Unlock()
	first := make(chan error, 1)
	go func() { first <- n.Submit(within(3*time.Second), testJob(1)) }()
	eventually(t, "an append", func() bool { return h.writer.silentFor() > 0 })
	n.running.mu.Lock()
	n.running.readAt = n.running.readAt.Add(-2 * time.Second) // as after a pause of 2 s
	n.running.mu.Unlock()
	assert.NilError(t, n.Submit(within(3*time.Second), testJob(2)))
	assert.NilError(t, <-first)
}

// Guards against time that does not count while nobody calls, so that the first request after an outage waits for a holder.
func TestTimeWithoutHolderCountsWithoutRequests(t *testing.T) {
	n := startNode(t, "a", newFakeLog(), newFakeFleet(1))
	eventually(t, "a holder", n.holds)
	at := n.running.now()
	time.Sleep(2 * time.Second)
	ran := n.running.now() - at
	assert.Assert(t, ran > time.Second, "%v of 2 s count", ran)
}

// Guards against a job that is refused after a pause of the holder, because the holder's last confirmation counts as old for the time of the pause.
func TestJobIsNotRefusedForAnOldConfirmationAfterPause(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(1)
	n := startNode(t, "a", log, fleet)
	eventually(t, "a holder", n.holds)
	h, _, _ := n.agents()[0].route()
	awaitQuietLog(t, n, fleet)
	log.setDelay(100 * time.Millisecond)
	first := make(chan error, 1)
	go func() { first <- n.Submit(within(3*time.Second), testJob(1)) }()
	eventually(t, "an append", func() bool { return h.writer.silentFor() > 0 })
	// As after a pause of 2 s: both the clock of the running time and the time since boot have a gap.
	n.running.mu.Lock()
	n.running.readAt = n.running.readAt.Add(-2 * time.Second)
	n.running.mu.Unlock()
	h.mu.Lock()
	h.confirmedAt -= 2 * time.Second
	h.mu.Unlock()
	assert.NilError(t, n.Submit(within(3*time.Second), testJob(2)))
	assert.NilError(t, <-first)
}
