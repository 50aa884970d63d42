package core

import (
	"sort"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/queue"
)

// gangRetryDelay is the shortest delay before a gang that did not fit is tried again.
// Up to the same time is added at random, so that two gangs that block each other do
// not retry at the same time.
const gangRetryDelay = 500 * time.Millisecond

// gangPlacement is the search for workers for all tasks of a gang. It asks the holders
// one by one in name order, and the gang starts when every task has a reservation. If
// the gang does not fit, it releases all reservations before the next try.
type gangPlacement struct {
	job      *job
	item     queue.Item
	attempts []*attempt
	holders  []api.EntryRef // still to be asked
	asked    api.EntryRef   // asked last
}

func (c *Core) placeGang(j *job, it queue.Item) {
	g := &gangPlacement{job: j, item: it, holders: c.gangHolders()}
	for i := range j.tasks {
		if j.tasks[i].phase != taskWaiting {
			continue
		}
		a := c.newAttempt(j, it, i)
		a.gang = g
		a.phase = attemptUnplaced
		g.attempts = append(g.attempts, a)
	}
	c.advanceGang(g)
}

// gangHolders returns the holders in name order, which is the same for all gangs.
func (c *Core) gangHolders() []api.EntryRef {
	var refs []api.EntryRef
	if c.workers.heldCount > 0 {
		refs = append(refs, c.cfg.Self)
	}
	for _, p := range c.livePeers() {
		if p.summary.Held > 0 {
			refs = append(refs, p.ref)
		}
	}
	sort.Slice(refs, func(i, k int) bool { return refs[i].Name < refs[k].Name })
	return refs
}

// advanceGang continues a gang once all responses of the last holder have arrived: it
// starts the gang, asks the next holder for the missing reservations, or, if no
// holder is left, releases all reservations and postpones the gang.
func (c *Core) advanceGang(g *gangPlacement) {
	var missing []api.AttemptID
	for _, a := range g.attempts {
		if a.phase == attemptReserving {
			return
		}
		if a.phase == attemptUnplaced {
			missing = append(missing, a.id)
		}
	}
	switch {
	case len(missing) == 0:
		c.startGang(g)
	case len(g.holders) == 0:
		c.abandonGang(g)
		c.attempts.placementFailures++
		c.queue.Postpone(c.now, g.item, c.now.Add(c.jitter(2*gangRetryDelay)))
	default:
		c.reserveForGang(g, missing)
	}
}

func (c *Core) reserveForGang(g *gangPlacement, missing []api.AttemptID) {
	g.asked = g.holders[0]
	g.holders = g.holders[1:]
	for _, id := range missing {
		a := c.attempts.byID[id]
		a.phase = attemptReserving
		a.holder = g.asked
		a.since = c.now
		c.attempts.reserving[id] = a
	}
	c.sendReserve(g.asked, g.job, missing, false)
}

// continueGangs continues the gangs that a holder's answer belongs to.
func (c *Core) continueGangs(from api.EntryRef, m message.Reserved) {
	for _, id := range answeredAttempts(m) {
		a := c.attempts.byID[id]
		if a != nil && a.gang != nil && a.gang.asked == from {
			c.advanceGang(a.gang)
		}
	}
}

func answeredAttempts(m message.Reserved) []api.AttemptID {
	ids := append([]api.AttemptID(nil), m.Refused...)
	for _, p := range m.Placements {
		ids = append(ids, p.Attempt)
	}
	return ids
}

// startGang starts all attempts of a gang. From here on each attempt is charged by
// itself, so the queue's charge for the whole gang is removed.
func (c *Core) startGang(g *gangPlacement) {
	c.queue.Cancel(g.item.Key)
	for _, a := range g.attempts {
		a.gang = nil
		a.group = g.attempts
	}
	for _, a := range g.attempts {
		c.startReserved(a)
	}
}

// commitGang commits a gang once all of its start records were read. If one of the
// reservations may have expired in the meantime, it voids all attempts, and the whole
// gang is queued again.
func (c *Core) commitGang(group []*attempt) {
	canCommit := !group[0].job.cancelled
	for _, a := range group {
		if !a.logged || a.phase != attemptLogging {
			return
		}
		canCommit = canCommit && c.isUp(a.holder) && c.now.Sub(a.since) < c.policy.timing.reservationTTL*3/4
	}
	for _, a := range group {
		if canCommit {
			c.commit(a)
			continue
		}
		c.voidLogged(a, errStartLost())
	}
}

// requeueGangTask puts a task of a gang back into the queue: as part of the whole gang
// if no other task may run, otherwise by itself. It returns false while it is unknown
// whether the others run.
func (c *Core) requeueGangTask(j *job, it queue.Item) bool {
	anyRunning := false
	for i := range j.tasks {
		a := c.attempts.byTask[taskRef{j.spec.ID, i}]
		switch {
		case a == nil && j.tasks[i].phase != taskActive:
		case a != nil && (a.phase == attemptRunning || a.phase == attemptStranded):
			anyRunning = true
		default:
			return false
		}
	}
	if anyRunning {
		c.queue.Requeue(c.now, it)
		return true
	}
	for i := range j.tasks {
		c.queue.Cancel(j.item(i, true).Key)
	}
	c.queue.Requeue(c.now, j.item(gangTask, true))
	return true
}

// abandonGang drops all attempts of a gang that did not start and releases their
// reservations.
func (c *Core) abandonGang(g *gangPlacement) {
	for _, a := range g.attempts {
		c.abandonOne(a)
	}
}
