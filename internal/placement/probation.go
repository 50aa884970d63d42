package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// A worker is judged by a cumulative log-likelihood ratio over its outcomes:
// "fails halfway between its peers' rate and always" against "fails as often as
// its peers do with the same kind of work". A kind that fails everywhere has a
// peer rate near 1, so that its failures say almost nothing about the worker.
const (
	// evidenceLimit is about ln(10,000), so a healthy worker is suspected less
	// than once in 10,000 outcomes. With a peer rate of 3% four failures in a
	// row reach it.
	evidenceLimit = 9.2
	// recentOutcomes is the number of outcomes that a peer rate is taken from.
	// It is short, so that a kind that begins to fail everywhere is recognised
	// before many workers are suspected.
	recentOutcomes = 32
	// outcomesPerWorker bounds the entries of one worker among the recent
	// outcomes. A worker that fails at once takes far more tasks than its
	// peers and would otherwise pass for them.
	outcomesPerWorker = 2
	// pardonRate is the failure rate of a kind from which on it says nothing
	// against workers.
	pardonRate = 0.5
	// pardonOutcomes is the smallest number of outcomes for a pardon.
	pardonOutcomes = 8
	// probationSuccesses in a row end the probation.
	probationSuccesses = 3
	firstBackoff       = time.Second
	maxBackoff         = 5 * time.Minute
	// trialPatience is the time after which a trial task that still runs no
	// longer keeps the next one out; a long-running service would otherwise
	// keep a worker on probation for days.
	trialPatience = time.Minute
	// maxRemembered bounds the workers that keep their probation while they are
	// not held.
	maxRemembered = 1024
)

// health is a worker's standing.
type health struct {
	evidence  float64 // that it fails more than its peers, at least 0
	probation bool
	cause     *kind // whose failure began the probation
	backoff   time.Duration
	until     time.Time // no new work before
	successes int
	trial     *task // the one task placed on probation
	tried     bool  // a task was placed on probation since the last outcome
	trialEnd  time.Time
}

// remembered is the standing of a worker that is not held at present.
type remembered struct {
	health health
	boot   uint64
}

// outcome is the end of a task on a worker.
type outcome struct {
	worker string
	ok     bool
}

// RecordOutcome notes whether a task of the workspace and class succeeded on the
// worker. Failures count against the worker only as far as its peers do better
// with the same kind of work.
func (p *Pool) RecordOutcome(now time.Time, worker, class, workspace string, ok bool) {
	p.advance(now)
	w, held := p.workers[worker]
	if !held {
		return
	}
	k := p.kindOf(workspace, class)
	if w.health.probation {
		p.judgeTrial(w, k, ok)
		return
	}
	rate, _ := k.failureRate(w.Name)
	w.health.weigh(rate, ok)
	k.note(w.Name, ok)
	if w.health.evidence >= evidenceLimit && p.mayCondemn() {
		p.beginProbation(w, k)
	}
	p.pardon(k)
}

// weigh adds an outcome to the evidence.
func (h *health) weigh(rate float64, ok bool) {
	suspected := (1 + rate) / 2
	if ok {
		h.evidence += math.Log((1 - suspected) / (1 - rate))
	} else {
		h.evidence += math.Log(suspected / rate)
	}
	h.evidence = max(h.evidence, 0)
}

// failureRate estimates the rate on the peers of the worker and returns the number of
// outcomes behind it. Without any outcome the rate is one half.
func (k *kind) failureRate(worker string) (rate float64, outcomes int) {
	failures := 0
	for _, o := range k.outcomes {
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

// note adds an outcome to the recent ones. It replaces the worker's own oldest
// entry if it has its share, else the oldest of all.
func (k *kind) note(worker string, ok bool) {
	entry, own, ownOldest := outcome{worker: worker, ok: ok}, 0, -1
	for i := range k.outcomes {
		at := (k.oldest + i) % len(k.outcomes)
		if k.outcomes[at].worker == worker {
			own++
			if ownOldest < 0 {
				ownOldest = at
			}
		}
	}
	switch {
	case own >= outcomesPerWorker:
		k.outcomes[ownOldest] = entry
	case len(k.outcomes) < recentOutcomes:
		k.outcomes = append(k.outcomes, entry)
	default:
		k.outcomes[k.oldest] = entry
		k.oldest = (k.oldest + 1) % recentOutcomes
	}
}

// mayCondemn keeps at least half of the workers in normal use: when more than
// half seem to be bad, the workers are not the cause.
func (p *Pool) mayCondemn() bool { return p.probation < len(p.workers)/2 }

func (p *Pool) beginProbation(w *worker, k *kind) {
	w.health = health{probation: true, cause: k, backoff: firstBackoff, until: p.now.Add(firstBackoff)}
	k.condemned[w] = struct{}{}
	p.probation++
	p.touch(w)
}

func (p *Pool) endProbation(w *worker) {
	delete(w.health.cause.condemned, w)
	w.health = health{}
	p.probation--
	p.touch(w)
}

// failsEverywhere reports whether most recent outcomes on the peers of the
// worker are failures.
func (k *kind) failsEverywhere(worker string) bool {
	rate, outcomes := k.failureRate(worker)
	return rate >= pardonRate && outcomes >= pardonOutcomes
}

// judgeTrial counts an outcome of a worker on probation. Outcomes of tasks that
// were placed before the probation began say nothing new.
func (p *Pool) judgeTrial(w *worker, k *kind, ok bool) {
	h := &w.health
	if !h.tried {
		return
	}
	h.tried = false
	switch {
	case ok:
		h.successes++
		h.backoff = firstBackoff
		h.until = p.now
	case !k.failsEverywhere(w.Name):
		h.successes = 0
		h.backoff = min(2*h.backoff, maxBackoff)
		h.until = p.now.Add(h.backoff)
	}
	if h.successes >= probationSuccesses {
		p.endProbation(w)
	}
	p.touch(w)
}

// pardon ends the probation of workers that were suspected because of a kind
// that has turned out to fail everywhere.
func (p *Pool) pardon(k *kind) {
	if len(k.condemned) == 0 {
		return
	}
	if !k.failsEverywhere("") {
		return
	}
	for _, w := range k.condemnedInOrder() {
		p.endProbation(w)
	}
}

// condemnedInOrder lists the workers by age, so that equal calls give equal
// results.
func (k *kind) condemnedInOrder() []*worker {
	return slices.SortedFunc(maps.Keys(k.condemned), func(a, b *worker) int {
		return cmp.Compare(a.sequence, b.sequence)
	})
}

// takeTrial makes t the one task of a worker on probation.
func (h *health) takeTrial(t *task, now time.Time) {
	if h.probation {
		h.trial = t
		h.tried = true
		h.trialEnd = now.Add(trialPatience)
	}
}

// endTrial lets the next task onto a worker on probation.
func (h *health) endTrial(t *task) {
	if h.trial == t {
		h.trial = nil
	}
}

// blockedUntil is the time before which the worker takes no new work.
func (h *health) blockedUntil() time.Time {
	if h.trial != nil && h.trialEnd.After(h.until) {
		return h.trialEnd
	}
	return h.until
}

// rememberProbation keeps the standing of a worker that is removed, so that the
// loss of a lease is no way out of probation.
func (p *Pool) rememberProbation(w *worker) {
	if !w.health.probation {
		return
	}
	delete(w.health.cause.condemned, w)
	p.probation--
	if len(p.condemned) < maxRemembered {
		w.health.trial = nil
		p.condemned[w.Name] = remembered{health: w.health, boot: w.Boot}
	}
}

// recallProbation restores the standing of a worker that is added again. A new
// boot number starts afresh, since the restart may have cured the worker.
func (p *Pool) recallProbation(w *worker) {
	old, ok := p.condemned[w.Name]
	delete(p.condemned, w.Name)
	if !ok || old.boot != w.Boot {
		return
	}
	w.health = old.health
	w.health.cause.condemned[w] = struct{}{}
	p.probation++
}
