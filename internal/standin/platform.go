package standin

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Addresses are the actual addresses (host:port) of running stand-ins.
type Addresses struct {
	Admin   string            `json:"admin"`
	Log     string            `json:"log"`
	VMs     string            `json:"vms"`
	Workers map[string]string `json:"workers"`
}

// Platform is a set of running stand-ins.
type Platform struct {
	addresses Addresses
	cancel    context.CancelFunc
	ctx       context.Context
	log       *logService
	vms       *vmList
	workers   map[string]*worker
	byPort    map[int]*worker
	history   *history
	servers   []*server
	sweeper   conc.WaitGroup
}

// Start starts the stand-ins. The error is an Unavailable fault if an address
// is in use.
func Start(config Config) (*Platform, error) {
	config.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{ctx: ctx, cancel: cancel,
		log:     newLog(ctx, config.Log),
		vms:     newVMList(ctx, milliseconds(*config.VMs.LagMS)),
		workers: map[string]*worker{}, byPort: map[int]*worker{},
		history: newHistory(config.HistoryRuns)}
	p.addresses.Workers = map[string]string{}
	if err := p.listen(config); err != nil {
		_ = p.Close() // the first error is the one to report
		return nil, err
	}
	p.sweeper.Go(p.sweep)
	return p, nil
}

// Addresses returns the actual addresses.
func (p *Platform) Addresses() Addresses { return p.addresses }

// Close stops all stand-ins and waits for their goroutines.
func (p *Platform) Close() error {
	p.cancel()
	var errs []error
	for _, s := range p.servers {
		errs = append(errs, s.stop())
	}
	p.sweeper.Wait()
	for _, w := range p.workers {
		w.set(WorkerFaults{Gone: true}) // stops the timers of its tasks
	}
	return errors.Join(errs...)
}

func (p *Platform) listen(config Config) error {
	for _, vm := range config.VMs.Entries {
		p.vms.add(vm)
	}
	var listeners []net.Listener
	for _, group := range config.Workers {
		for i := range group.Count {
			l, err := p.addWorker(group, i)
			if err != nil {
				closeAll(listeners)
				return err
			}
			listeners = append(listeners, l)
		}
	}
	s := newServer()
	(&workerAPI{byPort: p.byPort}).routes(s.app)
	p.serve(s, listeners...)
	return errors.Join(
		p.serveOne(config.Log.Address, &p.addresses.Log, func(s *server) { p.log.routes(s.app) }),
		p.serveOne(config.VMs.Address, &p.addresses.VMs, func(s *server) { p.vms.routes(s.app) }),
		p.serveOne(config.Admin, &p.addresses.Admin, func(s *server) { p.adminRoutes(s.app) }))
}

func (p *Platform) addWorker(group WorkerGroup, i int) (net.Listener, error) {
	port := 0
	if group.FirstPort > 0 {
		port = group.FirstPort + i
	}
	l, err := listenOn(net.JoinHostPort(group.Host, strconv.Itoa(port)))
	if err != nil {
		return nil, err
	}
	vm := group.vm(i)
	vm.Address = l.Addr().String()
	w := newWorker(p.ctx, vm.Name, vm.Capacity, milliseconds(group.UsageLagMS), p.history)
	p.workers[vm.Name] = w
	p.byPort[l.Addr().(*net.TCPAddr).Port] = w
	p.addresses.Workers[vm.Name] = vm.Address
	p.vms.add(vm)
	return l, nil
}

func (p *Platform) serveOne(address string, actual *string, routes func(s *server)) error {
	l, err := listenOn(address)
	if err != nil {
		return err
	}
	*actual = l.Addr().String()
	s := newServer()
	routes(s)
	p.serve(s, l)
	return nil
}

func (p *Platform) serve(s *server, listeners ...net.Listener) {
	s.start(listeners...)
	p.servers = append(p.servers, s)
}

func listenOn(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "cannot listen on "+address, "free the address or use port 0")
	}
	return l, nil
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

func (p *Platform) sweep() {
	for clock.Sleep(p.ctx, sweepInterval) {
		now := time.Now()
		for _, w := range p.workers {
			w.sweep(now)
		}
	}
}

// SetLog replaces the faults of the log service.
func (p *Platform) SetLog(f LogFaults) { p.log.set(f) }

// SetWorker sets faults of the worker name. The error is NotFound if there is
// no such worker.
func (p *Platform) SetWorker(name string, f WorkerFaults) error {
	w := p.workers[name]
	if w == nil {
		return fault.New(fault.NotFound, "there is no worker "+name, "see GET /admin/addresses")
	}
	w.set(f)
	if f.Leaving != nil {
		p.vms.mark(name, func(vm *api.VM) { vm.Leaving = *f.Leaving })
	}
	if f.Gone || f.Restart {
		p.vms.mark(name, func(vm *api.VM) { vm.Gone = f.Gone })
	}
	return nil
}

// SetVM changes or adds an entry of the VM list, after its lag.
func (p *Platform) SetVM(vm api.VM) { p.vms.set(vm) }

// History returns the runs from number from on.
func (p *Platform) History(from uint64) HistoryPage { return p.history.page(from) }

// Violations returns the violations of invariants that the workers have seen.
func (p *Platform) Violations() []Violation { return p.history.broken() }
