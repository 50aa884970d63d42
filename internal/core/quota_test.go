package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestQuotaAcrossProcesses guards against a quota that applies to each entry process
// separately, and against use that peers still count after it has ended.
func TestQuotaAcrossProcesses(t *testing.T) {
	cluster := warmCluster(t, 2, 4)
	cluster.bundle.Workspaces[0].Quota = api.Resources{Slots: 4}
	for _, p := range cluster.sortedProcs() {
		p.inbox = append(p.inbox, BundleChanged{Roll: 2, Bundle: cluster.bundle})
	}
	for i := range 4 {
		cluster.ask("e0", uint64(i), message.OpSubmit, request(20*time.Second))
	}
	cluster.advance(2 * workspaceUseInterval)
	cluster.ask("e1", 10, message.OpSubmit, request(time.Second))
	cluster.advance(time.Second)
	refused := cluster.answer("e1", 10)
	assert.Equal(t, refused.Outcome, api.OutcomeNotRun)
	assert.Equal(t, refused.Error.Kind, fault.QuotaExceeded)
	cluster.advance(20 * time.Second)
	cluster.ask("e1", 11, message.OpSubmit, request(time.Second))
	cluster.advance(3 * time.Second)
	assert.Equal(t, cluster.answer("e1", 11).Outcome, api.OutcomeCompleted)
}
