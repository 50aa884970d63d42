package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// eventsOf returns how many events f posts to the holder of a session.
func eventsOf(s *session, f func()) int {
	before := len(s.holder.events)
	f()
	return len(s.holder.events) - before
}

// Guards against tasks that run twice because the lease of a silent worker counts as expired early, or never does.
func TestLeaseOfSilentWorkerExpiresOnce(t *testing.T) {
	s := testSession()
	silent := &ControlError{Failure: ControlUnanswered}
	s.answer(t, 1, 300_000)
	posted := eventsOf(s, func() { assert.Assert(t, s.handleRenewalError(silent, 0)) })
	assert.Equal(t, posted, 1, "that the worker is unreachable")
	posted = eventsOf(s, func() { assert.Assert(t, s.handleRenewalError(silent, 0)) })
	assert.Equal(t, posted, 0)
	_, known := s.leaseEnd()
	assert.Assert(t, known, "the lease has not expired")

	s.life.clockAt = time.Now().Add(-7 * time.Second)
	posted = eventsOf(s, func() { assert.Assert(t, s.handleRenewalError(silent, 0)) })
	assert.Equal(t, posted, 1, "that the lease has expired")
	posted = eventsOf(s, func() { assert.Assert(t, s.handleRenewalError(silent, 0)) })
	assert.Equal(t, posted, 0)
}

// Guards against a former holder that goes on, and against runs of a replaced worker that are never placed again.
func TestSessionEndsWithItsWorkerOrTerm(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	posted := eventsOf(s, func() { assert.Assert(t, !s.handleRenewalError(&ControlError{Failure: ControlReplaced}, 0)) })
	assert.Equal(t, posted, 1, "that the worker is replaced")
	assert.NilError(t, s.ctx.Err())
	assert.Assert(t, !s.handleRenewalError(&ControlError{Failure: ControlFenced}, 0))
	assert.Equal(t, s.holder.cause, "worker_fenced")
	assert.Assert(t, s.ctx.Err() != nil)
	posted = eventsOf(s, func() { assert.Assert(t, !s.handleRenewalError(&ControlError{Failure: ControlReplaced}, 0)) })
	assert.Equal(t, posted, 0, "the term has ended")
}

// Guards against the run of a cancelled job that goes on because its stop is not repeated until the worker answers.
func TestStopIsRepeatedUntilItIsAnswered(t *testing.T) {
	fleet := newFakeFleet(1)
	h := newHolder(newAgent(NewNode(Config{Name: "a", Cells: 1, LongestLeaseMS: 6000}, Platform{Controller: fleet}), 0), claim{Term: 1, Token: 1}, 0)
	s := newSession(h, Target{ID: "w0", Address: "w0"})
	fleet.setSilent("w0", true)
	s.stop(cell.Stop{Worker: "w0"})
	time.Sleep(stopTimeout + stopRetryDelay/2)
	fleet.setSilent("w0", false)
	eventually(t, "an answer to the stop", func() bool { return len(h.events) == 1 })
	h.node.tasks.Wait()
	assert.Equal(t, len(h.events), 1)
	assert.NilError(t, h.ctx.Err(), "the term has ended")
}
