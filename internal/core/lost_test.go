package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestLostTasksBeyondBudget guards against accepted jobs that fail because more of
// their tasks were lost with their workers than the retry budget allows, and against
// starting all of these tasks again at the same time.
func TestLostTasksBeyondBudget(t *testing.T) {
	cluster := warmCluster(t, 3, 4)
	cluster.bundle.Classes[1].RetryBudget = 0
	for _, p := range cluster.sortedProcs() {
		p.inbox = append(p.inbox, BundleChanged{Roll: 2, Bundle: cluster.bundle})
	}
	cluster.ask("e0", 1, message.OpSubmit, batch(api.KindBatch, 12, 10*time.Second))
	cluster.advance(2 * time.Second)
	id := cluster.answer("e0", 1).JobID
	assert.Equal(t, cluster.startsByJob[id], 12)
	for name := range cluster.workers {
		cluster.restartWorker(name)
	}
	cluster.advance(lostRetrySpread / 3)
	assert.Assert(t, cluster.startsByJob[id] < 24, "all lost tasks were started again within %v", lostRetrySpread/3)
	cluster.advance(lostRetrySpread + 20*time.Second)
	cluster.ask("e1", 2, message.OpStatus, api.Job{ID: id, Workspace: "a"})
	cluster.advance(time.Second)
	assert.Equal(t, cluster.answer("e1", 2).Outcome, api.OutcomeCompleted)
}
