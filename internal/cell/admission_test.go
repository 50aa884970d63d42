package cell

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// slowPolicy is the policy of a queue whose calls take a second.
func slowPolicy() Queue {
	q := permitQueue()
	q.Policy = &PolicyCost{DecisionMS: 1000}
	return q
}

// gangJob is a job of a gang of four on the queue.
func gangJob(n int, q Queue) Job {
	return Job{ID: fmt.Sprintf("%016x", n), Queue: q, Steps: []Step{{Tasks: 4, Resources: Resources{CPUMilli: 100}, EstimateMS: 500, Gang: true}}}
}

// Guards against jobs that are accepted, at twice the load that the callers bear, and never start because the calls for them are never made.
func TestAcceptedJobsStartWithFewCallers(t *testing.T) {
	for _, callers := range []int{1, 2, 3} {
		r := newRig(t, 8, Resources{CPUMilli: 8000, MemoryMB: 8000})
		r.s.SetCallers([]string{"e1", "e2", "e3"}[:callers])
		const stepMS, trafficMS, finishMS = 50, 60_000, 14_000
		arrivalMS := 500 / r.s.maxLongCalls() // a call takes 1000 ms
		accepted, refused := 0, 0
		type call struct {
			request  RequestPermits
			answered Instant
		}
		var calls []call
		ends := map[TaskID]Instant{}
		for at := 0; at < trafficMS+finishMS; at += stepMS {
			if at < trafficMS && at%arrivalMS < stepMS {
				job := gangJob(accepted+refused, slowPolicy())
				if r.s.CallOverloadMS(&job) > 0 {
					refused++
				} else {
					accepted++
					r.submit(job)
				}
			}
			for _, request := range r.permitRequests {
				calls = append(calls, call{request, r.now + 1000})
			}
			r.permitRequests = nil
			kept := calls[:0]
			for _, c := range calls {
				if r.now < c.answered {
					kept = append(kept, c)
					continue
				}
				tickets := map[string]string{}
				for _, id := range c.request.Workers {
					tickets[id] = "t"
				}
				r.s.PermitsReceived(PermitResult{Caller: c.request.Caller, Step: c.request.Step, Workers: c.request.Workers, Tickets: tickets, ValidForMS: 2500})
			}
			calls = kept
			for _, s := range r.starts {
				if ends[s.Task] == 0 {
					ends[s.Task] = r.now + 500
				} else if r.now >= ends[s.Task] {
					r.endRun(s.Worker, s.Task, s.Run, EndDone)
				}
			}
			r.advance(stepMS)
		}
		waiting := 0
		for n := range accepted + refused {
			if r.state(gangJob(n, slowPolicy()).ID) == Pending {
				waiting++
			}
		}
		assert.Equal(t, waiting, 0, "%d callers: of %d accepted jobs", callers, accepted)
		assert.Assert(t, refused > 0)
		served := trafficMS / 1000 * r.s.maxLongCalls()
		assert.Assert(t, accepted >= served, "%d callers: %d jobs are accepted, %d could be served", callers, accepted, served)
	}
}

// Guards against urgent jobs, and jobs that need no call, that are refused because of long calls for others.
func TestCallOverload(t *testing.T) {
	r := newRig(t, 8, Resources{CPUMilli: 8000, MemoryMB: 8000})
	r.s.SetCallers([]string{"e1", "e2", "e3", "e4"})
	overload := func(q Queue, steps ...Step) int64 { return r.s.CallOverloadMS(&Job{Queue: q, Steps: steps}) }
	long, short, none := slowPolicy(), permitQueue(), permitQueue()
	none.Policy = nil
	one := Step{Tasks: 1}
	assert.Assert(t, overload(long, one) < 0)
	for n := range 18 { // two calls are under way, 16 s of calls wait for two callers
		r.submit(gangJob(n, long))
	}
	r.advance(callBacklogIntervalMS)
	assert.Equal(t, overload(long, one), int64(8000-maxLongBacklogMS))
	assert.Equal(t, overload(short, one), int64(4000-maxBacklogMS))
	assert.Equal(t, overload(none, one), int64(0))
	// Only the first steps are asked about at once.
	later := Step{Tasks: 1, After: []int{0}}
	assert.Equal(t, overload(long, one, later), int64(8000-maxLongBacklogMS))
	r.s.SetCallers(nil)
	assert.Equal(t, overload(long, one), int64(0), "without a caller the backlog is not known")
}
