package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Bad workers are detected by a sequential test (CUSUM) over the outcomes of their
// tasks: a cumulative log-likelihood ratio of the hypothesis that the failure rate of
// the worker is halfway between that of other workers and 1, against the hypothesis
// that it equals the rate of other workers with the same workload. A workload that
// fails everywhere has a rate near 1, so its failures add almost no evidence.
const (
	// evidenceLimit is about ln(10,000), so a healthy worker exceeds it less than
	// once in 10,000 outcomes. If other workers fail at a rate of 3%, four failures
	// in a row reach it.
	evidenceLimit = 9.2
	// recentOutcomes is the number of outcomes of a workload from which its failure
	// rate is estimated. It is small, so that a workload that begins to fail
	// everywhere is recognised before many workers are put on probation.
	recentOutcomes = 32
	// outcomesPerWorker limits the entries of one worker among the recent
	// outcomes. A worker whose tasks fail immediately gets far more tasks than
	// others and would otherwise dominate the rate.
	outcomesPerWorker = 2
	// commonFailureRate is the failure rate from which on a workload is considered
	// to fail everywhere, which is no evidence against a worker.
	commonFailureRate = 0.5
	// commonFailureOutcomes is the least number of outcomes for that conclusion.
	commonFailureOutcomes = 8
	// probationSuccesses is the number of successes in a row that end a probation.
	probationSuccesses = 3
	// firstBackoff and maxBackoff limit the delay before a trial task, which
	// doubles with each trial task that fails.
	firstBackoff = time.Second
	maxBackoff   = 5 * time.Minute
	// trialTimeout is the time after which another task may be placed although the
	// trial task still runs. Otherwise a long-running service would keep a worker on
	// probation for days.
	trialTimeout = time.Minute
	// maxSavedHealth limits the number of workers whose probation is kept while they
	// are not held.
	maxSavedHealth = 1024
)

// health is the failure history and probation state of a worker.
type health struct {
	evidence    float64 // log-likelihood ratio that the worker is bad, at least 0
	probation   bool
	cause       *workload // its failure began the probation
	backoff     time.Duration
	backoffEnd  time.Time // no new work before
	successes   int       // in a row, during probation
	trial       *task     // the only task placed during probation
	trialPlaced bool      // since the last outcome during probation
	trialEnd    time.Time // end of trialTimeout
}

// savedHealth is the health of a worker on probation that is not held.
type savedHealth struct {
	health health
	boot   uint64
}

// outcome is the success or failure of a task on a worker.
type outcome struct {
	worker string
	ok     bool
}

// RecordOutcome records whether a task of the workspace and class succeeded on the
// worker, and may begin or end a probation. Failures count against the worker only as
// far as other workers do better with the same workload.
func (p *Pool) RecordOutcome(now time.Time, worker, class, workspace string, ok bool) {
	p.advance(now)
	w, held := p.workers[worker]
	if !held {
		return
	}
	wl := p.workloadOf(workspace, class)
	if w.health.probation {
		p.recordTrialOutcome(w, wl, ok)
		return
	}
	rate, _ := wl.failureRate(w.Name)
	w.health.addEvidence(rate, ok)
	wl.addOutcome(w.Name, ok)
	if w.health.evidence >= evidenceLimit && p.mayBeginProbation() {
		p.beginProbation(w, wl)
	}
	p.endUnjustifiedProbations(wl)
}

// addEvidence updates the evidence by an outcome, given the failure rate of other
// workers.
func (h *health) addEvidence(rate float64, ok bool) {
	badRate := (1 + rate) / 2
	if ok {
		h.evidence += math.Log((1 - badRate) / (1 - rate))
	} else {
		h.evidence += math.Log(badRate / rate)
	}
	h.evidence = max(h.evidence, 0)
}

// failureRate returns the estimated failure rate on all workers but the given one,
// and the number of outcomes that it is based on. Without outcomes the rate is 0.5.
func (wl *workload) failureRate(worker string) (rate float64, outcomes int) {
	failures := 0
	for _, o := range wl.outcomes {
		if o.worker == worker {
			continue
		}
		outcomes++
		if !o.ok {
			failures++
		}
	}
	return float64(failures+1) / float64(outcomes+2), outcomes
}

// addOutcome adds an outcome to the recent ones. It replaces the worker's oldest
// entry if the worker already has outcomesPerWorker, else the oldest of all if the
// list is full.
func (wl *workload) addOutcome(worker string, ok bool) {
	entry, own, ownOldest := outcome{worker: worker, ok: ok}, 0, -1
	for i := range wl.outcomes {
		at := (wl.oldest + i) % len(wl.outcomes)
		if wl.outcomes[at].worker == worker {
			own++
			if ownOldest < 0 {
				ownOldest = at
			}
		}
	}
	switch {
	case own >= outcomesPerWorker:
		wl.outcomes[ownOldest] = entry
	case len(wl.outcomes) < recentOutcomes:
		wl.outcomes = append(wl.outcomes, entry)
	default:
		wl.outcomes[wl.oldest] = entry
		wl.oldest = (wl.oldest + 1) % recentOutcomes
	}
}

// mayBeginProbation reports whether another probation leaves at least half of the
// workers in normal use. If more than half seem to be bad, the workers are not the
// cause.
func (p *Pool) mayBeginProbation() bool { return p.probation < len(p.workers)/2 }

func (p *Pool) beginProbation(w *worker, wl *workload) {
	w.health = health{probation: true, cause: wl, backoff: firstBackoff, backoffEnd: p.now.Add(firstBackoff)}
	wl.probations[w] = struct{}{}
	p.probation++
	p.markDirty(w)
}

func (p *Pool) endProbation(w *worker) {
	delete(w.health.cause.probations, w)
	w.health = health{}
	p.probation--
	p.markDirty(w)
}

// failsEverywhere reports whether most recent outcomes on all workers but the given
// one are failures.
func (wl *workload) failsEverywhere(worker string) bool {
	rate, outcomes := wl.failureRate(worker)
	return rate >= commonFailureRate && outcomes >= commonFailureOutcomes
}

// recordTrialOutcome records an outcome of a worker on probation. It ignores outcomes
// while no trial task has been placed, because those tasks were placed before the
// probation began.
func (p *Pool) recordTrialOutcome(w *worker, wl *workload, ok bool) {
	h := &w.health
	if !h.trialPlaced {
		return
	}
	h.trialPlaced = false
	switch {
	case ok:
		h.successes++
		h.backoff = firstBackoff
		h.backoffEnd = p.now
	case !wl.failsEverywhere(w.Name):
		h.successes = 0
		h.backoff = min(2*h.backoff, maxBackoff)
		h.backoffEnd = p.now.Add(h.backoff)
	}
	if h.successes >= probationSuccesses {
		p.endProbation(w)
	}
	p.markDirty(w)
}

// endUnjustifiedProbations ends the probations that began because of the workload if
// it has turned out to fail everywhere.
func (p *Pool) endUnjustifiedProbations(wl *workload) {
	if len(wl.probations) == 0 {
		return
	}
	if !wl.failsEverywhere("") {
		return
	}
	for _, w := range wl.probationsInOrder() {
		p.endProbation(w)
	}
}

// probationsInOrder returns the workers in order of addition, so that results do not
// depend on map iteration order.
func (wl *workload) probationsInOrder() []*worker {
	return slices.SortedFunc(maps.Keys(wl.probations), func(a, b *worker) int {
		return cmp.Compare(a.sequence, b.sequence)
	})
}

// startTrial makes t the trial task if the worker is on probation.
func (h *health) startTrial(t *task, now time.Time) {
	if h.probation {
		h.trial = t
		h.trialPlaced = true
		h.trialEnd = now.Add(trialTimeout)
	}
}

// endTrial allows the next trial task if t was the current one.
func (h *health) endTrial(t *task) {
	if h.trial == t {
		h.trial = nil
	}
}

// blockedUntil returns the time before which the worker accepts no new work because of
// probation.
func (h *health) blockedUntil() time.Time {
	if h.trial != nil && h.trialEnd.After(h.backoffEnd) {
		return h.trialEnd
	}
	return h.backoffEnd
}

// saveProbation keeps the health of a worker on probation that is removed, so that
// the loss of a lease does not end the probation.
func (p *Pool) saveProbation(w *worker) {
	if !w.health.probation {
		return
	}
	delete(w.health.cause.probations, w)
	p.probation--
	if len(p.saved) < maxSavedHealth {
		w.health.trial = nil
		p.saved[w.Name] = savedHealth{health: w.health, boot: w.Boot}
	}
}

// restoreProbation restores the health of a worker that is added again. If its boot
// number has changed, the probation is dropped, because the restart may have fixed
// the worker.
func (p *Pool) restoreProbation(w *worker) {
	old, ok := p.saved[w.Name]
	delete(p.saved, w.Name)
	if !ok || old.boot != w.Boot {
		return
	}
	w.health = old.health
	w.health.cause.probations[w] = struct{}{}
	p.probation++
}
