package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/vmlist"
)

// vmList is the platform's list of VMs. Changes are published after the lag, in
// the order in which they were made.
type vmList struct {
	ctx context.Context
	lag time.Duration

	mu       sync.Mutex
	real     map[string]api.VM
	pending  []api.VM
	shown    map[string]shownVM
	version  uint64
	modified broadcast
}

type shownVM struct {
	vm      api.VM
	version uint64 // of the last change
}

func newVMList(ctx context.Context, lag time.Duration) *vmList {
	return &vmList{ctx: ctx, lag: lag, real: map[string]api.VM{}, shown: map[string]shownVM{},
		version: 1, modified: make(broadcast)}
}

func (l *vmList) routes(app *fiber.App) {
	app.Get("/v1/vms", func(c fiber.Ctx) error {
		since := fiber.Query[uint64](c, "since")
		wait := milliseconds(fiber.Query[int64](c, "wait_ms"))
		response, modified := l.read(since)
		if !response.Full && len(response.VMs) == 0 && wait > 0 {
			waitFor(l.ctx, modified, wait)
			response, _ = l.read(since)
		}
		return c.JSON(response)
	})
}

// add lists vm at once; for the time before the service starts.
func (l *vmList) add(vm api.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.real[vm.Name] = vm
	l.show(vm)
}

// set changes or adds vm; the list shows it after the lag.
func (l *vmList) set(vm api.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.change(vm)
}

// mark changes a VM by f; it returns false if there is none of that name.
func (l *vmList) mark(name string, f func(vm *api.VM)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	vm, ok := l.real[name]
	if ok {
		f(&vm)
		l.change(vm)
	}
	return ok
}

func (l *vmList) change(vm api.VM) {
	l.real[vm.Name] = vm
	l.pending = append(l.pending, vm)
	time.AfterFunc(l.lag, l.publish)
}

func (l *vmList) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.show(l.pending[0])
	l.pending = l.pending[1:]
}

func (l *vmList) show(vm api.VM) {
	l.version++
	l.shown[vm.Name] = shownVM{vm, l.version}
	l.modified.wake()
}

func (l *vmList) read(since uint64) (vmlist.Response, broadcast) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := since == 0 || since > l.version
	response := vmlist.Response{Version: l.version, Full: full, VMs: []api.VM{}}
	for _, s := range l.shown {
		if full && !s.vm.Gone || !full && s.version > since {
			response.VMs = append(response.VMs, s.vm)
		}
	}
	sort.Slice(response.VMs, func(i, j int) bool { return response.VMs[i].Name < response.VMs[j].Name })
	return response, l.modified
}
