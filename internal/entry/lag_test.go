package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A holder on a VM that has turned slow must be noticed although some of its events wait
// little. On the grown Steppe Lens site, a holder whose VM was slow for 4.4 s kept the
// cell, with waits of up to 0.69 s, because each prompt event ended the measurement.
func TestLagMeter(t *testing.T) {
	const limit = lagLimit
	for _, test := range []struct {
		name  string
		waits []time.Duration // of events 60 ms apart, repeated for 3 s
		want  bool
	}{
		{"prompt", []time.Duration{time.Millisecond}, false},
		{"always late", []time.Duration{2 * limit}, true},
		{"late but for every third event", []time.Duration{3 * limit, 3 * limit, time.Millisecond}, true},
		{"a late event now and then", []time.Duration{2 * limit, 0, 0, 0, 0, 0}, false},
	} {
		var m lagMeter
		now := time.Now()
		slow := false
		for n := range 50 {
			now = now.Add(60 * time.Millisecond)
			slow = m.check(now, test.waits[n%len(test.waits)]) || slow
		}
		assert.Equal(t, slow, test.want, test.name)
	}

	// A single long pause of the process is no reason to release the cell.
	var m lagMeter
	m.check(time.Now(), 0)
	assert.Assert(t, !m.check(time.Now().Add(5*time.Second), 5*time.Second))
}

// The tasks of a worker that is gone, and after a takeover all restored ones, wait for
// one lease. A lease of 10 s delayed them beyond the objective of most jobs.
func TestLeaseIsBounded(t *testing.T) {
	s := testSession()
	s.holder.node.cfg.LongestLeaseMS = 10_000
	assert.Equal(t, s.leaseDuration(), maxLeaseMS*time.Millisecond)
	s.holder.node.cfg.LongestLeaseMS = 3000
	assert.Equal(t, s.leaseDuration(), 3*time.Second)
}
