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

// TestRandomFaults guards the promises of the core under random work and faults:
// capacity, one place at a time, at most once for non-idempotent requests,
// not_run only for what did not run, whole own answers. After the faults stop,
// every request at a live process is answered.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cell := newFakeCell(3, rapid.IntRange(1, 5).Draw(rt, "workers"))
		cell.limitLog(400)
		cell.advance(2 * time.Second)
		f := &faultDriver{cell: cell, rt: rt, asked: make(map[string][]uint64), incarnation: 1}
		for range rapid.IntRange(5, 40).Draw(rt, "moves") {
			f.move()
			f.advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "steps")) * TickInterval)
		}
		f.heal()
		f.advance(20 * time.Second)
		f.cancelServices()
		f.advance(20 * time.Second)
		f.cancelServices()
		f.advance(4 * time.Minute)
		assert.Equal(rt, len(cell.problems), 0, "%v", cell.problems)
		f.checkAnswered()
	})
}

// faultDriver makes random moves on a cell.
type faultDriver struct {
	cell        *fakeCell
	rt          *rapid.T
	token       uint64
	asked       map[string][]uint64 // tokens by process and incarnation
	ids         []string
	incarnation uint64
}

func (f *faultDriver) process() string {
	return rapid.SampledFrom([]string{"e0", "e1", "e2"}).Draw(f.rt, "process")
}

func (f *faultDriver) move() {
	cell, rt := f.cell, f.rt
	name := f.process()
	p := cell.procs[name]
	switch rapid.IntRange(0, 24).Draw(rt, "move") {
	case 0:
		if p.alive {
			cell.kill(name)
		}
	case 9:
		f.stop(p)
	case 10:
		f.changeWorker(f.worker())
	case 11:
		f.changeBundle()
	case 12:
		w := cell.workers[f.worker()]
		w.fails = !w.fails
	case 13:
		pair := [2]string{name, f.worker()}
		cell.unreachable[pair] = !cell.unreachable[pair]
	case 14:
		f.loseCaller(p)
	case 1:
		if !p.alive {
			f.incarnation++
			cell.start(name, f.incarnation)
		}
	case 2:
		f.pauseOrResume(name)
	case 3:
		pair := [2]string{name, f.process()}
		cell.cut[pair] = !cell.cut[pair]
	case 4:
		cell.logUp = !cell.logUp
	case 5:
		cell.loseAcks = !cell.loseAcks
	case 6:
		cell.restartWorker(f.worker())
	case 7:
		w := cell.workers[f.worker()]
		w.down = !w.down
	case 8:
		f.cancel(name)
	default:
		f.submit(name)
	}
}

func (f *faultDriver) worker() string {
	return fmt.Sprintf("w%02d", rapid.IntRange(0, len(f.cell.workers)-1).Draw(f.rt, "worker"))
}

func (f *faultDriver) submit(name string) {
	p := f.cell.procs[name]
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
	f.cell.ask(name, f.token, message.OpSubmit, job)
}

// mintedID returns a new id, or one that was used before, as in a retry.
func (f *faultDriver) mintedID() string {
	p := f.cell.procs[f.process()]
	if len(f.ids) > 0 && rapid.Bool().Draw(f.rt, "retry") {
		return rapid.SampledFrom(f.ids).Draw(f.rt, "id")
	}
	id, err := p.core.MintID(f.cell.now)
	assert.NilError(f.rt, err)
	f.ids = append(f.ids, id)
	return id
}

func (f *faultDriver) cancel(name string) {
	ids := append(f.cell.acceptedIDs(""), f.ids...)
	if len(ids) == 0 || !f.cell.procs[name].running() {
		return
	}
	f.token++
	id := rapid.SampledFrom(ids).Draw(f.rt, "cancelled")
	f.cell.ask(name, f.token, message.OpCancel, api.Job{ID: id, Workspace: "a"})
}

// heal ends all faults and replaces dead processes.
func (f *faultDriver) heal() {
	f.cell.logUp = true
	f.cell.loseAcks = false
	clear(f.cell.cut)
	clear(f.cell.unreachable)
	for _, name := range sortedKeys(f.cell.workers) {
		w := f.cell.workers[name]
		w.down, w.fails = false, false
		w.vm.Gone, w.vm.Leaving = false, false
		f.cell.listVM(w.vm)
	}
	f.cell.putInForce(testBundle())
	for _, name := range sortedKeys(f.cell.procs) {
		p := f.cell.procs[name]
		p.paused = false
		if !p.alive {
			f.incarnation++
			f.cell.start(name, f.incarnation)
		}
	}
}
