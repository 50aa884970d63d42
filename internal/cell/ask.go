package cell

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// This file selects the workers to name in a call to the policy service. The duration
// of a call grows with the number of workers, and the call occupies an entry process
// for that time. Under load, calls therefore determine how soon steps start.

// requestMorePermits requests permits for a step that found too little capacity. It
// asks about workers that the step has not asked about yet, or else renews expired
// permits of workers with enough free capacity.
func (s *Scheduler) requestMorePermits(st *step, fitsWithoutPermit bool) {
	if st.job.Queue.Policy == nil || st.permits.pending() || s.now < st.permits.notBefore {
		return
	}
	switch {
	case !st.permits.answered:
		s.requestPermits(st, s.initialWorkers(st))
	case st.permits.allAskedIn != s.workersVersion && s.needsMoreWorkers(st) && s.requestUnasked(st):
	case s.mayRenew(st) && fitsWithoutPermit:
		s.requestPermits(st, s.workersToRenew(st))
	case s.mayRenew(st) && !st.def.Gang && s.now >= st.permits.nextWiden && s.countSuitable(st, maps.Keys(st.permits.asked)) < maxAskedWorkers:
		st.permits.nextWiden = s.now + widenIntervalMS
		s.requestPermits(st, s.unaskedWithCapacity(st))
	}
}

// awaitsFirstPermits reports whether the step needs permits and no call for it has been
// answered, so that it cannot be placed.
func (s *step) awaitsFirstPermits() bool {
	return s.job.Queue.Policy != nil && !s.permits.answered && (!s.def.Gang || !s.hasAttempts())
}

// requestFirstPermits requests the first permits of a step that may be placed. Late steps
// join the call queue only while it is short: selecting workers for thousands of them in
// one pass would delay the calls that callers could make meanwhile.
func (s *Scheduler) requestFirstPermits(st *step) {
	if st.lateness(s.now) == onTime || s.queuedCalls[false]+s.queuedCalls[true] < maxLateCallsPerCaller*len(s.callers) {
		s.requestMorePermits(st, false)
	}
}

// maxLateCallsPerCaller is the number of calls waiting per caller up to which late steps
// may add their first calls. One pass can pass that many calls to each caller.
const maxLateCallsPerCaller = maxShortCalls

// requestAhead requests the first permits of a step while the record of its job is being
// stored. Both take about the same time, which urgent jobs would notice twice. A step that the
// limit of its workspace would hold asks later.
func (s *Scheduler) requestAhead(st *step) {
	if st.job.acceptSeq > s.stored && st.job.final == "" && !st.permits.answered && !s.isAtLimit(st.job.use) {
		s.requestMorePermits(st, false)
	}
}

// mayRenew reports whether a renewal call for the step may join the call queue. Steps
// call it in placement order, so the first steps renew; the free capacity that the later
// ones see will be taken by then. Long and short calls are counted separately, because
// long calls wait for their share of the callers and must not keep short ones from using
// the rest.
func (s *Scheduler) mayRenew(st *step) bool {
	return s.queuedCalls[st.job.Queue.Policy.isLong(len(st.tasks))] <= len(s.callers)/callersPerRenewal
}

// callersPerRenewal limits renewals: permits are renewed only while at most one call
// waits per callersPerRenewal callers. Long and short calls are counted separately.
const callersPerRenewal = 4

// widenIntervalMS is the interval in ms at which a step searches for workers with free
// capacity that it has not asked about. Each search visits all workers.
const widenIntervalMS = 100

// requestUnasked requests permits for workers that the step has not asked about, and
// reports whether there are any.
func (s *Scheduler) requestUnasked(st *step) bool {
	found := s.unaskedWorkers(st, 0)
	if len(found) == 0 {
		st.permits.allAskedIn = s.workersVersion
		return false
	}
	s.requestPermits(st, workerIDs(found))
	return true
}

// The first call for a step names enough workers that the ones expected to be allowed
// fit taskCapacityFactor times its tasks, and at least minInitialWorkers. The step can
// ask about more workers when these are full.
const (
	taskCapacityFactor = 3
	minInitialWorkers  = 12
)

// initialWorkers returns the workers to name in the first call for a step. A wide gang
// names as many as possible: with more workers to choose from, all of its tasks fit at
// one time sooner.
func (s *Scheduler) initialWorkers(st *step) []string {
	found := s.unaskedWorkers(st, 0)
	if st.wideGangRank() > 0 {
		return workerIDs(found)
	}
	need := float64(taskCapacityFactor*len(st.tasks)) / s.allowedShare(st)
	fits, n := 0, 0
	for n < len(found) && (float64(fits) < need || n < minInitialWorkers) {
		fits += found[n].fits
		n++
	}
	return workerIDs(found[:n])
}

// allowedShares maps a queue to the fraction of workers that the policy service allows.
type allowedShares map[string]float64

const (
	// initialShare is the assumed fraction before the first answer.
	initialShare = 0.3
	// minShare is a lower bound that keeps a step from asking about all workers.
	minShare = 0.05
	// shareWeight is the weight of a new answer in the moving average.
	shareWeight = 0.1
)

// allowedShare estimates the fraction of workers that the step is allowed to use.
func (s *Scheduler) allowedShare(st *step) float64 {
	return max(cmp.Or(s.allowedShares[st.job.Queue.Name], initialShare), minShare)
}

// updateAllowedShare updates the estimate with the response to one call.
func (s *Scheduler) updateAllowedShare(st *step, allowed, asked int) {
	if asked > 0 {
		old := s.allowedShare(st)
		s.allowedShares[st.job.Queue.Name] = old + shareWeight*(float64(allowed)/float64(asked)-old)
	}
}

// unaskedWithCapacity returns workers with free capacity for the step that it has not
// asked about: at most one per task, or minInitialWorkers if that is more.
func (s *Scheduler) unaskedWithCapacity(st *step) []string {
	found := s.unaskedWorkers(st, 1)
	return workerIDs(found[:min(len(found), max(minInitialWorkers, len(st.tasks)))])
}

// spareWorkers is how many workers beyond one per task are named in a renewal, because
// other steps may take capacity in the meantime.
const spareWorkers = 6

// workersToRenew returns allowed workers with free capacity for the step: one per
// unfinished task plus spareWorkers at most.
func (s *Scheduler) workersToRenew(st *step) []string {
	var ids []string
	avoided := s.avoided(st)
	s.eachAllowed(st, func(w *worker) {
		if s.isEligible(st, w) && !slices.Contains(avoided, w.ID) && s.fitCount(st, w) > 0 {
			ids = append(ids, w.ID)
		}
	})
	slices.Sort(ids)
	return ids[:min(len(ids), len(st.tasks)-st.done+spareWorkers)]
}

// minAllowedWorkers is the number of allowed workers at which a step stops asking about
// more and waits for these to free up.
const minAllowedWorkers = 8

// A gang asks about more workers until the allowed ones, if empty, would fit
// gangCapacityFactor times its tasks, so that it need not wait for all of them to be
// free. While most callers are idle, the factor is idleGangCapacityFactor.
const (
	gangCapacityFactor     = 2
	idleGangCapacityFactor = 6
)

// mostCallersIdle reports whether more than half of the callers have no call in flight.
func (s *Scheduler) mostCallersIdle() bool {
	idle := 0
	for _, c := range s.callers {
		if len(c.calls) == 0 {
			idle++
		}
	}
	return 2*idle > len(s.callers)
}

// needsMoreWorkers reports whether the allowed workers are too few for the step even if
// they were empty.
func (s *Scheduler) needsMoreWorkers(st *step) bool {
	if !st.def.Gang {
		return s.countSuitable(st, maps.Keys(st.permits.allowed)) < minAllowedWorkers
	}
	factor, fits := gangCapacityFactor, 0
	if s.mostCallersIdle() {
		factor = idleGangCapacityFactor
	}
	for id := range st.permits.allowed {
		if w := s.workers[id]; w != nil && s.isEligible(st, w) {
			fits += w.Capacity.FitCount(st.demand, len(st.tasks))
		}
	}
	return fits < factor*len(st.tasks)
}

// countSuitable returns how many of the workers suit the step at present.
func (s *Scheduler) countSuitable(st *step, ids iter.Seq[string]) int {
	n := 0
	for id := range ids {
		if w := s.workers[id]; w != nil && st.suits(w) {
			n++
		}
	}
	return n
}

// maxAskedWorkers is the number of workers up to which a step that is no gang asks about more
// while the allowed ones have no free capacity.
const maxAskedWorkers = maxCallWorkers

// suits reports whether the step may ask about the worker: it is registered, does not drain
// and could run a task of the step if it were empty.
func (s *step) suits(w *worker) bool {
	return w.registered && !w.Draining && w.Service == s.job.Queue.Service && w.hasLabel(s.def.Label) && w.Capacity.Covers(s.demand)
}

// unaskedWorker is a worker that a step has not asked about.
type unaskedWorker struct {
	id    string
	fits  int    // number of tasks that fit now
	order uint64 // sort key that differs by step
}

func workerIDs(found []unaskedWorker) []string {
	ids := make([]string, len(found))
	for i, u := range found {
		ids[i] = u.id
	}
	return ids
}

// fibonacciMultiplier spreads the XOR of two hashes over all bits. It is 2^64 divided
// by the golden ratio, as in Fibonacci hashing.
const fibonacciMultiplier = 0x9e3779b97f4a7c15

// unaskedWorkers returns suitable workers that the step has not asked about and on
// which at least minFits of its tasks fit now. Workers that fit more tasks come first;
// ties are in a pseudo-random order that differs by step.
func (s *Scheduler) unaskedWorkers(st *step, minFits int) []unaskedWorker {
	var found []unaskedWorker
	seed := xxhash.Sum64String(st.name())
	for id, w := range s.workers {
		if st.suits(w) && !st.permits.hasAnswer(w) {
			fits := w.free().FitCount(st.demand, len(st.tasks))
			if fits >= minFits {
				found = append(found, unaskedWorker{id, fits, (w.idHash ^ seed) * fibonacciMultiplier})
			}
		}
	}
	slices.SortFunc(found, func(a, b unaskedWorker) int {
		return cmp.Or(cmp.Compare(b.fits, a.fits), cmp.Compare(a.order, b.order))
	})
	return found
}
