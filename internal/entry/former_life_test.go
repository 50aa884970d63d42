package entry

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// oldFleet returns workers that have been up for a minute, with the given longest lease. Only the first
// one is registered.
func oldFleet(workers int, longestLeaseMS int64) (fleet *fakeFleet, all []cell.WorkerInfo) {
	fleet = newFakeFleet(workers)
	fleet.longestLeaseMS = longestLeaseMS
	for _, w := range fleet.workers {
		w.bornMS = -60_000
	}
	all = fleet.infos
	fleet.infos = all[:1]
	return fleet, all
}

// submitLong submits a job of one task that runs for a minute.
func submitLong(t *testing.T, n *testNode) {
	t.Helper()
	job := testJob(1)
	job.Steps[0].EstimateMS = 60_000
	assert.NilError(t, n.Submit(within(3*time.Second), job))
}

// Guards against a task that runs twice because a renewal for the former life of its worker gave the new one a longer lease than the holder gives.
func TestLongestLeaseOfARestartedWorker(t *testing.T) {
	t.Parallel()
	fleet, all := oldFleet(2, 10_000)
	n := startLeased(t, fleet, fleet, 10_000)
	eventually(t, "a holder", n.holds)
	eventually(t, "renewals", func() bool { return fleet.renewed() > 3 })
	fleet.restart("w0") // the renewal that waits there is answered by the new life
	h, _, _ := n.agents()[0].route()
	eventually(t, "a listing of the new life", func() bool { return sessionOf(h, "w0").lastLife().incarnation == 2 })
	submitLong(t, n)
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	fleet.setRegistered(all...)
	time.Sleep(500 * time.Millisecond) // the other worker is listed, and in the stored roster
	fleet.setSilent("w0", true)
	eventually(t, "the next start", func() bool { return fleet.started() == 2 })
	assert.Equal(t, len(fleet.startedTwice()), 0)
}

// Guards against the same when another holder takes over that does not reach the worker.
func TestNextHolderWaitsForTheLongestLease(t *testing.T) {
	s := testSession()
	s.holder.node.cfg.LongestLeaseMS = 10_000
	s.holder.priorAuthority = authorityPeriod
	waits := time.Duration(s.holder.longestPriorLease()) * time.Millisecond
	assert.Assert(t, waits >= authorityPeriod+10*time.Second, "waits for %v", waits)
}

// recordedFleet keeps the newest orders that may change a worker.
type recordedFleet struct {
	*fakeFleet
	orders  sync.Mutex
	renewal LeaseRenewal
	start   StartOrder
	stop    StopOrder
}

func (f *recordedFleet) RenewLease(ctx context.Context, t Target, r LeaseRenewal) (LeaseRenewalResult, error) {
	if r.Acknowledged > 0 && r.DeadlineMS > 0 {
		f.orders.Lock()
		f.renewal = r
		f.orders.Unlock()
	}
	return f.fakeFleet.RenewLease(ctx, t, r)
}

func (f *recordedFleet) Start(ctx context.Context, t Target, o StartOrder) (cell.StartOutcome, int64) {
	f.orders.Lock()
	f.start = o
	f.orders.Unlock()
	return f.fakeFleet.Start(ctx, t, o)
}

func (f *recordedFleet) Stop(ctx context.Context, t Target, o StopOrder) error {
	f.orders.Lock()
	f.stop = o
	f.orders.Unlock()
	return f.fakeFleet.Stop(ctx, t, o)
}

// Guards against orders for the former life of a worker that the new one carries out late: leases, forgotten ends, runs and stops nobody knows of.
func TestNewLifeRefusesOrdersForTheFormerOne(t *testing.T) {
	t.Parallel()
	fleet, _ := oldFleet(1, 6000)
	view := &recordedFleet{fakeFleet: fleet}
	n := startMuted(t, fleet, view)
	eventually(t, "a holder", n.holds)
	submitLong(t, n)
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	err := n.Cancel(within(3*time.Second), testJob(1).ID, cell.Caller{})
	assert.NilError(t, err)
	eventually(t, "an acknowledgement of the end", func() bool { return fleet.discarded("w0") == 1 })
	fleet.restart("w0")
	h, _, _ := n.agents()[0].route()
	eventually(t, "a listing of the new life", func() bool { return sessionOf(h, "w0").lastLife().incarnation == 2 })

	view.orders.Lock()
	renewal, start, stop := view.renewal, view.start, view.stop
	view.orders.Unlock()
	assert.Assert(t, renewal.Token > 0 && start.Token > 0 && stop.Token > 0, "orders of each kind")
	w0 := Target{ID: "w0", Address: "w0"}
	var c *ControlError
	_, err = fleet.RenewLease(within(time.Second), w0, renewal)
	assert.Assert(t, errors.As(err, &c) && c.Failure == ControlFenced, "renewal: %v", err)
	outcome, _ := fleet.Start(within(time.Second), w0, start)
	assert.Equal(t, outcome, cell.StartFenced)
	err = fleet.Stop(within(time.Second), w0, stop)
	assert.Assert(t, errors.As(err, &c) && c.Failure == ControlFenced, "stop: %v", err)
}

// Guards against a listing that is used, and starts that follow it, while orders for a former life may still change the present one.
func TestListingIsUsedOnceFormerOrdersAreRefused(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	s.acknowledge(1, 370)
	sent := s.nextRenewal()
	assert.Assert(t, !s.respond(sent.Token, 2, 100), "answered by the new life")
	_, ok := s.prepareStart()
	assert.Assert(t, !ok, "a start on a life that the session does not know")
	next := s.nextRenewal()
	assert.Equal(t, next, LeaseRenewal{Token: sent.Token + 1}, "without numbers of a former life")
	assert.Assert(t, !s.respond(sent.Token, 1, 300_100), "a late answer of the former life")
	assert.Assert(t, s.respond(next.Token, 2, 200))
	assert.Equal(t, s.nextRenewal().Token, next.Token, "the same life keeps its token")
}

// Guards against an order without effect that costs a token, of which there is one for each renewal of the claim.
func TestPureRenewalsNeedNoToken(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	s.setUnreachable()
	s.answer(t, 2, 100)
	used := s.nextRenewal().Token
	assert.Equal(t, used, int64(1))
	s.holder.tokens = newOrderTokens(used) // the claim is not renewed any more
	assert.Assert(t, !s.respond(s.nextRenewal().Token, 3, 100))
	assert.Assert(t, !s.respond(s.nextRenewal().Token, 3, 200), "no token that orders to life 2 did not have")
	s.holder.tokens.extend(used + 1)
	s.answer(t, 3, 300)
	assert.Equal(t, s.nextRenewal().Token, used+1)
}

// Guards against a term that ends because its own later order was carried out before an earlier one.
func TestOwnLaterOrderDoesNotEndTheTerm(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	former := s.nextRenewal().Token
	s.answer(t, 2, 100)
	assert.Assert(t, !s.handleFenced(former))
	assert.NilError(t, s.ctx.Err())
	assert.Assert(t, s.handleFenced(s.currentToken()), "of a newer holder")
	assert.Equal(t, s.holder.cause, "worker_fenced")
}

// Guards against tokens of two sessions with one worker that do not tell its lives apart, and against those of later claims.
func TestOrderTokens(t *testing.T) {
	tokens := newOrderTokens(5)
	first, used := tokens.first()
	assert.Equal(t, first, int64(5))
	assert.Assert(t, !used)
	_, ok := tokens.after(first)
	assert.Assert(t, !ok, "the next claim may have the offset 6")
	tokens.markUsed(first)
	again, used := tokens.first()
	assert.Assert(t, again == 5 && used, "an order of an earlier session may be under way")
	tokens.extend(7)
	again, used = tokens.first()
	assert.Assert(t, again == 6 && !used)
	next, ok := tokens.after(again)
	assert.Assert(t, ok && next == 7)
	_, ok = tokens.after(next)
	assert.Assert(t, !ok)
}

// lossyFleet carries out renewals and starts only, or loses their answers, as it is set.
type lossyFleet struct {
	*fakeFleet
	loseRenewals atomic.Bool // they get no answer and have no effect
	loseStarts   atomic.Bool // they are carried out and get no answer
}

func (f *lossyFleet) RenewLease(ctx context.Context, t Target, r LeaseRenewal) (LeaseRenewalResult, error) {
	if f.loseRenewals.Load() && t.ID == "w0" {
		<-ctx.Done()
		return LeaseRenewalResult{}, &ControlError{Failure: ControlUnanswered}
	}
	return f.fakeFleet.RenewLease(ctx, t, r)
}

func (f *lossyFleet) Start(ctx context.Context, t Target, o StartOrder) (cell.StartOutcome, int64) {
	outcome, clockMS := f.fakeFleet.Start(ctx, t, o)
	if f.loseStarts.Load() && t.ID == "w0" {
		<-ctx.Done()
		return cell.StartUnanswered, 0
	}
	return outcome, clockMS
}

// startOnUnlistedLife has the first worker restart while a renewal waits at its former life, and a task
// started on the new one 1.2 s later, which the holder has not listed.
func startOnUnlistedLife(t *testing.T, loseStart bool) (view *lossyFleet, h *holder, all []cell.WorkerInfo) {
	t.Helper()
	fleet, all := oldFleet(2, 6000)
	view = &lossyFleet{fakeFleet: fleet}
	n := startMuted(t, fleet, view)
	eventually(t, "a holder", n.holds)
	eventually(t, "renewals", func() bool { return fleet.renewed() > 3 })
	view.loseRenewals.Store(true)
	view.loseStarts.Store(loseStart)
	time.Sleep(400 * time.Millisecond) // the renewals before have been answered
	fleet.restart("w0")
	time.Sleep(800 * time.Millisecond)
	submitLong(t, n)
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	h, _, _ = n.agents()[0].route()
	return view, h, all
}

// Guards against a task that runs twice because its worker restarted and was cut off before the holder listed it.
func TestRunOfAnUnlistedLifeIsWaitedFor(t *testing.T) {
	t.Parallel()
	view, h, all := startOnUnlistedLife(t, false)
	view.setSilent("w0", true)
	h.setWorkers(all)
	eventually(t, "the next start", func() bool { return view.started() == 2 })
	assert.Equal(t, len(view.startedTwice()), 0)
}

// Guards against starts that go on to a worker that has restarted, until the renewal at its former life times out.
func TestAnswerOfAnotherLifeEndsTheRenewal(t *testing.T) {
	t.Parallel()
	view, h, _ := startOnUnlistedLife(t, false)
	view.loseRenewals.Store(false)
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, sessionOf(h, "w0").lastLife().incarnation, int64(2))
}

// Guards against a worker that has restarted and gets no tasks, or those of its former life, until a renewal at that one times out.
func TestRegistryTellsOfANewLife(t *testing.T) {
	t.Parallel()
	fleet, all := oldFleet(1, 6000)
	view := &lossyFleet{fakeFleet: fleet}
	n := startMuted(t, fleet, view)
	eventually(t, "a holder", n.holds)
	eventually(t, "renewals", func() bool { return fleet.renewed() > 3 })
	view.loseRenewals.Store(true)
	time.Sleep(400 * time.Millisecond)
	fleet.restart("w0")
	view.loseRenewals.Store(false)
	all[0].Incarnation = 2
	h, _, _ := n.agents()[0].route()
	h.setWorkers(all)
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, sessionOf(h, "w0").lastLife().incarnation, int64(2))
}

// Guards against an entry of the registry with a wrong incarnation that interrupts all renewals of its worker.
func TestWrongIncarnationInTheRegistryIsAskedAboutOnce(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	token := s.nextRenewal().Token
	s.noteRegistered(9)
	s.answer(t, 1, 300_010)
	assert.Equal(t, s.nextRenewal().Token, token+1)
	s.noteRegistered(9)
	s.noteRegistered(1)
	assert.Assert(t, s.isAnswering())
	assert.Equal(t, s.nextRenewal().Token, token+1)
}

// Guards against a task that crashes its workers and is not suspected, because it may seem to have ended before the crash was noticed.
func TestCrashIsCountedFromTheInterruptedRenewal(t *testing.T) {
	t.Parallel()
	fleet, all := oldFleet(1, 6000)
	view := &lossyFleet{fakeFleet: fleet}
	n := startMuted(t, fleet, view)
	eventually(t, "a holder", n.holds)
	eventually(t, "renewals", func() bool { return fleet.renewed() > 3 })
	view.loseRenewals.Store(true)
	time.Sleep(400 * time.Millisecond) // a renewal waits at the worker
	job := testJob(1)
	job.Steps[0].EstimateMS = 300
	assert.NilError(t, n.Submit(within(3*time.Second), job))
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	time.Sleep(200 * time.Millisecond)
	fleet.restart("w0")
	view.loseRenewals.Store(false)
	all[0].Incarnation = 2
	h, _, _ := n.agents()[0].route()
	h.setWorkers(all)
	suspected := metrics.GetOrRegisterCounter("events.crash_suspected", n.cfg.Metrics)
	eventually(t, "a listing of the new life", func() bool { return sessionOf(h, "w0").lastLife().incarnation == 2 })
	eventually(t, "the next start", func() bool { return fleet.started() == 2 })
	assert.Equal(t, suspected.Count(), int64(1))
}

// Guards against tasks that wait for the longest lease although the clock of the new life is past all deadlines that were sent.
func TestDeadlinesThatHavePassedGiveNoLease(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	s.deadline(s.leaseDuration())
	s.answer(t, 2, 900_000)
	assert.Equal(t, s.life.deadlineMS, int64(906_000), "an earlier holder may have sent later deadlines")

	s.openedAt = time.Now().Add(-earlierOrderDelay)
	s.deadline(s.leaseDuration())
	s.answer(t, 3, 903_000)
	left := s.life.deadlineMS - 903_000
	assert.Assert(t, left >= 3000 && left < 3500, "the last order for life 2 gives %d ms", left)
	s.answer(t, 4, 2_000_000)
	assert.Equal(t, s.life.deadlineMS, int64(2_000_000))
	s.answer(t, 5, 100)
	assert.Equal(t, s.life.deadlineMS, int64(6100), "shortened to the longest lease")
}

// Guards against a task that runs twice because a holder that may have a successor leaves a run on an incarnation whose lease the successor does not wait for.
func TestRunOfAnotherLifeIsStoppedWithoutAuthority(t *testing.T) {
	for _, authority := range []bool{true, false} {
		fleet := newFakeFleet(1)
		h := newHolder(newAgent(NewNode(Config{Name: "a", Cells: 1, LongestLeaseMS: 6000}, Platform{Controller: fleet}), 0), claim{Term: 1, Token: 1}, 0)
		h.tokens.extend(9)
		s := newSession(h, Target{ID: "w0", Address: "w0"})
		s.answer(t, 1, fakeClockMS()+60_000)
		want := cell.StartAccepted
		if !authority {
			h.confirmedAt = clock.SinceBoot() - authorityPeriod
			want = cell.StartUnanswered
		}
		assert.Equal(t, s.tryStart(cell.Start{Worker: "w0"}), want)
	}
}

// Guards against a run that counts as ended while an order on its way may still prolong the lease of its unlisted incarnation.
func TestLeaseOfAnotherLifeCoversOrdersOnTheirWay(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	s.nextRenewal() // may reach the worker until it times out
	terms, ok := s.prepareStart()
	assert.Assert(t, ok)
	s.recordOtherLife(terms, 500)
	end, known := s.leaseEnd()
	longest := time.Duration(maxLeaseDurationMS(s.holder.node.cfg.LongestLeaseMS)) * time.Millisecond
	assert.Assert(t, known && !end.Before(terms.sentAt.Add(renewalWait+renewalTimeout+longest)))
}

// Guards against a run that is forgotten because the life that was listed meanwhile is not the one that answered its start.
func TestStartAnsweredByALaterLifeThanTheListedOne(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	terms, ok := s.prepareStart()
	assert.Assert(t, ok)
	s.answer(t, 2, 100_000)
	s.recordOtherLife(terms, 100_010)
	assert.Assert(t, s.otherLifeUntil.IsZero(), "answered by the listed life")
	s.recordOtherLife(terms, 500)
	assert.Assert(t, !s.otherLifeUntil.IsZero())
}

// Guards against a run that is forgotten because a listing of an earlier life, which was requested before, arrives after the answer to its start.
func TestListingRequestedBeforeAnotherLifeAnswered(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	terms, ok := s.prepareStart()
	assert.Assert(t, ok)
	s.noteRegistered(2)
	requested := s.holder.now()
	time.Sleep(5 * time.Millisecond)
	s.recordOtherLife(terms, 500)
	assert.Assert(t, s.recordResponse(s.currentToken(), LeaseRenewalResult{ClockMS: 100_000, Listing: cell.Listing{Incarnation: 2, RequestedAt: requested}}))
	assert.Assert(t, !s.otherLifeUntil.IsZero(), "a third life answered the start")
	time.Sleep(5 * time.Millisecond)
	assert.Assert(t, s.respond(s.currentToken(), 2, 100_010))
	assert.Assert(t, s.otherLifeUntil.IsZero())
}

// Guards against a term that ends because the next session with a worker, at another address or opened again, has sent a higher token or sends a lower one.
func TestSessionsWithOneWorkerDoNotEndTheTerm(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	s.nextRenewal()
	s.noteRegistered(2)
	s.answer(t, 2, 100)
	s.noteRegistered(3)
	s.answer(t, 3, 100)
	s.cancel()
	assert.Assert(t, !s.handleFenced(s.currentToken()))
	assert.Assert(t, !s.handleRenewalError(&ControlError{Failure: ControlFenced}, 0))
	assert.NilError(t, s.holder.ctx.Err())
	again := newSession(s.holder, s.target)
	assert.Assert(t, again.token >= s.token, "%d after %d", again.token, s.token)
}

// Guards against a lease that is reckoned from the deadlines of this session only while orders of the one before it may be carried out.
func TestSessionOpenedAgainCountsWithOrdersBeforeIt(t *testing.T) {
	s := testSession()
	s.answer(t, 1, 300_000)
	s.nextRenewal()
	s.cancel()
	next := newSession(s.holder, s.target)
	next.answer(t, 2, 100)
	next.nextRenewal()
	next.answer(t, 3, 6000)
	assert.Equal(t, next.life.deadlineMS, int64(12_000))
}

// Guards against tasks that wait for ever because another life answers while the claim cannot be renewed, so that no token is left.
func TestLeaseEndsWithoutAFurtherToken(t *testing.T) {
	t.Parallel()
	fleet, _ := oldFleet(1, 6000)
	n := startMuted(t, fleet, fleet)
	eventually(t, "a holder", n.holds)
	eventually(t, "renewals", func() bool { return fleet.renewed() > 3 })
	h, _, _ := n.agents()[0].route()
	s := sessionOf(h, "w0")
	s.mu.Lock()
	s.token = math.MaxInt64 - 1 // beyond all renewals of the claim
	s.mu.Unlock()
	time.Sleep(400 * time.Millisecond)
	fleet.restart("w0")
	eventually(t, "the end of the lease", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.expiredMS != 0
	})
}

// Guards against a listing that is used while an order without a lease for a former life is on its way.
func TestOrdersWithoutLeaseCostTheToken(t *testing.T) {
	for _, order := range []func(s *session){
		func(s *session) { s.prepareStart() },
		func(s *session) { s.acknowledge(1, 5); s.nextRenewal() },
	} {
		s := testSession()
		s.answer(t, 1, 300_000)
		s.holder.confirmedAt = clock.SinceBoot() - authorityPeriod
		order(s)
		assert.Assert(t, !s.respond(s.currentToken(), 2, 100))
	}
}

// Guards against a lease that is reckoned from the last start, which ends before an earlier renewal's.
func TestLatestDeadlineIsTheLatestOfAllOrders(t *testing.T) {
	s := testSession()
	s.openedAt = time.Now().Add(-earlierOrderDelay)
	s.answer(t, 1, 300_000)
	s.nextRenewal()
	_, ok := s.prepareStart()
	assert.Assert(t, ok)
	token := s.currentToken()
	assert.Assert(t, !s.respond(token, 2, 300_000))
	assert.Assert(t, s.respond(token+1, 2, 300_000))
	assert.Assert(t, s.life.deadlineMS >= 306_000)
}

// Guards against a session at another address that acts as if the one before had sent nothing.
func TestNextAddressInheritsOrders(t *testing.T) {
	s := testSession()
	s.openedAt = time.Now().Add(-earlierOrderDelay)
	s.answer(t, 1, 300_000)
	s.nextRenewal()
	terms, ok := s.prepareStart()
	assert.Assert(t, ok)
	s.recordOtherLife(terms, 100)
	moved := newSession(s.holder, Target{ID: "w", Address: "moved"})
	moved.inherit(s)
	end, known := moved.leaseEnd()
	assert.Assert(t, known && !end.Before(s.otherLifeUntil))
	assert.Assert(t, !moved.respond(moved.currentToken(), 2, 300_000))
	moved.answer(t, 2, 300_000)
	assert.Assert(t, moved.life.deadlineMS >= 306_000)
}
