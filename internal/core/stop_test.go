package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestStopEnds guards against a graceful shutdown that hangs or aborts requests.
func TestStopEnds(t *testing.T) {
	for name, c := range map[string]struct {
		processes int
		before    func(cluster *fakeCluster)
	}{
		"alone":              {1, func(*fakeCluster) {}},
		"alone, log down":    {1, func(cluster *fakeCluster) { cluster.logUp = false }},
		"with a peer":        {2, func(*fakeCluster) {}},
		"log down":           {2, func(cluster *fakeCluster) { cluster.logUp = false }},
		"peer paused":        {2, func(cluster *fakeCluster) { cluster.pause("e1") }},
		"peers stop as well": {3, func(cluster *fakeCluster) { cluster.stopAll("e1", "e2") }},
		"peer dies":          {2, func(cluster *fakeCluster) { cluster.kill("e1") }},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := warmCluster(t, c.processes, 2)
			for i := range 12 {
				job := request(4 * time.Second)
				job.Idempotent = false
				cluster.ask("e0", uint64(i), message.OpSubmit, job)
			}
			cluster.ask("e0", 50, message.OpSubmit, batch(api.KindBatch, 20, 3*time.Second))
			cluster.ask("e0", 51, message.OpSubmit, batch(api.KindGang, 6, 3*time.Second))
			cluster.advance(700 * time.Millisecond)
			keyed := request(time.Second)
			keyed.Key = "stop"
			c.before(cluster)
			cluster.ask("e0", 52, message.OpSubmit, keyed)
			cluster.ask("e0", 53, message.OpSubmit, batch(api.KindBatch, 1, time.Second))
			cluster.stopAll("e0")
			cluster.advance(40 * time.Second)
			for i := range 12 {
				assert.Assert(t, cluster.answer("e0", uint64(i)).Outcome != "", "request %d", i)
			}
			for token := uint64(50); token <= 53; token++ {
				assert.Assert(t, cluster.answer("e0", token).Outcome != "", "token %d", token)
			}
			assert.Assert(t, cluster.procs["e0"].stopped)
		})
	}
}

func (cluster *fakeCluster) stopAll(names ...string) {
	for _, name := range names {
		cluster.procs[name].inbox = append(cluster.procs[name].inbox, StopRequested{})
	}
}

// TestRequestAfterStop guards against a request that arrives after the shutdown is
// complete and is forwarded to another process: the answer would not reach the caller.
func TestRequestAfterStop(t *testing.T) {
	cluster := warmCluster(t, 2, 2)
	job := request(time.Second)
	job.ID = cluster.mint(t, "e1")
	cluster.stopAll("e0")
	for !cluster.procs["e0"].stopped {
		cluster.step()
	}
	cluster.ask("e0", 1, message.OpSubmit, job)
	cluster.step()
	assert.Equal(t, cluster.answer("e0", 1).Outcome, api.OutcomeUnknown)
}
