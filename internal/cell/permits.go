package cell

import (
	"cmp"
	"fmt"
	"slices"
)

// permits is what the policy service has answered for a step. The set of workers that
// may run the step does not change; each permit expires and can be renewed.
type permits struct {
	answered    bool               // at least one call was answered
	allAskedAt  Instant            // when the step last asked about all workers known at that time
	nextWiden   Instant            // when the step may next search for unasked workers with free capacity
	asked       map[string]bool    // workers named in answered calls
	allowed     map[string]*permit // by worker ID
	pending     bool               // a call is in flight or waits for a caller
	sentAt      Instant            // when the call was sent
	callWorkers []string           // workers of the waiting call
}

type permit struct {
	ticket      string
	incarnation int64 // of the worker when the permit was issued
	expires     Instant
}

// permitMarginMS is the time before its expiry at which a permit is no longer used, in
// ms. It covers the transfer of the start order to the worker.
const permitMarginMS = 60

// expire marks the permit for a worker as expired.
func (p *permits) expire(workerID string) {
	if t := p.allowed[workerID]; t != nil {
		t.expires = 0
	}
}

// permitted reports whether the step may be started on the worker at the given time.
func (s *step) permitted(w *worker, now Instant) bool {
	if s.job.Queue.Policy == nil {
		return true
	}
	p := s.permits.allowed[w.ID]
	return p != nil && p.incarnation == w.incarnation && now < p.expires-permitMarginMS
}

// ticket returns the permit's ticket for the worker, which is sent with a start order.
func (s *step) ticket(w *worker) string {
	if p := s.permits.allowed[w.ID]; p != nil {
		return p.ticket
	}
	return ""
}

// callers are the entry processes that may call the policy service, by name.
type callers map[string]*caller

type caller struct {
	calls      map[string]bool // calls in flight by step name; true for a long call
	avoidUntil Instant         // set after a call without a response
}

// hasLongCall reports whether a long call is in flight.
func (c *caller) hasLongCall() bool {
	for _, long := range c.calls {
		if long {
			return true
		}
	}
	return false
}

// callerPauseMS is how long an entry process is not used as a caller after a call
// without a response, in ms.
const callerPauseMS = 1000

// SetCallers replaces the entry processes that may call the policy service. The service
// processes one call at a time from each of them.
func (s *Scheduler) SetCallers(names []string) {
	for name, c := range s.callers {
		if !slices.Contains(names, name) {
			for step := range c.calls {
				s.clearPendingCall(step)
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

// PermitResult is the result of a RequestPermits action. Failed is set if the policy
// service did not answer.
type PermitResult struct {
	Caller     string
	Step       string
	Workers    []string // workers named in the call
	Tickets    map[string]string
	ValidForMS int64
	Failed     bool
}

// PermitsReceived processes the result of a RequestPermits action.
func (s *Scheduler) PermitsReceived(p PermitResult) {
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
		st.permits.allAskedAt = 0
		s.emit(LogEvent{Event: EventPermitsFailed, Failed: true, Job: st.job.ID, Task: p.Step, Worker: p.Caller, AgeMS: int64(s.now - st.permits.sentAt)})
		return
	}
	s.emit(LogEvent{Event: EventPermitsGiven, Job: st.job.ID, Task: p.Step, Worker: p.Caller,
		Detail: fmt.Sprintf("%d/%d", len(p.Tickets), len(p.Workers)), AgeMS: int64(s.now - st.permits.sentAt)})
	if st.permits.allowed == nil {
		st.permits.allowed = map[string]*permit{}
		st.permits.asked = map[string]bool{}
	}
	s.updateAllowedShare(st, len(p.Tickets), len(p.Workers))
	st.permits.answered = true
	st.nextSearch = 0
	for _, id := range p.Workers {
		st.permits.asked[id] = true
	}
	for id, ticket := range p.Tickets {
		incarnation := int64(0)
		if w := s.workers[id]; w != nil {
			incarnation = w.incarnation
		}
		st.permits.allowed[id] = &permit{ticket: ticket, incarnation: incarnation, expires: s.now + Instant(p.ValidForMS)}
	}
}

// clearPendingCall lets a step request permits again after the caller of its pending
// call has left.
func (s *Scheduler) clearPendingCall(name string) {
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

// requestPermits queues a call for permits on the given workers, unless the step
// already has a call queued or in flight.
func (s *Scheduler) requestPermits(st *step, workers []string) {
	if st.permits.pending || len(workers) == 0 {
		return
	}
	st.permits.pending = true
	st.permits.callWorkers = workers
	s.callQueue = append(s.callQueue, st)
}

// maxCallWorkers is the maximum number of workers that the policy service accepts in
// one call.
const maxCallWorkers = 100

// dispatchCalls passes queued calls to free callers: those for steps that can still be
// on time first, then by latest start.
func (s *Scheduler) dispatchCalls() {
	if len(s.callQueue) == 0 {
		return
	}
	slices.SortStableFunc(s.callQueue, func(a, b *step) int {
		if d := cmp.Compare(a.lateness(s.now), b.lateness(s.now)); d != 0 {
			return d
		}
		return cmp.Compare(a.latestStart, b.latestStart)
	})
	kept := s.callQueue[:0]
	for _, st := range s.callQueue {
		if st.job.final != "" || st.complete() {
			st.permits.pending = false
			continue
		}
		long := st.isLongCall()
		name := s.freeCaller(long)
		if name == "" || long && s.longCalls() >= max(len(s.callers)*longCallPercent/100, 1) {
			kept = append(kept, st)
			continue
		}
		s.callers[name].calls[st.name()] = long
		st.permits.sentAt = s.now
		s.emit(RequestPermits{Caller: name, Step: st.name(), Workers: st.permits.namedWorkers()})
	}
	clear(s.callQueue[len(kept):])
	s.callQueue = kept
}

// Calls that take longCallMS or more may use at most longCallPercent of the callers.
// Otherwise the short calls for urgent jobs would wait for them to end.
const (
	longCallMS      = 300
	longCallPercent = 60
)

// isLong reports whether a call that names n workers is a long call.
func (c *PolicyCost) isLong(n int) bool { return c != nil && c.Duration(n) >= longCallMS }

// isLongCall reports whether the step's waiting call is a long call.
func (s *step) isLongCall() bool { return s.job.Queue.Policy.isLong(len(s.permits.namedWorkers())) }

// namedWorkers returns the workers that the waiting call will name.
func (p *permits) namedWorkers() []string {
	return p.callWorkers[:min(len(p.callWorkers), maxCallWorkers)]
}

// longCalls returns the number of callers with a long call in flight.
func (s *Scheduler) longCalls() int {
	n := 0
	for _, c := range s.callers {
		if c.hasLongCall() {
			n++
		}
	}
	return n
}

// maxShortCalls is the maximum number of short calls in flight from one entry process.
// The service processes them one after the other; with a second one queued there, it
// does not idle for a round trip to the holder between two calls.
const maxShortCalls = 2

// freeCaller returns the entry process that may make another call and has the fewest in
// flight, the first by name if there are several, or "" if there is none.
func (s *Scheduler) freeCaller(long bool) string {
	best, fewest := "", maxShortCalls
	for name, c := range s.callers {
		n := len(c.calls)
		if s.now < c.avoidUntil || n > 0 && (long || c.hasLongCall()) {
			continue
		}
		if n < fewest || n == fewest && best != "" && name < best {
			best, fewest = name, n
		}
	}
	return best
}
