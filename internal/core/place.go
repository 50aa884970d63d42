package core

import (
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/queue"
)

const (
	// maxPlacementsPerStep limits the time of one Step.
	maxPlacementsPerStep = 256
	// maxPlacementFailuresPerTick limits the work spent on tasks that fit nowhere,
	// so that a long queue costs little time when all workers are full.
	maxPlacementFailuresPerTick = 32
	// maxReserving limits the attempts that wait for a holder's answer.
	maxReserving = 512
	// postponeDelay is the longest delay before a task that fitted nowhere is tried
	// again.
	postponeDelay = 200 * time.Millisecond
	// preemptAfter is how long a task waits before others are preempted for it.
	// The work of a stopped task is lost, and capacity is often freed within this
	// time.
	// Urgent work has to start within 4.3 s.
	preemptAfter = time.Second
	// sampledPeers is the number of peers among which the one with the most free
	// capacity is asked.
	sampledPeers = 3
)

// dispatch places waiting tasks until none may start or a limit is reached.
func (c *Core) dispatch() {
	if c.policy == nil {
		return
	}
	for range maxPlacementsPerStep {
		if c.attempts.placementFailures >= maxPlacementFailuresPerTick || len(c.attempts.reserving) >= maxReserving {
			return
		}
		it, ok := c.queue.Next(c.now)
		if !ok {
			return
		}
		c.place(it)
		c.deliverLocal()
	}
}

// place starts the search for workers for a task or a gang.
func (c *Core) place(it queue.Item) {
	j := c.jobs.byID[it.Key.JobID]
	if j == nil || j.phase == phaseDone || j.coordinator != c.cfg.Self {
		c.queue.Cancel(it.Key)
		return
	}
	if j.phase == phaseLogging {
		j.parked = append(j.parked, it)
		return
	}
	if it.Key.Task == gangTask {
		c.placeGang(j, it)
		return
	}
	c.reserveNext(c.newAttempt(j, it, it.Key.Task))
}

// reserveNext asks the next holder to reserve resources for the attempt, or postpones
// the task if there is none.
func (c *Core) reserveNext(a *attempt) {
	if a.gang != nil {
		return
	}
	holder, preempt, ok := c.nextHolder(a)
	if !ok {
		c.postpone(a)
		return
	}
	a.holder = holder
	a.since = c.now
	a.phase = attemptReserving
	c.attempts.reserving[a.id] = a
	a.tried = append(a.tried, holder.Name)
	if p := c.members.peers[holder.Name]; p != nil {
		p.requested = p.requested.Add(a.job.spec.Resources)
	}
	c.sendReserve(holder, a.job, []api.AttemptID{a.id}, preempt)
}

func (c *Core) sendReserve(to api.EntryRef, j *job, ids []api.AttemptID, preempt bool) {
	c.counters.Reserves++
	c.send(to, message.Reserve{
		Attempts: ids,
		Spec:     c.taskSpec(j),
		TTLMS:    c.policy.timing.reservationTTL.Milliseconds(),
		Preempt:  preempt,
	})
}

func (c *Core) taskSpec(j *job) api.TaskSpec {
	return api.TaskSpec{
		Coordinator: c.cfg.Self,
		Workspace:   j.spec.Workspace,
		Class:       j.spec.Class,
		Kind:        j.spec.Kind,
		Idempotent:  j.spec.Idempotent,
		Resources:   j.spec.Resources,
		RunTimeMS:   j.spec.RunTimeMS,
	}
}

// nextHolder returns the holder to ask next: first this process, because its workers
// are near, then the best of a few sampled peers. If the task fits at none, it returns
// one more holder, which may preempt other tasks. ok is false if no holder is left.
func (c *Core) nextHolder(a *attempt) (holder api.EntryRef, preempt, ok bool) {
	if !slices.Contains(a.tried, c.cfg.Self.Name) && c.workers.heldCount > 0 {
		return c.cfg.Self, false, true
	}
	if p := c.samplePeer(a); p != nil {
		return p.ref, false, true
	}
	if a.preempted || !c.mayPreempt(a) {
		return api.EntryRef{}, false, false
	}
	a.preempted = true
	if c.workers.heldCount > 0 {
		return c.cfg.Self, true, true
	}
	if live := c.livePeers(); len(live) > 0 {
		return live[c.rng.IntN(len(live))].ref, true, true
	}
	return api.EntryRef{}, false, false
}

// mayPreempt reports whether a task may preempt others: some class is preemptible for
// it, and it has waited for preemptAfter, or for a quarter of the time between its
// submission and its deadline if that is less.
func (c *Core) mayPreempt(a *attempt) bool {
	wait := preemptAfter
	if !a.item.Deadline.IsZero() {
		wait = min(wait, a.item.Deadline.Sub(a.item.Submitted)/4)
	}
	return c.now.Sub(a.item.Submitted) >= wait && c.hasPreemptible(a.job.spec.Class)
}

// hasPreemptible reports whether some class is preemptible and less urgent than class.
func (c *Core) hasPreemptible(class string) bool {
	rank := c.policy.classes[class].Rank
	for _, other := range c.policy.classes {
		if other.Preemptible && other.Rank > rank {
			return true
		}
	}
	return false
}

// samplePeer returns the peer with the most free capacity among a few random ones that
// were not asked yet and at which the task fits by their summaries, or nil.
func (c *Core) samplePeer(a *attempt) *peerState {
	var best *peerState
	bestFree := -1.0
	live := c.livePeers()
	sampled := 0
	for _, i := range c.rng.Perm(len(live)) {
		p := live[i]
		if slices.Contains(a.tried, p.ref.Name) || !p.mayFit(a.job.spec) {
			continue
		}
		if free := p.free().DominantShare(p.summary.Capacity); free > bestFree {
			best, bestFree = p, free
		}
		sampled++
		if sampled == sampledPeers {
			break
		}
	}
	return best
}

// free returns the free resources of the peer's last summary less the reservations
// requested since then.
func (p *peerState) free() api.Resources { return p.summary.Free.Sub(p.requested) }

// mayFit reports whether a task fits at the peer by its last summary.
func (p *peerState) mayFit(spec api.Job) bool {
	if !spec.Resources.Fits(p.summary.Largest) || !spec.Resources.Fits(p.free()) {
		return false
	}
	byClass, ok := p.summary.FreeByClass[spec.Class]
	return !ok || spec.Resources.Fits(byClass)
}

// reserved handles a holder's response to Reserve.
func (c *Core) reserved(from api.EntryRef, m message.Reserved) {
	for _, p := range m.Placements {
		a := c.attempts.byID[p.Attempt]
		if a == nil || a.phase != attemptReserving || a.holder != from {
			c.send(from, message.Release{Attempts: []api.AttemptID{p.Attempt}})
			continue
		}
		delete(c.attempts.reserving, a.id)
		a.placement = p
		a.phase = attemptReserved
		if a.gang == nil {
			c.startReserved(a)
		}
	}
	for _, id := range m.Refused {
		a := c.attempts.byID[id]
		if a == nil || a.phase != attemptReserving || a.holder != from {
			continue
		}
		delete(c.attempts.reserving, a.id)
		a.phase = attemptUnplaced
		c.reserveNext(a)
	}
	c.continueGangs(from, m)
}

// timeOutReserving asks the next holder for attempts whose holder has not answered in
// time. This is safe because nothing runs yet: the old reservation is released or
// expires.
func (c *Core) timeOutReserving() {
	if c.policy == nil {
		return
	}
	for _, a := range sortedAttempts(c.attempts.reserving, anyAttempt) {
		if c.now.Sub(a.since) < c.policy.timing.reserveTimeout {
			continue
		}
		if c.attempts.reserving[a.id] == a {
			c.tryNextHolder(a)
		}
	}
}

// tryNextHolder releases the reservation requested from the present holder and asks the
// next one.
func (c *Core) tryNextHolder(a *attempt) {
	delete(c.attempts.reserving, a.id)
	a.phase = attemptUnplaced
	c.send(a.holder, message.Release{Attempts: []api.AttemptID{a.id}})
	if a.gang != nil {
		c.advanceGang(a.gang)
		return
	}
	c.reserveNext(a)
}

// postpone puts a task that fits nowhere back into the queue.
func (c *Core) postpone(a *attempt) {
	c.attempts.placementFailures++
	c.counters.NoRoom++
	c.attempts.remove(a)
	c.queue.Postpone(c.now, a.item, c.now.Add(c.jitter(postponeDelay)))
}

// expireQueue refuses tasks whose deadline has passed while they waited.
func (c *Core) expireQueue() {
	for _, it := range c.queue.Expire(c.now) {
		c.refuseWaiting(it, errTooLate())
	}
	c.expireParked()
}

// expireParked refuses requests whose deadline has passed while they waited for their
// claim to be read. The queue does not hold these.
func (c *Core) expireParked() {
	for _, id := range sortedKeys(c.jobs.logging) {
		j := c.jobs.logging[id]
		if j.spec.Kind.Logged() || j.deadline.IsZero() || j.deadline.After(c.now) {
			continue
		}
		j.parked = nil
		c.queue.Cancel(j.item(0, false).Key)
		c.refuseWaiting(j.item(0, false), errTooLate())
	}
}

// refuseRemoved refuses a task whose class or workspace was removed from the bundle.
func (c *Core) refuseRemoved(it queue.Item) {
	c.refuseWaiting(it, errClassRemoved(it.Class, it.Workspace))
}
