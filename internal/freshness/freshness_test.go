package freshness

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

var testLimits = Limits{Usual: 2 * time.Second, Outage: 7 * time.Second}

// tracker returns a Tracker that was confirmed some time ago.
func tracker(age time.Duration, readNow func()) *Tracker {
	t := New(testLimits, readNow)
	t.confirmedAt = clock.SinceBoot() - age
	return t
}

// check calls Check and returns its error and how long it took.
func check(t *Tracker, allowedInOutage bool) (time.Duration, error) {
	start := time.Now()
	err := t.Check(context.Background(), allowedInOutage)
	return time.Since(start), err
}

// Guards against a read of the source for each answer.
func TestFreshAnswerNeedsNoRead(t *testing.T) {
	f := tracker(time.Second, func() { t.Error("read") })
	took, err := check(f, false)
	assert.NilError(t, err)
	assert.Assert(t, took < checkTimeout)
}

// Guards against an answer by old knowledge after a pause, and a refusal although a read would do.
func TestOldAnswerWaitsForRead(t *testing.T) {
	var f *Tracker
	reads := 0
	f = tracker(time.Minute, func() {
		reads++
		time.AfterFunc(50*time.Millisecond, func() { f.Confirm(clock.SinceBoot() - 10*time.Second) }) // still too old
		time.AfterFunc(100*time.Millisecond, func() { f.Confirm(clock.SinceBoot()) })
	})
	took, err := check(f, false)
	assert.NilError(t, err)
	assert.Assert(t, took >= 100*time.Millisecond, "answered after %v", took)
	assert.Equal(t, reads, 1)
}

// Guards against a wait of each request while reads are known to fail, and one that is cut short by a failure that a pause has caused.
func TestRefusalDoesNotWaitWhileReadsFail(t *testing.T) {
	f := tracker(time.Minute, func() {})
	f.Fail()
	took, err := check(f, false)
	assert.Equal(t, fault.KindOf(err), fault.NotReady)
	assert.Assert(t, took >= checkTimeout/2, "refused after %v", took)
	took, err = check(f, false)
	assert.Equal(t, fault.KindOf(err), fault.NotReady)
	assert.Assert(t, took < checkTimeout/2, "refused after %v", took)
	f.Confirm(clock.SinceBoot())
	_, err = check(f, false)
	assert.NilError(t, err)
}

// Guards against answers that are refused in short outages although they are allowed there, and given in long ones.
func TestOutageAllowsAnswersUpToItsLimit(t *testing.T) {
	for _, test := range []struct {
		age     time.Duration
		allowed bool
		ok      bool
	}{{3 * time.Second, true, true}, {3 * time.Second, false, false}, {8 * time.Second, true, false}} {
		_, err := check(tracker(test.age, func() {}), test.allowed)
		assert.Equal(t, err == nil, test.ok, "%+v: %v", test, err)
	}
}

// Guards against a confirmation that sets the age back, because a slow read ended after a newer one.
func TestLateConfirmationOfOlderRead(t *testing.T) {
	f := tracker(time.Second, func() {})
	f.Confirm(clock.SinceBoot() - time.Minute)
	assert.Assert(t, f.Age() < 2*time.Second)
}
