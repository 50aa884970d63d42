package entry

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// A holder on a small VM must hand the cell over to a follower on a large one. On the
// large site, a VM with 0.192 cores that took over needed 4 to 7 s to read the records,
// and half of the requests of the day failed.
func TestSmallHolderYields(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	small := startNodeWithShare(t, "small", log, fleet, 0.2)
	eventually(t, "a holder", small.holds)
	job := testJob(1)
	assert.NilError(t, small.Submit(within(3*time.Second), job))
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	large := startNodeWithShare(t, "large", log, fleet, 0.8)
	start := time.Now()
	eventually(t, "a handover", large.holds)
	assert.Assert(t, time.Since(start) < 2*time.Second, "the handover took %v", time.Since(start))
	fleet.endAll(cell.EndDone)
	eventually(t, "the completed job", func() bool {
		state, err := small.Status(within(time.Second), job.ID, cell.Caller{})
		return err == nil && state == cell.Completed
	})
	assert.Equal(t, fleet.started(), 1)

	// The large VM does not yield to the small one, which also leaves it the time to
	// claim the cell again.
	h, _, _ := large.agents()[0].route()
	h.release(causeReleased)
	eventually(t, "the next term", func() bool {
		next, _, _ := large.agents()[0].route()
		return next != nil && next != h && next.ready.Load()
	})
}

// A follower on a large VM that cannot reach the log never claims the cell. The holder
// on a small VM must not yield to it again and again.
func TestSmallHolderYieldsOnce(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	small := startNodeWithShare(t, "small", log, fleet, 0.2)
	large := startNodeWithShare(t, "large", log, fleet, 0.8)
	eventually(t, "a holder", large.holds)
	eventually(t, "a follower", small.reaches)
	large.log.disconnected.Store(true)
	eventually(t, "a takeover", small.holds)
	time.Sleep(2 * time.Second) // the small holder may yield once meanwhile
	eventually(t, "a term after that", small.holds)
	h, _, _ := small.agents()[0].route()
	time.Sleep(2 * time.Second)
	later, _, _ := small.agents()[0].route()
	assert.Equal(t, later, h, "the holder yielded again")
}

// A process on a small VM must leave a free cell to larger ones for longer than they
// need to see it on a slow log, but only if there are larger ones.
func TestClaimDelay(t *testing.T) {
	for _, test := range []struct {
		name  string
		share float64
		best  uint64
		min   time.Duration
		max   time.Duration
	}{
		{"largest", 0.8, 800, 0, 0},
		{"larger than any holder before", 0.8, 400, 0, 0},
		{"unknown share", 0, 800, 0, 0},
		{"a quarter", 0.2, 800, 1200 * time.Millisecond, 2 * time.Second},
		{"half", 0.4, 800, 600 * time.Millisecond, 1500 * time.Millisecond},
		{"all alike and small", 0.2, 200, 0, maxShareDelay},
		{"small, nothing known", 0.2, 0, 50 * time.Millisecond, maxShareDelay},
	} {
		got := claimDelay(uint64(test.share*1000), 0, test.best)
		assert.Assert(t, got >= test.min && got <= test.max, "%s: %v", test.name, got)
	}
}

// A holder whose VM becomes several times slower must hand the cell over soon. On the
// grown Steppe Lens site, a holder on a VM that was slow for 4.4 s kept the cell, and of
// the 600 requests of that time 350 failed.
func TestHolderOnSlowVMYields(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	slow := startNodeWithShare(t, "slow", log, fleet, 0.8)
	eventually(t, "a holder", slow.holds)
	other := startNodeWithShare(t, "other", log, fleet, 0.8)
	eventually(t, "a follower", other.reaches)
	for range probeHistory {
		slow.speed.add(time.Microsecond)
	}
	start := time.Now()
	for range probeCount {
		slow.speed.add(time.Second)
	}
	assert.Assert(t, slow.speed.slowdown() > minSlowdown)
	for !other.holds() && time.Since(start) < 5*time.Second {
		slow.speed.add(time.Second) // beside measurements of this machine
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, time.Since(start) < 2*time.Second, "the handover took %v", time.Since(start))
}

// The speed of a VM is judged by the fastest of some measurements, because single ones
// are longer when the process is interrupted.
func TestSpeedMeter(t *testing.T) {
	const fast, slow = 20 * time.Microsecond, 100 * time.Microsecond
	for _, test := range []struct {
		name string
		took []time.Duration
		want float64
	}{
		{"nothing measured", nil, 1},
		{"steady", []time.Duration{fast, fast, fast}, 1},
		{"interruptions", []time.Duration{slow, slow}, 1},
		{"slow", []time.Duration{slow, slow, slow}, 5},
		{"a little slow", []time.Duration{3 * fast / 2, 3 * fast / 2, 3 * fast / 2}, 1},
		{"fast again", []time.Duration{slow, slow, slow, fast}, 1},
		{"a measurement that is far too short", []time.Duration{1, fast, fast, fast}, 1},
		{"slow for 8 s", slices.Repeat([]time.Duration{slow}, 80), 5},
	} {
		var m speedMeter
		if test.took != nil {
			for range probeHistory {
				m.add(fast)
			}
		}
		for _, took := range test.took {
			m.add(took)
		}
		assert.Equal(t, m.slowdown(), test.want, test.name)
	}
}
