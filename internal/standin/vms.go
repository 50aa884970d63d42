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

// vmList is the stand-in for the platform's VM list. Changes are published after the
// lag, in the order in which they were made.
type vmList struct {
	ctx context.Context
	lag time.Duration

	mu        sync.Mutex             // guards the fields below
	current   map[string]api.VM      // with unpublished changes, by name
	pending   []api.VM               // unpublished changes, oldest first
	published map[string]publishedVM // by name
	version   uint64                 // of the last published change
	modified  broadcast              // wakes readers after a published change
}

// publishedVM is an entry as readers see it.
type publishedVM struct {
	vm      api.VM
	version uint64 // of the last change
}

func newVMList(ctx context.Context, lag time.Duration) *vmList {
	return &vmList{ctx: ctx, lag: lag, current: map[string]api.VM{}, published: map[string]publishedVM{},
		version: 1, modified: make(broadcast)}
}

// routes adds the route that reads the list.
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

// add lists vm without the lag. It is used before the service starts.
func (l *vmList) add(vm api.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[vm.Name] = vm
	l.publish(vm)
}

// set adds or replaces vm. The list shows it after the lag.
func (l *vmList) set(vm api.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.change(vm)
}

// modify applies f to the VM of that name. It reports false if there is none.
func (l *vmList) modify(name string, f func(vm *api.VM)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	vm, ok := l.current[name]
	if ok {
		f(&vm)
		l.change(vm)
	}
	return ok
}

// change stores vm and schedules its publication. l.mu must be held.
func (l *vmList) change(vm api.VM) {
	l.current[vm.Name] = vm
	l.pending = append(l.pending, vm)
	time.AfterFunc(l.lag, l.publishNext)
}

// publishNext publishes the oldest pending change.
func (l *vmList) publishNext() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publish(l.pending[0])
	l.pending = l.pending[1:]
}

// publish makes vm visible under a new version. l.mu must be held.
func (l *vmList) publish(vm api.VM) {
	l.version++
	l.published[vm.Name] = publishedVM{vm, l.version}
	l.modified.wake()
}

// read returns the changes after version since, or the whole list if since is 0 or
// unknown, and the broadcast of the next change.
func (l *vmList) read(since uint64) (vmlist.Response, broadcast) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := since == 0 || since > l.version
	response := vmlist.Response{Version: l.version, Full: full, VMs: []api.VM{}}
	for _, s := range l.published {
		if full && !s.vm.Gone || !full && s.version > since {
			response.VMs = append(response.VMs, s.vm)
		}
	}
	sort.Slice(response.VMs, func(i, j int) bool { return response.VMs[i].Name < response.VMs[j].Name })
	return response, l.modified
}
