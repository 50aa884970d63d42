package test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// TestStartWhileLogDown guards against a process that does not become ready during a
// log outage although its peers have the roll in force.
func TestStartWhileLogDown(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.entries = 2
	c := startCell(t, o)
	c.roll(testBundle())
	c.awaitRollInTime(2)
	c.platform.SetLogFaults(standin.LogFaults{Down: true})
	watch := watchReadiness(c.startEntry("entry-2"))
	c.awaitReady()
	c.awaitHeld(o.workers)
	for _, r := range watch.finish() {
		assert.Assert(t, !r.Ready || r.Roll == 2, "%+v", r)
	}
	j := request(0, 10)
	c.checkAnswer(j, c.client("entry-2").Submit(context.Background(), j))
}

// TestNotReadyWithoutRoll guards against a process that accepts work before it has
// read the bundle in force.
func TestNotReadyWithoutRoll(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.entries = 1
	c := startCell(t, o)
	c.kill("entry-0")
	c.platform.SetLogFaults(standin.LogFaults{Down: true})
	e := c.startEntry("entry-0")
	watch := watchReadiness(e)
	c.await("the workers to be listed", func() bool { return len(e.dump().Core.Workers) == o.workers })
	answer := c.client("entry-0").Submit(context.Background(), request(0, 10))
	assert.Equal(t, answer.Outcome, api.OutcomeNotRun)
	for _, r := range watch.finish() {
		assert.Assert(t, !r.Ready, "%+v", r)
	}
	c.platform.SetLogFaults(standin.LogFaults{})
	c.awaitReady()
	assert.Equal(t, e.readiness().Roll, uint64(1))
}

// The long stream of rolls and the slow connection to the log of
// TestRestartNeverServesOlderRoll. Reading the stream takes many reads.
const (
	rollHistory   = 12        // rolls
	rollSpacing   = 300 << 10 // bytes of other records before each roll
	slowLogLink   = 2 << 20   // bytes per second
	slowLinkDelay = 5 * time.Millisecond
)

// TestRestartNeverServesOlderRoll guards against a restarted process that is ready
// with an older roll while it still reads a long stream of rolls over a slow
// connection.
func TestRestartNeverServesOlderRoll(t *testing.T) {
	for _, test := range []struct {
		name    string
		entries int
	}{
		{"with peers", 3},
		{"alone", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			o := defaultOptions()
			o.entries = test.entries
			c := startCell(t, o)
			c.kill("entry-0")
			var newest uint64
			for range rollHistory {
				c.appendRolls([][]byte{make([]byte, rollSpacing)})
				newest = c.roll(testBundle())
			}
			e := c.startEntryBehind("entry-0", proxyFaults{Delay: slowLinkDelay, BytesPerSecond: slowLogLink})
			watch := watchReadiness(e)
			c.await("the log to be read", func() bool { return e.dump().RollSettled && e.readiness().Ready })
			c.await("the newest roll", func() bool { return e.dump().Core.Roll == newest })
			early := 0
			for _, r := range watch.finish() {
				assert.Assert(t, !r.Ready || r.Roll == newest, "%+v", r)
				if !r.Ready {
					early++
				}
			}
			assert.Assert(t, early > 0, "the readiness was never polled before the process was ready")
		})
	}
}

// shortRetention is the log's retention in TestRollOutlivesRetention.
const shortRetention = 6 * time.Second

// TestRollOutlivesRetention guards against a roll or an accepted job that is lost
// when the log drops its original records after the retention.
func TestRollOutlivesRetention(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.log.RetentionMS = shortRetention.Milliseconds()
	c := startCell(t, o)
	service := c.client("entry-0").Submit(context.Background(), job(api.KindService, 1, 0))
	assert.Equal(t, service.Outcome, api.OutcomeAccepted, "%v", service.Error)
	c.awaitDropped("rolls", 10)
	c.awaitDropped("work", 3)
	for name := range c.entries {
		c.kill(name)
	}
	e := c.startEntry("entry-0")
	c.awaitReady()
	assert.Equal(t, e.readiness().Roll, uint64(1))
	c.awaitHeld(o.workers)
	c.await("the service to be adopted", func() bool {
		return c.client("entry-0").Cancel(context.Background(), service.JobID).Outcome == api.OutcomeFailed
	})
	assert.Equal(t, c.runs(service.JobID), 1)
}

// awaitDropped waits until the log has dropped at least that many records of a
// stream.
func (c *cell) awaitDropped(stream string, records uint64) {
	c.t.Helper()
	client := c.logClient()
	c.await("the log to drop records of "+stream, func() bool {
		response, err := client.Read(context.Background(), stream, 0, 1, 0)
		return err == nil && response.Oldest >= records
	})
}
