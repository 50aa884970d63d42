package core

import (
	"sort"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/queue"
)

// gangDelay is the pause before a gang without room is tried again. It is random,
// so that two gangs which keep each other out do not stay in step.
const gangDelay = 500 * time.Millisecond

// gang is a gang that looks for room for all of its tasks. It asks holder by
// holder in the order of their names, holds nothing while it waits for its next
// try, and starts only when every task has a reservation.
type gang struct {
	job      *job
	item     queue.Item
	attempts []*attempt
	holders  []api.EntryRef // still to be asked
	asked    api.EntryRef
}

func (c *Core) placeGang(j *job, it queue.Item) {
	g := &gang{job: j, item: it, holders: c.gangHolders()}
	for i := range j.tasks {
		if j.tasks[i].phase != taskWaiting {
			continue
		}
		a := c.newAttempt(j, it, i)
		a.gang = g
		a.phase = attemptRefused
		g.attempts = append(g.attempts, a)
	}
	c.gangStep(g)
}

// gangHolders returns the holders in the order in which all gangs ask them.
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

// gangStep goes on when no reservation of the gang is under way: it starts the
// gang, asks the next holder for the rest, or gives up for now.
func (c *Core) gangStep(g *gang) {
	var missing []api.AttemptID
	for _, a := range g.attempts {
		if a.phase == attemptReserving {
			return
		}
		if a.phase == attemptRefused {
			missing = append(missing, a.id)
		}
	}
	switch {
	case len(missing) == 0:
		c.startGang(g)
	case len(g.holders) == 0:
		c.abandonGang(g)
		c.attempts.failures++
		c.queue.Postpone(c.now, g.item, c.now.Add(c.jitter(2*gangDelay)))
	default:
		c.askForGang(g, missing)
	}
}

func (c *Core) askForGang(g *gang, missing []api.AttemptID) {
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

// continueGangs goes on with the gangs that the answer of a holder belongs to.
func (c *Core) continueGangs(from api.EntryRef, m message.Reserved) {
	for _, id := range answeredAttempts(m) {
		a := c.attempts.byID[id]
		if a != nil && a.gang != nil && a.gang.asked == from {
			c.gangStep(a.gang)
		}
	}
}

func answeredAttempts(m message.Reserved) []api.AttemptID {
	ids := append([]api.AttemptID(nil), m.Refused...)
	for _, place := range m.Places {
		ids = append(ids, place.Attempt)
	}
	return ids
}

// startGang commits all attempts. Each counts as use of its own from here, so the
// use that the queue charged for the whole gang is given back.
func (c *Core) startGang(g *gang) {
	c.queue.Cancel(g.item.Key)
	for _, a := range g.attempts {
		a.gang = nil
		a.group = g.attempts
	}
	for _, a := range g.attempts {
		c.proceed(a)
	}
}

// commitGang commits a gang once all of its start records were read. If one of the
// reservations may have expired meanwhile, none is committed and the whole gang
// looks for room again.
func (c *Core) commitGang(group []*attempt) {
	isWhole := !group[0].job.cancelled
	for _, a := range group {
		if !a.logged || a.phase != attemptLogging {
			return
		}
		isWhole = isWhole && c.isUp(a.holder) && c.now.Sub(a.since) < c.policy.timing.reservationTTL*3/4
	}
	for _, a := range group {
		if isWhole {
			c.commit(a)
			continue
		}
		c.voidLogged(a, errStartLost())
	}
}

// requeueGangTask puts a task of a gang back into the queue: with the whole gang
// while no other task may run, else by itself. It returns false while it cannot be
// told yet whether the others run.
func (c *Core) requeueGangTask(j *job, it queue.Item) bool {
	anyRuns := false
	for i := range j.tasks {
		a := c.attempts.byTask[taskRef{j.spec.ID, i}]
		switch {
		case a == nil && j.tasks[i].phase != taskActive:
		case a != nil && (a.phase == attemptRunning || a.phase == attemptStranded):
			anyRuns = true
		default:
			return false
		}
	}
	if anyRuns {
		c.queue.Requeue(c.now, it)
		return true
	}
	for i := range j.tasks {
		c.queue.Cancel(j.item(i, true).Key)
	}
	c.queue.Requeue(c.now, j.item(gangTask, true))
	return true
}

// abandonGang releases all reservations of a gang that could not be completed.
func (c *Core) abandonGang(g *gang) {
	for _, a := range g.attempts {
		c.abandonOne(a)
	}
}
