package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestQuotaAcrossProcesses guards against a workspace that gets its quota once at each
// entry process, and against use that peers keep counting after it has ended.
func TestQuotaAcrossProcesses(t *testing.T) {
	cell := warmCell(t, 2, 4)
	cell.bundle.Workspaces[0].Quota = api.Resources{Slots: 4}
	for _, p := range cell.sorted() {
		p.inbox = append(p.inbox, BundleChanged{Roll: 2, Bundle: cell.bundle})
	}
	for i := range 4 {
		cell.ask("e0", uint64(i), message.OpSubmit, request(20*time.Second))
	}
	cell.advance(2 * workspaceUseInterval)
	cell.ask("e1", 10, message.OpSubmit, request(time.Second))
	cell.advance(time.Second)
	refused := cell.answer("e1", 10)
	assert.Equal(t, refused.Outcome, api.OutcomeNotRun)
	assert.Equal(t, refused.Error.Kind, fault.QuotaExceeded)
	cell.advance(20 * time.Second)
	cell.ask("e1", 11, message.OpSubmit, request(time.Second))
	cell.advance(3 * time.Second)
	assert.Equal(t, cell.answer("e1", 11).Outcome, api.OutcomeCompleted)
}
