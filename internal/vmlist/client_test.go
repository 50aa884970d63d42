package vmlist_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
	"github.com/fulmarlatch/fulmarlatch/internal/vmlist"
)

// TestFollower guards against changes that are missed, repeated or reported as the
// whole list.
func TestFollower(t *testing.T) {
	lag := int64(10)
	p, err := standin.Start(standin.Config{VMs: standin.VMsConfig{LagMS: &lag},
		Workers: []standin.WorkerGroup{{Count: 2}}})
	assert.NilError(t, err)
	client := vmlist.NewClient(p.Addresses().VMs)
	lines := make(chan string, 10)
	follower := vmlist.NewFollower(client, func(vms []api.VM, full bool) {
		line := fmt.Sprint(full)
		for _, vm := range vms {
			line += fmt.Sprint(" ", vm.Name, " ", vm.Leaving, " ", vm.Gone)
		}
		lines <- line
	}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = follower.Run(ctx) })
	defer func() {
		cancel()
		assert.Check(t, p.Close())
		wg.Wait()
		client.Close()
	}()
	expect := func(want string) {
		t.Helper()
		select {
		case got := <-lines:
			assert.Equal(t, got, want)
		case <-time.After(20 * time.Second):
			t.Fatalf("no change %q", want)
		}
	}
	leaving := true
	expect("true worker-000 false false worker-001 false false")
	assert.NilError(t, p.SetWorker("worker-001", standin.WorkerFaults{Leaving: &leaving}))
	expect("false worker-001 true false")
	assert.NilError(t, p.SetWorker("worker-001", standin.WorkerFaults{Gone: true}))
	expect("false worker-001 true true")
	p.SetVM(api.VM{Name: "entry-1", Role: api.RoleEntry})
	expect("false entry-1 false false")
}
