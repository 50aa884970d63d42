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

// Platform is a set of running stand-ins. Its methods are safe for concurrent use.
type Platform struct {
	addresses Addresses
	cancel    context.CancelFunc
	ctx       context.Context
	log       *logService
	vms       *vmList
	workers   map[string]*worker // by name
	byPort    map[int]*worker    // by port of the worker's listener
	history   *history
	servers   []*server
	sweeper   conc.WaitGroup // of the goroutine that runs sweep
}

// Start starts the stand-ins. The error is an Unavailable fault if a listener cannot
// be opened.
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
		_ = p.Close() // the error of listen is the one to report
		return nil, err
	}
	p.sweeper.Go(p.sweep)
	return p, nil
}

// Addresses returns the actual addresses of the stand-ins.
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
		w.setFaults(WorkerFaults{Gone: true}) // stops the timers of its tasks
	}
	return errors.Join(errs...)
}

// listen opens all listeners and serves them. One server serves all workers.
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

// addWorker adds worker i of a group and returns its listener.
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

// serveOne serves routes on one address and stores the actual address.
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

// serve starts a server and keeps it for Close.
func (p *Platform) serve(s *server, listeners ...net.Listener) {
	s.start(listeners...)
	p.servers = append(p.servers, s)
}

// listenOn opens a listener. The error is an Unavailable fault.
func listenOn(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "cannot listen on "+address, "free the address or use port 0")
	}
	return l, nil
}

// closeAll closes the listeners.
func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

// sweep sweeps all workers at intervals until the platform is closed.
func (p *Platform) sweep() {
	for clock.Sleep(p.ctx, sweepInterval) {
		now := time.Now()
		for _, w := range p.workers {
			w.sweep(now)
		}
	}
}

// SetLogFaults replaces the injected faults of the log service.
func (p *Platform) SetLogFaults(f LogFaults) { p.log.setFaults(f) }

// SetWorkerFaults sets the injected faults of the worker name and updates its entry in
// the VM list. The error is a NotFound fault if there is no such worker.
func (p *Platform) SetWorkerFaults(name string, f WorkerFaults) error {
	w := p.workers[name]
	if w == nil {
		return fault.New(fault.NotFound, "there is no worker "+name, "see GET /admin/addresses")
	}
	w.setFaults(f)
	if f.Leaving != nil {
		p.vms.modify(name, func(vm *api.VM) { vm.Leaving = *f.Leaving })
	}
	if f.Gone || f.Restart {
		p.vms.modify(name, func(vm *api.VM) { vm.Gone = f.Gone })
	}
	return nil
}

// SetVM adds or replaces an entry of the VM list. The list shows it after its lag.
func (p *Platform) SetVM(vm api.VM) { p.vms.set(vm) }

// History returns the runs starting at number from.
func (p *Platform) History(from uint64) HistoryPage { return p.history.page(from) }

// Violations returns the violations of invariants that were detected.
func (p *Platform) Violations() []Violation { return p.history.allViolations() }
