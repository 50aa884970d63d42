package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// Guards against acknowledgements of a former life that make a worker discard ends nobody has read.
func TestRestartedWorkerKeepsItsEnds(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(1)
	n := startNode(t, "a", log, fleet)
	eventually(t, "a holder", n.holds)
	for job := range 3 {
		assert.NilError(t, n.Submit(within(3*time.Second), testJob(job)))
		eventually(t, "a start", func() bool { return fleet.started() == job+1 })
		fleet.endAll(cell.EndDone)
	}
	eventually(t, "an acknowledgement", func() bool { return fleet.discarded("w0") == 3 })
	fleet.setSilent("w0", true)
	time.Sleep(renewalWait + renewalTimeout)
	fleet.restart("w0")
	// Nothing has ended in the new incarnation, so no renewal may let it discard anything.
	time.Sleep(time.Second)
	assert.Equal(t, fleet.discarded("w0"), uint64(0))
	assert.NilError(t, n.Submit(within(3*time.Second), testJob(3)))
	eventually(t, "a start", func() bool { return fleet.started() == 4 })
	fleet.endAll(cell.EndDone)
	eventually(t, "an acknowledgement of the new incarnation", func() bool { return fleet.discarded("w0") == 1 })
}

// testSession returns a session without a worker.
func testSession() *session {
	a := newAgent(NewNode(Config{Name: "a", Cells: 1, LongestLeaseMS: 6000}, Platform{}), 0)
	h := newHolder(a, claim{Holder: "a", Term: 1, Token: 1}, 0)
	h.tokens.extend(100)
	return newSession(h, Target{ID: "w", Address: "w"})
}

// respond records an answer of an incarnation to a renewal that is sent now.
func (s *session) respond(token, incarnation, clockMS int64) bool {
	return s.recordResponse(token, LeaseRenewalResult{ClockMS: clockMS, Listing: cell.Listing{Incarnation: incarnation, RequestedAt: s.holder.now()}})
}

// answer has an incarnation of the worker answer renewals until the session uses the listing.
func (s *session) answer(t *testing.T, incarnation, clockMS int64) {
	t.Helper()
	eventually(t, "a listing that is used", func() bool { return s.respond(s.nextRenewal().Token, incarnation, clockMS) })
}

// Guards against numbers of a former life in renewals, also if ends are acknowledged late.
func TestRenewalsCarryNothingOfAFormerLife(t *testing.T) {
	s := testSession()
	assert.Equal(t, s.nextRenewal(), LeaseRenewal{Token: 1}, "the worker's life is not known yet")
	s.answer(t, 1, 300_000)
	s.acknowledge(1, 370)
	assert.Equal(t, s.nextRenewal().Acknowledged, uint64(370))
	assert.Assert(t, s.nextRenewal().DeadlineMS >= 306_000)

	s.setUnreachable()
	assert.Equal(t, s.nextRenewal(), LeaseRenewal{Token: 1}, "the worker may have restarted")
	s.acknowledge(1, 371)
	s.answer(t, 2, 100)
	s.acknowledge(1, 372)
	r := s.nextRenewal()
	assert.Equal(t, r.Acknowledged, uint64(0))
	assert.Assert(t, r.DeadlineMS < 7000, "the deadline is %d ms on a clock that shows 100 ms", r.DeadlineMS)
	s.acknowledge(2, 1)
	assert.Equal(t, s.nextRenewal().Acknowledged, uint64(1))

	s.setUnreachable()
	s.answer(t, 2, 5000)
	assert.Equal(t, s.nextRenewal().Acknowledged, uint64(1), "the worker has not restarted")
}

// Guards against a worker that restarts unnoticed while this VM is suspended.
func TestSuspensionStopsAcknowledgements(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	s.acknowledge(1, 370)
	s.life.heardAt = clock.SinceBoot() - acknowledgeWindow
	assert.Equal(t, s.nextRenewal().Acknowledged, uint64(0))
}

// Guards against starts without a known clock, which would be valid for years.
func TestStartIsNotSentToAnUnknownLife(t *testing.T) {
	s := testSession()
	assert.Equal(t, s.tryStart(cell.Start{}), cell.StartNotSent)
	s.answer(t, 1, 300_000)
	s.setUnreachable()
	assert.Equal(t, s.tryStart(cell.Start{}), cell.StartNotSent)
}

// Guards against a lease that seems to last as long as the worker was up before it restarted.
func TestLeaseEndsOnTheClockOfThePresentLife(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	s.nextRenewal()
	s.setUnreachable()
	s.answer(t, 2, 100)
	end, known := s.leaseEnd()
	assert.Assert(t, known, "an earlier holder may have given the worker a lease")
	left := time.Until(end)
	assert.Assert(t, left > 6*time.Second && left < 7*time.Second, "the lease ends in %v", left)
	s.leaseExpired()
	_, known = s.leaseEnd()
	assert.Assert(t, !known, "an expired lease is reported once")
}

// Guards against a holder without the log that prolongs leases by starts the next one does not wait for.
func TestStartsEndWithTheAuthority(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	lease := 6 * time.Second
	s.holder.confirmedAt = clock.SinceBoot() - authorityPeriod
	terms, ok := s.prepareStart()
	assert.Assert(t, ok, "an outage of the log that is usual must not keep tasks from starting")
	assert.Assert(t, terms.deadlineMS < 300_000+(startWindow+time.Second).Milliseconds())
	s.holder.confirmedAt = clock.SinceBoot() - authorityPeriod - lease + startWindow
	_, ok = s.prepareStart()
	assert.Assert(t, !ok)
	assert.Equal(t, s.tryStart(cell.Start{}), cell.StartNotSent)
}

// Guards against starts that a holder sends after its term has ended, such as those that waited for a slot.
func TestNoStartIsSentAfterTheTerm(t *testing.T) {
	h := newHolder(newAgent(NewNode(Config{Name: "a", Cells: 1, LongestLeaseMS: 6000}, Platform{Controller: newFakeFleet(1)}), 0), claim{Term: 1, Token: 1}, 0)
	fleet := h.node.platform.Controller.(*fakeFleet)
	s := newSession(h, Target{ID: "w0", Address: "w0"})
	s.answer(t, 1, fakeClockMS())
	h.endTerm("claim_superseded")
	for range 50 {
		s.tryStart(cell.Start{Worker: "w0"})
	}
	assert.Equal(t, fleet.started(), 0)
}

// Guards against starts that a holder sends after a planned release of the cell has begun.
func TestNoStartIsSentDuringRelease(t *testing.T) {
	h := newHolder(newAgent(NewNode(Config{Name: "a", Cells: 1, LongestLeaseMS: 6000}, Platform{Controller: newFakeFleet(1)}), 0), claim{Term: 1, Token: 1}, 0)
	fleet := h.node.platform.Controller.(*fakeFleet)
	s := newSession(h, Target{ID: "w0", Address: "w0"})
	s.answer(t, 1, fakeClockMS())
	close(h.releasing)
	s.tryStart(cell.Start{Worker: "w0"})
	assert.Equal(t, fleet.started(), 0)
}

// Guards against sessions that keep the processor busy once the term has ended, so that the process does nothing else for seconds.
func TestWaitForAcknowledgementEndsWithTheTerm(t *testing.T) {
	s := testSession()
	s.holder.endTerm("worker_fenced")
	start := time.Now()
	s.waitBeforeRenewal([]cell.EndedTask{{Number: 1}})
	assert.Assert(t, time.Since(start) < acknowledgeTimeout/2, "waited for %v", time.Since(start))
}

// Guards against calls for ever to workers that have left, which pile up as VMs are replaced.
func TestSessionEndsWithTheWorker(t *testing.T) {
	fleet := newFakeFleet(1)
	fleet.setSilent("w0", true)
	node := startNode(t, "a", newFakeLog(), fleet)
	eventually(t, "a renewal", func() bool { return fleet.renewed() > 0 })
	registered := fleet.infos
	fleet.setRegistered()
	h, _, _ := node.agents()[0].route()
	sessions := func() int {
		count := make(chan int, 1)
		h.post(func(*cell.Scheduler) { count <- len(h.sessions) })
		return <-count
	}
	eventually(t, "the end of the session", func() bool { return sessions() == 0 })
	fleet.setSilent("w0", false)
	fleet.setRegistered(registered...)
	eventually(t, "a new session", func() bool { return sessions() == 1 })
}

// Guards against an answer of a restarted worker that counts as one of its former life, and the reverse.
func TestClockTellsLivesApart(t *testing.T) {
	now := time.Now()
	life := workerLife{incarnation: 1, clockMS: 20_000, clockAt: now.Add(-time.Second)}
	for _, c := range []struct {
		clockMS int64
		other   bool
	}{
		{21_000, false},
		{20_980, false}, // a clock that is 2% slow
		{21_900, false}, // the last response was under way for long
		{22_100, true},
		{9_000_000, true}, // a clock begins at any value
		{19_900, true},    // earlier than the last reading
		{20_500, true},
		{400, true},
	} {
		assert.Equal(t, life.isOther(c.clockMS, now, now), c.other, "clock %d", c.clockMS)
	}
}
