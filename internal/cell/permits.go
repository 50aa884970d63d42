package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// permits is what the policy service has answered for a step. The set of workers that
// may run the step does not change; each permit expires and can be renewed.
type permits struct {
	answered  bool    // at least one call was answered
	unused    bool    // no placement was tried since the last answer
	nextWiden Instant // when the step may next search for unasked workers with free capacity
	// asked holds the workers named in answered calls, by ID, with their incarnation at the
	// time of the newest answer.
	asked map[string]int64
	// allAskedIn is the Scheduler.workersVersion in which the step last found no worker that
	// it has not asked about.
	allAskedIn uint64
	allowed    map[string]*permit // by worker ID
	calls      int                // that are in flight or wait for a caller
	// notBefore is when the step may make another call after rejected ones, and rejected their
	// number since the last answer.
	notBefore Instant
	rejected  int
}

// The delay before another call for a step whose call the policy service has rejected, in ms.
// It doubles with each further one. The service may not know a new step yet, but repeats of
// a call that it never accepts would take the callers from all other steps.
const (
	minRejectedDelayMS = 250
	maxRejectedDelayMS = 30_000
)

// reject records that the policy service has rejected a call for the step.
func (p *permits) reject(now Instant) {
	p.notBefore = now + Instant(min(minRejectedDelayMS<<min(p.rejected, 16), maxRejectedDelayMS))
	p.rejected++
}

// hasAnswer reports whether the policy service has answered whether the step may run on the
// worker. A refusal counts for one incarnation only, because the next one may be of another
// kind. An allowed worker stays allowed; its permit is renewed.
func (p *permits) hasAnswer(w *worker) bool {
	incarnation, asked := p.asked[w.ID]
	return asked && (incarnation == w.incarnation || p.allowed[w.ID] != nil)
}

// permitCall is a call to the policy service for a step.
type permitCall struct {
	step    *step
	workers []string // that the call names, maxCallWorkers at most
	sentAt  Instant
}

// isLong reports whether the call takes longCallMS or more.
func (c *permitCall) isLong() bool { return c.step.job.Queue.Policy.isLong(len(c.workers)) }

// pending reports whether a call for the step is in flight or waits for a caller.
func (p *permits) pending() bool { return p.calls > 0 }

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
	rank       int                    // callers with a lower rank are preferred
	calls      map[string]*permitCall // calls in flight by step name
	avoidUntil Instant                // set after a call without a response
}

// hasLongCall reports whether a long call is in flight.
func (c *caller) hasLongCall() bool {
	for _, call := range c.calls {
		if call.isLong() {
			return true
		}
	}
	return false
}

// callerPauseMS is how long an entry process is not used as a caller after a call
// without a response, in ms.
const callerPauseMS = 1000

// SetCallers replaces the entry processes that may call the policy service, the preferred
// ones first. The service processes one call at a time from each of them.
func (s *Scheduler) SetCallers(names []string) {
	for name, c := range s.callers {
		if !slices.Contains(names, name) {
			for _, call := range c.calls {
				call.step.permits.calls--
			}
			delete(s.callers, name)
		}
	}
	for rank, name := range names {
		if s.callers[name] == nil {
			s.callers[name] = &caller{calls: map[string]*permitCall{}}
		}
		s.callers[name].rank = rank
	}
}

// PermitResult is the result of a RequestPermits action. Failed is set if the policy
// service did not answer, Rejected if it does not accept the call.
type PermitResult struct {
	Caller     string
	Step       string
	Workers    []string // workers named in the call
	Tickets    map[string]string
	ValidForMS int64
	Failed     bool
	Rejected   bool
}

// PermitsReceived processes the result of a RequestPermits action.
func (s *Scheduler) PermitsReceived(p PermitResult) {
	took := Instant(0) // unknown if the caller has left meanwhile
	if c := s.callers[p.Caller]; c != nil {
		if call := c.calls[p.Step]; call != nil {
			call.step.permits.calls--
			took = s.now - call.sentAt
			delete(c.calls, p.Step)
		}
		if p.Failed {
			c.avoidUntil = s.now + callerPauseMS
		}
	}
	st := s.stepByName(p.Step)
	if st == nil {
		return
	}
	if p.Rejected {
		st.permits.reject(s.now)
		s.emit(LogEvent{Event: EventPermitsRejected, Failed: true, Job: st.job.ID, Task: p.Step, Worker: p.Caller, AgeMS: int64(took)})
		return
	}
	if p.Failed {
		s.emit(LogEvent{Event: EventPermitsFailed, Failed: true, Job: st.job.ID, Task: p.Step, Worker: p.Caller, AgeMS: int64(took)})
		return
	}
	s.emit(LogEvent{Event: EventPermitsGiven, Job: st.job.ID, Task: p.Step, Worker: p.Caller,
		Detail: fmt.Sprintf("%d/%d", len(p.Tickets), len(p.Workers)), AgeMS: int64(took)})
	if st.permits.allowed == nil {
		st.permits.allowed = map[string]*permit{}
		st.permits.asked = map[string]int64{}
	}
	s.updateAllowedShare(st, len(p.Tickets), len(p.Workers))
	st.permits.answered, st.permits.unused = true, true
	st.permits.rejected = 0
	st.nextSearch = 0
	for _, id := range p.Workers {
		// What the service answers about a worker that has left may not hold once it is back.
		if w := s.workers[id]; w != nil && w.registered {
			st.permits.asked[id] = w.incarnation
		}
	}
	for id, ticket := range p.Tickets {
		incarnation := int64(0)
		if w := s.workers[id]; w != nil {
			incarnation = w.incarnation
		}
		st.permits.allowed[id] = &permit{ticket: ticket, incarnation: incarnation, expires: s.now + Instant(p.ValidForMS)}
	}
	s.forgetRemoved(&st.permits)
}

// forgetRemoved drops the answers about workers that have been removed, once there are more
// answers than workers. The workers of a service that lasts are replaced many times.
func (s *Scheduler) forgetRemoved(p *permits) {
	if max(len(p.asked), len(p.allowed)) <= len(s.workers) {
		return
	}
	maps.DeleteFunc(p.asked, func(id string, _ int64) bool { return s.workers[id] == nil })
	maps.DeleteFunc(p.allowed, func(id string, _ *permit) bool { return s.workers[id] == nil })
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

// requestPermits queues calls for permits on the given workers, unless the step already
// has a call queued or in flight. It returns the number of workers that the calls name:
// there is one call, and more if they are needed and callers are idle.
func (s *Scheduler) requestPermits(st *step, workers []string) (named int) {
	if st.permits.pending() || s.now < st.permits.notBefore {
		return 0
	}
	left := workers
	for more := s.idleCalls(); len(left) > 0 && (st.permits.calls == 0 || more > 0); more-- {
		n := min(len(left), maxCallWorkers)
		call := &permitCall{step: st, workers: left[:n]}
		s.callQueue = append(s.callQueue, call)
		s.queuedCalls[call.isLong()]++
		st.permits.calls++
		left = left[n:]
	}
	return len(workers) - len(left)
}

// idleCalls returns how many further calls idle callers could make while half of all
// callers stay idle.
func (s *Scheduler) idleCalls() int {
	idle := 0
	for _, c := range s.callers {
		if len(c.calls) == 0 {
			idle++
		}
	}
	return max(idle-len(s.callQueue)-len(s.callers)/2, 0)
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
	slices.SortStableFunc(s.callQueue, func(a, b *permitCall) int {
		if d := cmp.Compare(a.step.lateness(s.now), b.step.lateness(s.now)); d != 0 {
			return d
		}
		return cmp.Compare(a.step.latestStart, b.step.latestStart)
	})
	kept := s.callQueue[:0]
	full := map[bool]bool{} // whether no caller is free, by permitCall.isLong
	for _, call := range s.callQueue {
		st, long := call.step, call.isLong()
		if st.job.final != "" || st.complete() {
			st.permits.calls--
			s.queuedCalls[long]--
			continue
		}
		if full[long] {
			kept = append(kept, call)
			continue
		}
		name := s.freeCaller(st.name(), long)
		if name == "" || long && s.longCalls() >= s.maxLongCalls() {
			// A short call may find all callers busy with other calls for its step only.
			full[long] = long || s.freeCaller("", false) == ""
			kept = append(kept, call)
			continue
		}
		s.callers[name].calls[st.name()] = call
		s.queuedCalls[long]--
		call.sentAt = s.now
		s.emit(RequestPermits{Caller: name, Step: st.name(), Workers: call.workers})
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

// maxLongCalls returns the number of callers that long calls may use: their share, rounded to
// the nearest number, and at least one. Rounded down, it would leave two of three callers idle.
func (s *Scheduler) maxLongCalls() int {
	return max((len(s.callers)*longCallPercent+50)/100, 1)
}

// isLong reports whether a call that names n workers is a long call.
func (c *PolicyCost) isLong(n int) bool { return c != nil && c.Duration(n) >= longCallMS }

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

// freeCaller returns the entry process that may make another call for the step and has
// the fewest in flight, the preferred one if there are several, or "" if there is none.
func (s *Scheduler) freeCaller(step string, long bool) string {
	best, fewest := "", maxShortCalls
	for name, c := range s.callers {
		n := len(c.calls)
		if s.now < c.avoidUntil || n > 0 && (long || c.hasLongCall() || c.calls[step] != nil) {
			continue
		}
		if n < fewest || n == fewest && best != "" && c.rank < s.callers[best].rank {
			best, fewest = name, n
		}
	}
	return best
}
