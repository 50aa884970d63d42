package cell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Which workers to ask the policy service for. A call takes longer for each worker
// that it names and holds an entry process meanwhile, so that under load the calls
// decide how soon steps start.

// renew asks for permits of a step that lacks room: for workers that it has not
// asked for, or else for those that have room and only lack a valid permit.
func (s *Scheduler) renew(st *step, roomWithoutPermit bool) {
	if st.job.Queue.Policy == nil || st.permits.pending {
		return
	}
	switch {
	case !st.permits.known:
		s.want(st, s.firstAsk(st))
	case s.unaskedSince > st.permits.askedAt && s.needsMore(st) && s.askMore(st):
	case s.mayRenew(st) && roomWithoutPermit:
		s.want(st, s.roomyWorkers(st))
	case s.mayRenew(st) && !st.def.Gang && len(st.permits.asked) < maxAskWorkers && s.now >= st.permits.widenAt:
		st.permits.widenAt = s.now + widenIntervalMS
		s.want(st, s.unaskedWithRoom(st))
	}
}

// mayRenew reports whether a call that renews permits of the step may wait for a caller.
// Steps come in the order in which they are placed, so that the first ones renew; the
// room that others see is gone by the time of their turn. Long calls wait for their share
// of the callers and must not keep short ones from using the rest.
func (s *Scheduler) mayRenew(st *step) bool {
	long := st.job.Queue.Policy.isLong(len(st.tasks))
	waiting := 0
	for _, other := range s.asks {
		if other.isLongCall() == long {
			waiting++
		}
	}
	return waiting <= len(s.callers)/renewShare
}

// renewShare is the number of callers for each waiting call of a length from which on no
// permits are renewed.
const renewShare = 4

// widenIntervalMS is the pause between two looks for workers with room that a step
// has not asked for, in ms. Each look visits all workers.
const widenIntervalMS = 100

// askMore asks for workers that the step has not asked for, and reports whether there
// are any.
func (s *Scheduler) askMore(st *step) bool {
	found := s.unaskedWorkers(st, 0)
	if len(found) <= maxAskWorkers {
		st.permits.askedAt = s.now
	}
	s.want(st, workerIDs(found))
	return len(found) > 0
}

// A step names so many workers in its first call that those that are allowed probably
// have room for the given number of times its tasks, and minAsk at least. More can be
// asked for when all of these are taken.
const (
	taskRoomFactor = 3
	minAsk         = 12
)

// firstAsk returns the workers of the first call for a step. A wide gang asks for as
// many as it may: the more workers it may choose from, the sooner they have room for
// all of it at one time.
func (s *Scheduler) firstAsk(st *step) []string {
	found := s.unaskedWorkers(st, 0)
	if st.gangWidth() > 0 {
		return workerIDs(found)
	}
	need := float64(taskRoomFactor*len(st.tasks)) / s.allowedShare(st)
	room, n := 0, 0
	for n < len(found) && (float64(room) < need || n < minAsk) {
		room += found[n].copies
		n++
	}
	return workerIDs(found[:n])
}

// shares is the share of workers that the policy service allows, by queue.
type shares map[string]float64

const (
	// unknownShare is taken for the share before the first answer.
	unknownShare = 0.3
	// leastShare bounds the share, so that it does not make a step ask for all workers.
	leastShare = 0.05
	// shareWeight is the weight of a new answer against the earlier ones.
	shareWeight = 0.1
)

// allowedShare returns the share of workers that a step is probably allowed.
func (s *Scheduler) allowedShare(st *step) float64 {
	return max(cmp.Or(s.shares[st.job.Queue.Name], unknownShare), leastShare)
}

// learnShare notes how many of the asked workers were allowed.
func (s *Scheduler) learnShare(st *step, allowed, asked int) {
	if asked > 0 {
		old := s.allowedShare(st)
		s.shares[st.job.Queue.Name] = old + shareWeight*(float64(allowed)/float64(asked)-old)
	}
}

// unaskedWithRoom returns the workers with room for the step that it has not asked
// for, as many as its first call names at least.
func (s *Scheduler) unaskedWithRoom(st *step) []string {
	found := s.unaskedWorkers(st, 1)
	return workerIDs(found[:min(len(found), max(minAsk, len(st.tasks)))])
}

// spareAsked is how many workers more than it has tasks a step asks to renew its
// permits for: others may take the room meanwhile.
const spareAsked = 6

// roomyWorkers returns allowed workers with room for the step, as many as it may use.
func (s *Scheduler) roomyWorkers(st *step) []string {
	var ids []string
	s.eachAllowed(st, func(w *worker) {
		if s.suits(st, w) && !st.avoids(w) && s.copies(st, w) > 0 {
			ids = append(ids, w.ID)
		}
	})
	slices.Sort(ids)
	return ids[:min(len(ids), len(st.tasks)-st.done+spareAsked)]
}

// enoughAllowed is the number of allowed workers from which on a step waits for
// room on them rather than ask for more.
const enoughAllowed = 8

// gangChoice is how many times more room than it needs a gang should be allowed, so
// that it does not wait for all of it to be free, and idleGangChoice the same while
// most callers are idle.
const (
	gangChoice     = 2
	idleGangChoice = 6
)

// hasIdleCallers reports whether most callers of the policy service are idle.
func (s *Scheduler) hasIdleCallers() bool {
	idle := 0
	for _, c := range s.callers {
		if len(c.calls) == 0 {
			idle++
		}
	}
	return 2*idle > len(s.callers)
}

// needsMore reports whether the workers that are allowed are too few for the step,
// however empty they were.
func (s *Scheduler) needsMore(st *step) bool {
	if !st.def.Gang {
		return len(st.permits.allowed) < enoughAllowed
	}
	choice, room := gangChoice, 0
	if s.hasIdleCallers() {
		choice = idleGangChoice
	}
	for id := range st.permits.allowed {
		if w := s.workers[id]; w != nil && s.suits(st, w) {
			room += w.Capacity.Copies(st.demand, len(st.tasks))
		}
	}
	return room < choice*len(st.tasks)
}

// unasked is a worker that a step has not asked for.
type unasked struct {
	id     string
	copies int    // tasks that it could take now
	mix    uint64 // orders workers differently for each step
}

func workerIDs(found []unasked) []string {
	ids := make([]string, len(found))
	for i, u := range found {
		ids[i] = u.id
	}
	return ids
}

// mixFactor spreads the difference of two hashes over all bits: the fractional part of
// the golden ratio, as in Fibonacci hashing.
const mixFactor = 0x9e3779b97f4a7c15

// unaskedWorkers returns workers that the policy service was not asked for yet and
// that could take minCopies tasks now: those with the most room first, in an order
// that differs by step otherwise.
func (s *Scheduler) unaskedWorkers(st *step, minCopies int) []unasked {
	var found []unasked
	seed := xxhash.Sum64String(st.name())
	for id, w := range s.workers {
		if !st.permits.asked[id] && w.Service == st.job.Queue.Service && w.listed && !w.Draining &&
			w.hasLabel(st.def.Label) && w.Capacity.Fits(st.demand) {
			copies := w.free().Copies(st.demand, len(st.tasks))
			if copies >= minCopies {
				found = append(found, unasked{id, copies, (w.mix ^ seed) * mixFactor})
			}
		}
	}
	slices.SortFunc(found, func(a, b unasked) int {
		return cmp.Or(cmp.Compare(b.copies, a.copies), cmp.Compare(a.mix, b.mix))
	})
	return found
}
