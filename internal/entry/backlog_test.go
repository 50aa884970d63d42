package entry

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Guards against jobs that are accepted although calls of the policy service for many seconds wait already.
func TestJobsAreRefusedWhileManyCallsWait(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	fleet.permitsTook = time.Minute // calls fail by their timeout and are repeated
	holder, _ := startPair(t, log, fleet)
	job := func(n int) *cell.Job {
		j := testJob(n)
		j.Queue.Policy = &cell.PolicyCost{DecisionMS: 2000}
		return j
	}
	refused := 0
	for n := range 20 {
		err := holder.Submit(within(5*time.Second), job(n))
		var e *fault.Error
		switch {
		case err == nil:
			assert.Equal(t, refused, 0, "job %d is accepted after others were refused", n)
		case errors.As(err, &e) && e.Kind == fault.NoCapacity && e.RetryAfterMS >= cell.MinOverloadRetryMS:
			refused++
		default:
			t.Fatalf("job %d: %v", n, err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	assert.Assert(t, refused > 0)
	assert.NilError(t, holder.Submit(within(5*time.Second), job(0)), "the job was accepted before")
	assert.Equal(t, fault.KindOf(holder.Submit(within(5*time.Second), job(19))), fault.NoCapacity)
	plain := testJob(100)
	assert.NilError(t, holder.Submit(within(5*time.Second), plain), "a job that needs no call")
}
