package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestLostTasksBeyondBudget guards against accepted jobs that fail because many of
// their tasks were lost with their workers at once, and against starting all of
// these tasks again at the same time.
func TestLostTasksBeyondBudget(t *testing.T) {
	cell := warmCell(t, 3, 4)
	cell.bundle.Classes[1].RetryBudget = 0
	for _, p := range cell.sorted() {
		p.inbox = append(p.inbox, BundleChanged{Roll: 2, Bundle: cell.bundle})
	}
	cell.ask("e0", 1, message.OpSubmit, batch(api.KindBatch, 12, 10*time.Second))
	cell.advance(2 * time.Second)
	id := cell.answer("e0", 1).JobID
	assert.Equal(t, cell.ran[id], 12)
	for name := range cell.workers {
		cell.restartWorker(name)
	}
	cell.advance(lostRetrySpread / 3)
	assert.Assert(t, cell.ran[id] < 24, "all lost tasks were started again within %v", lostRetrySpread/3)
	cell.advance(lostRetrySpread + 20*time.Second)
	cell.ask("e1", 2, message.OpStatus, api.Job{ID: id, Workspace: "a"})
	cell.advance(time.Second)
	assert.Equal(t, cell.answer("e1", 2).Outcome, api.OutcomeCompleted)
}
