package core

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestRandomFaults checks the guarantees of the core under random work and faults: no
// worker is overcommitted; a task runs in one place at a time; a non-idempotent request
// starts at most once; not_run is answered only for jobs that did not run; answers are
// complete and belong to the job. After the faults end, every request at a live
// process is answered.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cluster := newFakeCluster(3, rapid.IntRange(1, 5).Draw(rt, "workers"))
		cluster.setLogRetention(400)
		cluster.advance(2 * time.Second)
		f := &faultDriver{cluster: cluster, rt: rt, asked: make(map[string][]uint64), incarnation: 1}
		for range rapid.IntRange(5, 40).Draw(rt, "moves") {
			f.randomAction()
			f.advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "steps")) * TickInterval)
		}
		f.heal()
		f.advance(20 * time.Second)
		f.cancelServices()
		f.advance(20 * time.Second)
		f.cancelServices()
		f.advance(4 * time.Minute)
		assert.Equal(rt, len(cluster.violations), 0, "%v", cluster.violations)
		f.checkAnswered()
	})
}

// faultDriver applies random operations and faults to a simulation.
type faultDriver struct {
	cluster     *fakeCluster
	rt          *rapid.T
	token       uint64
	asked       map[string][]uint64 // tokens by process and incarnation
	ids         []string
	incarnation uint64
}

func (f *faultDriver) process() string {
	return rapid.SampledFrom([]string{"e0", "e1", "e2"}).Draw(f.rt, "process")
}

func (f *faultDriver) randomAction() {
	cluster, rt := f.cluster, f.rt
	name := f.process()
	p := cluster.procs[name]
	switch rapid.IntRange(0, 24).Draw(rt, "move") {
	case 0:
		if p.alive {
			cluster.kill(name)
		}
	case 9:
		f.stop(p)
	case 10:
		f.changeWorker(f.worker())
	case 11:
		f.changeBundle()
	case 12:
		w := cluster.workers[f.worker()]
		w.fails = !w.fails
	case 13:
		pair := [2]string{name, f.worker()}
		cluster.unreachable[pair] = !cluster.unreachable[pair]
	case 14:
		f.disconnectCaller(p)
	case 1:
		if !p.alive {
			f.incarnation++
			cluster.start(name, f.incarnation)
		}
	case 2:
		f.pauseOrResume(name)
	case 3:
		pair := [2]string{name, f.process()}
		cluster.cutLinks[pair] = !cluster.cutLinks[pair]
	case 4:
		cluster.logUp = !cluster.logUp
	case 5:
		cluster.loseAcks = !cluster.loseAcks
	case 6:
		cluster.restartWorker(f.worker())
	case 7:
		w := cluster.workers[f.worker()]
		w.down = !w.down
	case 8:
		f.cancel(name)
	default:
		f.submit(name)
	}
}

func (f *faultDriver) worker() string {
	return fmt.Sprintf("w%02d", rapid.IntRange(0, len(f.cluster.workers)-1).Draw(f.rt, "worker"))
}

func (f *faultDriver) submit(name string) {
	p := f.cluster.procs[name]
	if !p.running() || p.stopped {
		return
	}
	kind := rapid.SampledFrom([]api.Kind{api.KindRequest, api.KindRequest, api.KindBatch, api.KindGang, api.KindService}).Draw(f.rt, "kind")
	job := batch(kind, 1, time.Duration(rapid.IntRange(0, 8000).Draw(f.rt, "run_ms"))*time.Millisecond)
	job.Idempotent = rapid.Bool().Draw(f.rt, "idempotent")
	if kind != api.KindRequest {
		job.Tasks = rapid.IntRange(1, 4).Draw(f.rt, "tasks")
	} else {
		job.Class = "urgent"
	}
	switch rapid.IntRange(0, 3).Draw(f.rt, "identity") {
	case 0:
		job.Key = fmt.Sprintf("key-%d-%s", rapid.IntRange(0, 3).Draw(f.rt, "key"), kind)
	case 1:
		if kind == api.KindRequest {
			job.ID = f.mintedID()
		}
	}
	f.token++
	f.asked[p.ref.String()] = append(f.asked[p.ref.String()], f.token)
	f.cluster.ask(name, f.token, message.OpSubmit, job)
}

// mintedID returns a new ID, or one that was returned before, as in a retry.
func (f *faultDriver) mintedID() string {
	p := f.cluster.procs[f.process()]
	if len(f.ids) > 0 && rapid.Bool().Draw(f.rt, "retry") {
		return rapid.SampledFrom(f.ids).Draw(f.rt, "id")
	}
	id, err := p.core.MintID(f.cluster.now)
	assert.NilError(f.rt, err)
	f.ids = append(f.ids, id)
	return id
}

func (f *faultDriver) cancel(name string) {
	ids := append(f.cluster.acceptedIDs(""), f.ids...)
	if len(ids) == 0 || !f.cluster.procs[name].running() {
		return
	}
	f.token++
	id := rapid.SampledFrom(ids).Draw(f.rt, "cancelled")
	f.cluster.ask(name, f.token, message.OpCancel, api.Job{ID: id, Workspace: "a"})
}

// heal ends all faults and replaces the processes that are down.
func (f *faultDriver) heal() {
	f.cluster.logUp = true
	f.cluster.loseAcks = false
	clear(f.cluster.cutLinks)
	clear(f.cluster.unreachable)
	for _, name := range sortedKeys(f.cluster.workers) {
		w := f.cluster.workers[name]
		w.down, w.fails = false, false
		w.vm.Gone, w.vm.Leaving = false, false
		f.cluster.reportVM(w.vm)
	}
	f.cluster.rollBundle(testBundle())
	for _, name := range sortedKeys(f.cluster.procs) {
		p := f.cluster.procs[name]
		p.paused = false
		if !p.alive {
			f.incarnation++
			f.cluster.start(name, f.incarnation)
		}
	}
}
