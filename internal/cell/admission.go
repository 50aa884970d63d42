package cell

import (
	"fmt"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Retry delays advised to callers whose job is refused, in ms.
const (
	// retryNoCapacityMS is for a job that fits on no worker. Workers need about that time to
	// return after maintenance or a crash.
	retryNoCapacityMS = 5000
	// MinOverloadRetryMS is the least delay, in ms, for a job that is refused for waiting calls. It is
	// about the duration of one long call.
	MinOverloadRetryMS = 1000
)

// Admit returns nil if the job may be accepted, and otherwise a *fault.Error that says why it
// is refused and when a retry makes sense. A job that is known is not refused, because it may
// have been accepted before, unless it belongs to another workspace. Admit must be called before Submit.
func (s *Scheduler) Admit(spec *Job) error {
	switch j := s.jobs[spec.ID]; {
	case j == nil:
	case !j.isForeignTo(spec.Workspace):
		return nil
	case !j.unsubmitted:
		return fault.New(fault.Conflict, "the ID "+spec.ID+" is used by a job of another workspace", "send the job under a new ID")
	}
	if !s.CanEverRun(spec) {
		e := fault.New(fault.NoCapacity, "no worker of the service can run a step of the job", "send the job again when such workers have been added")
		e.RetryAfterMS = retryNoCapacityMS
		return e
	}
	if err := s.checkLimit(spec); err != nil {
		return err
	}
	if overload := s.CallOverloadMS(spec); overload > 0 {
		return errCallOverload(overload)
	}
	return nil
}

// errCallOverload returns the error for a job that would have to wait for too long until the
// policy service can be asked about it. The retry delay is the time in which the calls that
// are too many will have been made.
func errCallOverload(overloadMS int64) error {
	e := fault.New(fault.NoCapacity, fmt.Sprintf("the calls of the policy service for accepted jobs take %d ms too long", overloadMS), "send the job again after the retry delay")
	e.RetryAfterMS = max(overloadMS, MinOverloadRetryMS)
	return e
}

// The rest of this file limits the calls of the policy service that accepted jobs wait for. When few entry
// processes are left, they make fewer calls than the jobs that arrive need. Steps that are
// late are asked about last, so the ones that were accepted too many would wait for as
// long as that lasts.

// How long the calls of the policy service that accepted jobs wait for may take when another job
// is accepted, in ms. Callers expect an accepted job to run within 14 s, in which calls for
// later steps and the wait for capacity must fit too. The room between both limits is kept for
// jobs whose calls are short: these are the urgent ones, and are few beside long calls.
const (
	maxLongBacklogMS = 7_000  // for a job with a long call
	maxBacklogMS     = 10_000 // for any other job
)

// CallOverloadMS returns by how much the calls of the policy service that accepted jobs wait for
// exceed what they may take when a new job is accepted, in ms. It is 0 or less if the job may
// be accepted, needs no call, or if there is no caller.
func (s *Scheduler) CallOverloadMS(spec *Job) int64 {
	if spec.Queue.Policy == nil || len(s.callers) == 0 {
		return 0
	}
	backlog := s.waitingCalls()
	all := (backlog.longMS + backlog.shortMS) / int64(len(s.callers))
	overload := all - maxBacklogMS
	for i := range spec.Steps {
		def := &spec.Steps[i]
		if len(def.After) == 0 && spec.Queue.Policy.isLong(s.firstCallWorkers(def)) {
			overload = max(overload, all-maxLongBacklogMS, backlog.longMS/int64(s.maxLongCalls())-maxLongBacklogMS)
		}
	}
	return overload
}

// callBacklog is the duration of all calls that accepted jobs wait for.
type callBacklog struct {
	at              Instant // when it was computed
	longMS, shortMS int64   // of long and of short calls
}

// callBacklogIntervalMS is how long a computed backlog is used, in ms. Computing it visits all
// waiting steps, and jobs may come by the hundred in a second.
const callBacklogIntervalMS = 100

// waitingCalls returns the backlog of calls, with those for steps that have not joined the call
// queue yet.
func (s *Scheduler) waitingCalls() callBacklog {
	if s.backlog.at != 0 && s.now-s.backlog.at < callBacklogIntervalMS {
		return s.backlog
	}
	s.backlog = callBacklog{at: s.now}
	for _, call := range s.callQueue {
		s.backlog.add(&call.step.job.Queue, len(call.workers))
	}
	for _, st := range s.waiting {
		if st.awaitsFirstPermits() && !st.limited && !st.permits.pending() && s.now >= st.permits.notBefore && st.job.final == "" {
			s.backlog.add(&st.job.Queue, s.firstCallWorkers(st.def))
		}
	}
	return s.backlog
}

// add adds a call for a step of the queue that names n workers.
func (b *callBacklog) add(q *Queue, n int) {
	if q.Policy.isLong(n) {
		b.longMS += q.Policy.Duration(n)
	} else {
		b.shortMS += q.Policy.Duration(n)
	}
}

// firstCallWorkers estimates how many workers the first call for a step names.
func (s *Scheduler) firstCallWorkers(def *Step) int {
	n := maxCallWorkers
	if !def.Gang || def.Tasks < wideGangTasks {
		n = max(minInitialWorkers, def.Tasks)
	}
	return min(n, maxCallWorkers, len(s.workers))
}
