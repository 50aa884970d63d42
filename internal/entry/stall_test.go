package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// Guards against a busy process that is logged as a paused VM, or a suspension that is not logged.
func TestStallTellsBusyFromPaused(t *testing.T) {
	var busy, paused, suspended stallMeter
	busy.start()
	for start := clock.ProcessorTime(); clock.ProcessorTime()-start < 100*time.Millisecond; {
	}
	paused.start()
	suspended.start()
	busy.at, busy.sinceBoot = busy.at.Add(-2*time.Second), busy.sinceBoot-2*time.Second
	paused.at, paused.sinceBoot = paused.at.Add(-2*time.Second), paused.sinceBoot-2*time.Second
	suspended.sinceBoot -= 2 * time.Second
	s, stalled := busy.end(probeInterval)
	assert.Assert(t, stalled && s.late > time.Second && s.processor >= 100*time.Millisecond && s.suspended < time.Second, "%+v", s)
	s, stalled = paused.end(probeInterval)
	assert.Assert(t, stalled && s.late > time.Second && s.processor < 100*time.Millisecond && s.suspended < time.Second, "%+v", s)
	s, stalled = suspended.end(probeInterval)
	assert.Assert(t, stalled && s.late < time.Second && s.suspended > time.Second, "%+v", s)
	paused.start()
	_, stalled = paused.end(probeInterval)
	assert.Assert(t, !stalled)
}
