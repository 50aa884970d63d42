package test

import (
	"testing"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// faultSeed is the random seed of the callers' requests.
const faultSeed = 11

// TestGuaranteesUnderFaults guards against violated guarantees while a fault acts on a
// loaded cell: a worker over its capacity, one task on two workers at once, a
// truncated or mixed-up answer, the outcome not_run for a job that ran, and a second
// run of a non-idempotent request. Requests must complete during and after the fault.
func TestGuaranteesUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(c *cell, w *workload)
	}{
		{"entry process killed", func(c *cell, w *workload) {
			c.kill("entry-0")
		}},
		{"two entry processes killed at once", func(c *cell, w *workload) {
			c.kill("entry-0")
			c.kill("entry-1")
		}},
		{"entry process killed, replaced and killed again", func(c *cell, w *workload) {
			c.kill("entry-0")
			c.startEntry("entry-0")
			c.awaitReady()
			w.awaitProgress(20)
			c.kill("entry-0")
		}},
		{"entry process paused past its leases", func(c *cell, w *workload) {
			c.entries["entry-1"].pause(c.t)
			c.awaitHeldBy(4, "entry-0", "entry-2")
			c.entries["entry-1"].resume(c.t)
		}},
		{"entry process paused twice", func(c *cell, w *workload) {
			for range 2 {
				c.entries["entry-2"].pause(c.t)
				c.awaitHeldBy(4, "entry-0", "entry-1")
				c.entries["entry-2"].resume(c.t)
				w.awaitProgress(20)
			}
		}},
		{"peer link cut", func(c *cell, w *workload) {
			c.entries["entry-2"].peers.set(proxyFaults{Cut: true})
			c.awaitLinks("entry-2", 0)
			w.awaitProgress(20)
			c.entries["entry-2"].peers.set(proxyFaults{})
		}},
		{"peer link cut in one direction", func(c *cell, w *workload) {
			c.entries["entry-2"].peers.set(proxyFaults{DropToServer: true})
			c.awaitLinks("entry-2", 0)
			w.awaitProgress(20)
			c.entries["entry-2"].peers.set(proxyFaults{})
		}},
		{"peer links slow", func(c *cell, w *workload) {
			for _, e := range c.entries {
				e.peers.set(proxyFaults{Delay: 30 * time.Millisecond, BytesPerSecond: 4 << 20})
			}
		}},
		{"log down", func(c *cell, w *workload) {
			c.platform.SetLogFaults(standin.LogFaults{Down: true})
		}},
		{"worker restarted empty", func(c *cell, w *workload) {
			c.setWorkerFaults("worker-000", standin.WorkerFaults{Restart: true})
		}},
		{"worker silent past its lease", func(c *cell, w *workload) {
			c.setWorkerFaults("worker-001", standin.WorkerFaults{PauseMS: 5000})
		}},
		{"holder killed while a worker is silent", func(c *cell, w *workload) {
			c.setWorkerFaults("worker-001", standin.WorkerFaults{PauseMS: 4000})
			c.kill("entry-1")
		}},
		{"worker gone", func(c *cell, w *workload) {
			c.setWorkerFaults("worker-003", standin.WorkerFaults{Gone: true})
			w.awaitProgress(20)
			c.setWorkerFaults("worker-003", standin.WorkerFaults{Restart: true})
		}},
		{"failure domain lost and back", func(c *cell, w *workload) {
			lost := []string{"worker-000", "worker-003"}
			c.kill("entry-0")
			for _, name := range lost {
				c.setWorkerFaults(name, standin.WorkerFaults{Gone: true})
			}
			c.awaitHeld(2)
			w.awaitProgress(50)
			for _, name := range lost {
				c.setWorkerFaults(name, standin.WorkerFaults{Restart: true})
			}
		}},
		{"failure domain silent", func(c *cell, w *workload) {
			c.entries["entry-0"].pause(c.t)
			c.setWorkerFaults("worker-000", standin.WorkerFaults{PauseMS: 8000})
			c.setWorkerFaults("worker-003", standin.WorkerFaults{PauseMS: 8000})
			c.awaitLinks("entry-1", 1)
			c.awaitLinks("entry-2", 1)
			c.entries["entry-0"].resume(c.t)
		}},
		{"worker fails everything", func(c *cell, w *workload) {
			c.setWorkerFaults("worker-002", standin.WorkerFaults{FailAll: pointer(true)})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, defaultOptions())
			c.awaitPreferredHolders() // so that every entry process is a holder
			w := c.startWorkload(faultSeed)
			w.awaitProgress(50)
			test.fault(c, w)
			w.awaitProgress(50)
			c.awaitSettled(4)
			w.finish()
		})
	}
}

// pointer returns a pointer to a copy of v.
func pointer[T any](v T) *T { return &v }
