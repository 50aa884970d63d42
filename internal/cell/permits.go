package cell

import (
	"cmp"
	"fmt"
	"slices"
)

// permits is what the policy service said of a step. Which workers may run it
// does not change; each permit expires and can be renewed.
type permits struct {
	known   bool               // an answer has come
	askedAt Instant            // when all unasked workers were last looked for
	widenAt Instant            // when unasked workers with room are looked for next
	asked   map[string]bool    // workers that were asked for
	allowed map[string]*permit // by worker
	pending bool               // a call is under way or waits for a caller
	sentAt  Instant            // when the call was sent
	wanted  []string           // workers of the waiting call
}

type permit struct {
	ticket  string
	life    int64 // of the worker when the permit was given
	expires Instant
}

// permitMarginMS is the time before a permit's expiry at which it is no longer
// used, in ms: the way of the order to the worker.
const permitMarginMS = 60

func (p *permits) expire(workerID string) {
	if t := p.allowed[workerID]; t != nil {
		t.expires = 0
	}
}

// permitted reports whether the step may be started on the worker now.
func (s *step) permitted(w *worker, now Instant) bool {
	if s.job.Queue.Policy == nil {
		return true
	}
	p := s.permits.allowed[w.ID]
	return p != nil && p.life == w.life && now < p.expires-permitMarginMS
}

// ticket returns the permit to send with a start.
func (s *step) ticket(w *worker) string {
	if p := s.permits.allowed[w.ID]; p != nil {
		return p.ticket
	}
	return ""
}

// callers are the entry processes that may call the policy service, by name.
type callers map[string]*caller

type caller struct {
	calls      map[string]bool // under way, by step: true for a long call
	avoidUntil Instant         // after a call without an answer
}

// hasLong reports whether a long call is under way.
func (c *caller) hasLong() bool {
	for _, long := range c.calls {
		if long {
			return true
		}
	}
	return false
}

// callerPauseMS is how long an entry process that got no answer from the policy
// service is not used to call it, in ms.
const callerPauseMS = 1000

// SetCallers replaces the entry processes that may call the policy service. The
// service takes one call at a time from each of them.
func (s *Scheduler) SetCallers(names []string) {
	for name, c := range s.callers {
		if !slices.Contains(names, name) {
			for step := range c.calls {
				s.askFailed(step)
			}
			delete(s.callers, name)
		}
	}
	for _, name := range names {
		if s.callers[name] == nil {
			s.callers[name] = &caller{calls: map[string]bool{}}
		}
	}
}

// Permitted takes the answer of the policy service. Asked is when the call was
// sent; failed is set if there is no answer.
type Permitted struct {
	Caller     string
	Step       string
	Workers    []string // as asked
	Tickets    map[string]string
	ValidForMS int64
	Failed     bool
}

// Permitted takes the result of an AskPolicy.
func (s *Scheduler) Permitted(p Permitted) {
	if c := s.callers[p.Caller]; c != nil {
		delete(c.calls, p.Step)
		if p.Failed {
			c.avoidUntil = s.now + callerPauseMS
		}
	}
	st := s.stepByName(p.Step)
	if st == nil {
		return
	}
	st.permits.pending = false
	if p.Failed {
		st.permits.askedAt = 0
		s.act(Decision{Event: EventPermitsFailed, Failed: true, Job: st.job.ID, Task: p.Step, Worker: p.Caller, AgeMS: int64(s.now - st.permits.sentAt)})
		return
	}
	s.act(Decision{Event: EventPermitsGiven, Job: st.job.ID, Task: p.Step, Worker: p.Caller,
		Detail: fmt.Sprintf("%d/%d", len(p.Tickets), len(p.Workers)), AgeMS: int64(s.now - st.permits.sentAt)})
	if st.permits.allowed == nil {
		st.permits.allowed = map[string]*permit{}
		st.permits.asked = map[string]bool{}
	}
	s.learnShare(st, len(p.Tickets), len(p.Workers))
	st.permits.known = true
	st.searchAt = 0
	for _, id := range p.Workers {
		st.permits.asked[id] = true
	}
	for id, ticket := range p.Tickets {
		life := int64(0)
		if w := s.workers[id]; w != nil {
			life = w.life
		}
		st.permits.allowed[id] = &permit{ticket: ticket, life: life, expires: s.now + Instant(p.ValidForMS)}
	}
}

func (s *Scheduler) askFailed(name string) {
	if st := s.stepByName(name); st != nil {
		st.permits.pending = false
	}
}

func (s *Scheduler) stepByName(name string) *step {
	id, err := ParseTaskID(name + ".0")
	if err != nil {
		return nil
	}
	if t := s.task(id); t != nil {
		return t.step
	}
	return nil
}

// want asks for permits of a step on the given workers, as soon as an entry
// process is free to call.
func (s *Scheduler) want(st *step, workers []string) {
	if st.permits.pending || len(workers) == 0 {
		return
	}
	st.permits.pending = true
	st.permits.wanted = workers
	s.asks = append(s.asks, st)
}

// maxAskWorkers is the number of workers that the policy service takes in a call.
const maxAskWorkers = 100

// askPolicy hands waiting calls to free entry processes: those that can be on time
// first, and of these the shortest slack.
func (s *Scheduler) askPolicy() {
	if len(s.asks) == 0 {
		return
	}
	slices.SortStableFunc(s.asks, func(a, b *step) int {
		if d := cmp.Compare(a.lateness(s.now), b.lateness(s.now)); d != 0 {
			return d
		}
		return cmp.Compare(a.latest, b.latest)
	})
	kept := s.asks[:0]
	for _, st := range s.asks {
		if st.job.final != "" || st.complete() {
			st.permits.pending = false
			continue
		}
		long := st.isLongCall()
		name := s.freeCaller(long)
		if name == "" || long && s.longCalls() >= max(len(s.callers)*longShare/100, 1) {
			kept = append(kept, st)
			continue
		}
		workers := st.permits.wanted[:min(len(st.permits.wanted), maxAskWorkers)]
		s.callers[name].calls[st.name()] = long
		st.permits.sentAt = s.now
		s.act(AskPolicy{Caller: name, Step: st.name(), Workers: workers})
	}
	clear(s.asks[len(kept):])
	s.asks = kept
}

// Calls that take longCallMS or more may use at most longShare percent of the entry
// processes. Steps of urgent jobs, whose calls are short, would otherwise wait for
// them to end.
const (
	longCallMS = 300
	longShare  = 60
)

// isLong reports whether a call that names n workers takes long.
func (c *PolicyCost) isLong(n int) bool { return c != nil && c.Duration(n) >= longCallMS }

// isLongCall reports whether the step's waiting call takes long.
func (s *step) isLongCall() bool { return s.job.Queue.Policy.isLong(len(s.permits.wanted)) }

func (s *Scheduler) longCalls() int {
	n := 0
	for _, c := range s.callers {
		if c.hasLong() {
			n++
		}
	}
	return n
}

// maxShortCalls is how many short calls an entry process may have under way. The
// service takes them in turn, so that it need not wait for the way to the holder and
// back between two of them.
const maxShortCalls = 2

// freeCaller returns the entry process with the fewest calls that may make another
// one, the first by name of those, or an empty string.
func (s *Scheduler) freeCaller(long bool) string {
	best, fewest := "", maxShortCalls
	for name, c := range s.callers {
		n := len(c.calls)
		if s.now < c.avoidUntil || n > 0 && (long || c.hasLong()) {
			continue
		}
		if n < fewest || n == fewest && best != "" && name < best {
			best, fewest = name, n
		}
	}
	return best
}
