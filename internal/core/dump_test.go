package core

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestDumpIsACopy guards against a dump that shares memory with the core. The operator
// listener encodes it in another goroutine, and a map that changes meanwhile ends the
// process.
func TestDumpIsACopy(t *testing.T) {
	cluster := warmCluster(t, 2, 2)
	core := cluster.procs["e0"].core
	work := func(first uint64) {
		for i := range uint64(4) {
			cluster.ask("e0", first+i, message.OpSubmit, request(time.Second))
			cluster.ask("e0", first+4+i, message.OpSubmit, batch(api.KindBatch, 3, time.Second))
		}
		cluster.advance(3 * time.Second)
		core.counters.count(api.OutcomeFailed)
		core.counters.countRefusal(fault.NoCapacity)
	}
	work(1)
	dump, counters := core.Dump(), core.Counters()
	before, err := json.Marshal([]any{dump, counters})
	assert.NilError(t, err)
	work(100)
	after, err := json.Marshal([]any{dump, counters})
	assert.NilError(t, err)
	assert.Equal(t, string(after), string(before))
}
