package test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/vmlist"
)

// startBehindProxy starts a cell with one worker behind a proxy. The worker is in
// the failure domain of entry-0, which is its holder.
func startBehindProxy(t *testing.T) (*cell, *proxy) {
	t.Helper()
	o := defaultOptions()
	o.entries, o.workers = 2, 1
	c := newCell(t, o)
	link := startProxy(t, c.platform.Addresses().Workers["worker-000"])
	c.platform.SetVM(api.VM{Name: "worker-000", Role: api.RoleWorker, Address: link.address(), Domain: "a",
		Region: "r", Rack: "a-rack-0", Capacity: o.capacity})
	list := vmlist.NewClient(c.platform.Addresses().VMs)
	t.Cleanup(list.Close)
	c.await("the VM list to show the proxy's address", func() bool {
		response, err := list.Changes(context.Background(), 0, 0)
		return err == nil && len(response.VMs) == 1 && response.VMs[0].Address == link.address()
	})
	c.startEntry("entry-0")
	c.roll(o.bundle)
	c.awaitReady()
	c.awaitHeld(1)
	c.startEntry("entry-1")
	c.awaitReady()
	c.awaitHeld(1)
	return c, link
}

// TestDelayedStartIsRefused guards against a second run of a task when the start
// request of a killed holder reaches the worker after the next holder got the lease.
func TestDelayedStartIsRefused(t *testing.T) {
	t.Parallel()
	c, link := startBehindProxy(t)
	link.set(proxyFaults{DropToServer: true})
	s := &submissions{c: c}
	s.submitAll("entry-1", 6, request(4*time.Second, 100))
	c.await("the start requests to be sent", func() bool { return c.entries["entry-0"].dump().Core.Attempts.Held == 6 })
	c.kill("entry-0")
	link.delayOpen()
	c.await("the requests to run under the next holder", func() bool { return len(c.platform.History(0).Runs) == 6 })
	link.deliverDelayed()
	for _, r := range s.awaitAll() {
		c.checkAnswer(r.job, r.answer)
		assert.Equal(t, c.runs(r.answer.JobID), 1)
	}
	c.checkWorkers()
}

// TestTakeoverKeepsCapacity guards against a holder that takes over workers with
// running tasks and treats them as empty, which would exceed their capacity.
func TestTakeoverKeepsCapacity(t *testing.T) {
	t.Parallel()
	c := startCell(t, defaultOptions())
	c.awaitPreferredHolders()
	s := &submissions{c: c}
	for _, class := range []string{"urgent", "bulk"} {
		j := request(4*time.Second, 100)
		j.Class = class
		s.submitAll("entry-1", 20, j)
		s.submitAll("entry-2", 20, j)
	}
	c.await("the cell to be full", func() bool {
		for _, e := range c.entries {
			for _, w := range e.dump().Core.Held {
				if w.Free.CPUMilli >= 500 && w.Free.Slots > 0 {
					return false
				}
			}
		}
		return len(c.platform.History(0).Runs) > 0
	})
	c.kill("entry-0")
	for _, r := range s.awaitAll() {
		c.checkAnswer(r.job, r.answer)
	}
	c.checkWorkers()
}
