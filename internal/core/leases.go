package core

import (
	"strconv"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/placement"
)

// workers is what this process knows of the platform's workers.
type workers struct {
	byName map[string]*workerState
	// wanted are the workers that this process should hold and does not.
	wanted map[string]*workerState
	// fallback are the workers of which this process is the second choice.
	fallback map[string]*workerState
	// misplaced are held workers whose preferred holder is another process.
	misplaced map[string]*workerState
	// shapes counts live workers by capacity.
	shapes    map[api.Resources]int
	heldCount int
}

// leasePhase is the state of a worker's lease as this process sees it.
type leasePhase int

const (
	leaseNone leasePhase = iota
	leaseAcquiring
	leaseHeld
	leaseReleasing
)

// workerState is one worker of the VM list.
type workerState struct {
	vm        api.VM
	phase     leasePhase
	epoch     uint64
	boot      uint64
	heldSince time.Time
	nextTry   time.Time
	backoff   time.Duration
	preferred api.EntryRef
	asSecond  bool // acquired as the second choice
}

// isBefore reports whether the worker was granted under a later lease than the one
// held here, so that this process has lost its lease without knowing it yet.
func (w *workerState) isBefore(boot, epoch uint64) bool {
	return w.boot < boot || w.boot == boot && w.epoch < epoch
}

const (
	// minBackoff and maxBackoff bound the pause before an unreachable worker is
	// asked again for its lease.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// minHold is how long a lease is kept before it is handed over, so that a
	// process which comes and goes does not move its workers each time.
	minHold = 3 * time.Second
	// secondHold is how long the second choice keeps a worker that it acquired
	// because the preferred holder did not. The preferred holder may be unable to
	// reach the worker, and each vain handover leaves it unused for
	// fallbackInterval and more.
	secondHold = 2 * time.Minute
	// fallbackInterval is the pause between two tries of the second choice for a
	// worker's lease. It finds a worker that its preferred holder cannot reach.
	fallbackInterval = 10 * time.Second
)

func newWorkers() workers {
	return workers{
		byName:    make(map[string]*workerState),
		wanted:    make(map[string]*workerState),
		fallback:  make(map[string]*workerState),
		misplaced: make(map[string]*workerState),
		shapes:    make(map[api.Resources]int),
	}
}

func (c *Core) changeVMs(e VMsChanged) {
	seen := make(map[string]bool, len(e.VMs))
	for _, vm := range e.VMs {
		seen[vm.Name] = true
		c.changeVM(vm)
	}
	if e.Full {
		c.removeUnlisted(seen)
	}
	c.setCellCapacity()
	c.chooseHolders()
}

func (c *Core) removeUnlisted(listed map[string]bool) {
	for _, name := range sortedKeys(c.workers.byName) {
		if !listed[name] {
			c.removeWorker(c.workers.byName[name])
		}
	}
}

func (c *Core) changeVM(vm api.VM) {
	if vm.Role == api.RoleEntry {
		c.members.leaving[vm.Name] = vm.Leaving || vm.Gone
		return
	}
	w := c.workers.byName[vm.Name]
	if vm.Gone {
		if w != nil {
			c.removeWorker(w)
		}
		return
	}
	if w == nil {
		w = &workerState{}
		c.workers.byName[vm.Name] = w
	}
	w.vm = vm
	c.pool.SetLeaving(vm.Name, vm.Leaving)
}

// removeWorker forgets a worker that no longer exists. What ran there is over.
func (c *Core) removeWorker(w *workerState) {
	name := w.vm.Name
	if w.phase == leaseHeld {
		// The list may be wrong; a lease that is renewed on and on would keep the
		// worker from everyone.
		c.releaseLease(w)
	}
	if w.phase == leaseReleasing {
		c.dropHeld(w)
	}
	for _, set := range []map[string]*workerState{c.workers.byName, c.workers.wanted, c.workers.fallback, c.workers.misplaced} {
		delete(set, name)
	}
	c.logEvent("worker_gone", Field{"worker", name})
	c.workerGone(name)
}

func (c *Core) setCellCapacity() {
	clear(c.workers.shapes)
	var cell api.Resources
	for _, w := range c.workers.byName {
		if !w.vm.Leaving {
			cell = cell.Add(w.vm.Capacity)
			c.workers.shapes[w.vm.Capacity]++
		}
	}
	c.queue.SetCapacity(cell)
}

// chooseHolders decides anew which workers this process should hold. It runs
// when membership, the VM list or the bundle changes.
func (c *Core) chooseHolders() {
	if c.policy == nil {
		return
	}
	list := c.candidates()
	for _, name := range sortedKeys(c.workers.byName) {
		c.chooseHolder(list, c.workers.byName[name])
	}
}

// chooseHolder decides whether this process should hold one worker.
func (c *Core) chooseHolder(list []candidate, w *workerState) {
	name := w.vm.Name
	wasWanted := c.workers.wanted[name] != nil
	wasFallback := c.workers.fallback[name] != nil
	delete(c.workers.wanted, name)
	delete(c.workers.fallback, name)
	delete(c.workers.misplaced, name)
	first, second := choose(list, name, w.vm.Domain)
	w.asSecond = w.asSecond && first == w.preferred
	w.preferred = first
	isHeld := w.phase == leaseHeld || w.phase == leaseReleasing
	switch {
	case first == c.cfg.Self && !isHeld:
		c.workers.wanted[name] = w
		if !wasWanted {
			w.nextTry = c.now
		}
	case first != c.cfg.Self && isHeld:
		c.workers.misplaced[name] = w
	case second == c.cfg.Self && !isHeld:
		c.workers.fallback[name] = w
		if !wasFallback {
			w.nextTry = c.now.Add(fallbackInterval + c.jitter(fallbackInterval))
		}
	}
}

// pursueLeases asks for wanted leases and hands misplaced ones over.
func (c *Core) pursueLeases() {
	if c.policy == nil {
		return
	}
	for _, name := range sortedKeys(c.workers.wanted) {
		c.tryAcquire(c.workers.wanted[name])
	}
	for _, name := range sortedKeys(c.workers.fallback) {
		c.tryAcquire(c.workers.fallback[name])
	}
	for _, name := range sortedKeys(c.workers.misplaced) {
		w := c.workers.misplaced[name]
		if c.canHandOver(w) && !c.pool.HasReservations(name) {
			c.releaseLease(w)
		}
	}
}

func (c *Core) canHandOver(w *workerState) bool {
	if w.phase != leaseHeld {
		return false
	}
	if c.stopping {
		return true
	}
	hold := minHold
	if w.asSecond {
		hold = secondHold
	}
	return w.preferred != (api.EntryRef{}) && c.now.Sub(w.heldSince) >= hold
}

func (c *Core) tryAcquire(w *workerState) {
	if w.phase != leaseNone || c.now.Before(w.nextTry) {
		return
	}
	w.phase = leaseAcquiring
	w.asSecond = w.preferred != c.cfg.Self
	t := c.policy.timing
	c.emit(AcquireLease{
		Worker:    w.vm.Name,
		Address:   w.vm.Address,
		Lease:     t.workerLease,
		TaskLease: t.taskLease,
		Renew:     t.renew,
	})
}

func (c *Core) releaseLease(w *workerState) {
	w.phase = leaseReleasing
	c.emit(ReleaseLease{Worker: w.vm.Name, Epoch: w.epoch})
}

func (c *Core) leaseGranted(g api.Grant) {
	w := c.workers.byName[g.Worker]
	if w == nil || w.phase != leaseAcquiring {
		c.emit(ReleaseLease{Worker: g.Worker, Epoch: g.Epoch})
		return
	}
	w.phase = leaseHeld
	w.epoch, w.boot = g.Epoch, g.Boot
	w.heldSince = c.now
	w.backoff = 0
	c.workers.heldCount++
	delete(c.workers.wanted, g.Worker)
	delete(c.workers.fallback, g.Worker)
	if w.preferred != c.cfg.Self {
		c.workers.misplaced[g.Worker] = w
	}
	c.pool.Add(c.now, placement.Worker{
		Name: g.Worker, Domain: w.vm.Domain, Rack: w.vm.Rack,
		Capacity: g.Capacity, Epoch: g.Epoch, Boot: g.Boot,
	})
	c.pool.SetLeaving(g.Worker, w.vm.Leaving)
	c.logEvent("lease_granted", Field{"worker", g.Worker},
		Field{"epoch", strconv.FormatUint(g.Epoch, 10)},
		Field{"tasks", strconv.Itoa(len(g.Tasks))})
	c.adoptListed(w, g.Tasks)
	c.announce(w)
	c.queue.RoomFreed(c.now)
}

// announce tells every coordinator about a new lease, so that each asks for its
// attempts on earlier epochs of the worker.
func (c *Core) announce(w *workerState) {
	held := message.WorkerHeld{Worker: w.vm.Name, Epoch: w.epoch, Boot: w.boot}
	c.send(c.cfg.Self, held)
	for _, name := range sortedKeys(c.members.peers) {
		c.send(c.members.peers[name].ref, held)
	}
}

// announceHeld tells a peer with a new link about leases that it may have missed.
func (c *Core) announceHeld(to api.EntryRef) {
	for _, name := range sortedKeys(c.workers.byName) {
		w := c.workers.byName[name]
		if w.phase == leaseHeld {
			c.send(to, message.WorkerHeld{Worker: name, Epoch: w.epoch, Boot: w.boot})
		}
	}
}

func (c *Core) leaseRefused(e LeaseRefused) {
	w := c.workers.byName[e.Worker]
	if w == nil || w.phase != leaseAcquiring {
		return
	}
	w.phase = leaseNone
	if w.preferred != c.cfg.Self {
		w.nextTry = c.now.Add(fallbackInterval + c.jitter(fallbackInterval))
		return
	}
	if e.Holder != "" {
		w.backoff = 0
		w.nextTry = c.now.Add(min(e.Remaining, c.policy.timing.renew) + c.jitter(minBackoff))
		return
	}
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.nextTry = c.now.Add(c.jitter(w.backoff))
}

func (c *Core) leaseLost(name string, epoch uint64) {
	w := c.workers.byName[name]
	if w == nil || w.epoch != epoch || w.phase == leaseNone || w.phase == leaseAcquiring {
		return
	}
	c.logEvent("lease_lost", Field{"worker", name}, Field{"epoch", strconv.FormatUint(epoch, 10)})
	c.dropHeld(w)
	c.chooseHolder(c.candidates(), w)
}

func (c *Core) leaseReleased(e LeaseReleased) {
	w := c.workers.byName[e.Worker]
	if w == nil || w.phase != leaseReleasing || w.epoch != e.Epoch {
		return
	}
	c.logEvent("lease_released", Field{"worker", e.Worker}, Field{"epoch", strconv.FormatUint(e.Epoch, 10)})
	c.dropHeld(w)
	c.chooseHolder(c.candidates(), w)
	if w.preferred != (api.EntryRef{}) && w.preferred != c.cfg.Self {
		c.send(w.preferred, message.HandOver{Workers: []string{e.Worker}})
	}
}

// handedOver makes this process ask at once for workers that were released.
func (c *Core) handedOver(m message.HandOver) {
	for _, name := range m.Workers {
		if w := c.workers.byName[name]; w != nil && w.preferred == c.cfg.Self {
			w.nextTry = c.now
			w.backoff = 0
		}
	}
	c.pursueLeases()
}

// disownTasks tells the coordinators that their attempts on a worker have to be
// asked for at its next holder, which may take long to come.
func (c *Core) disownTasks(worker string) {
	for _, t := range sortedAttempts(c.held.byWorker[worker], anyAttempt) {
		if t.phase != heldEnded && t.spec.Coordinator != c.cfg.Self && c.isUp(t.spec.Coordinator) {
			c.send(t.spec.Coordinator, message.AttemptState{Attempt: t.spec.Attempt, Status: message.AttemptNotHeld})
		}
	}
}

// dropHeld forgets a lease that has ended. Reservations are void; attempts of
// this process on the worker have to be asked for at the next holder.
func (c *Core) dropHeld(w *workerState) {
	w.phase = leaseNone
	w.nextTry = c.now.Add(c.jitter(minBackoff))
	c.workers.heldCount--
	delete(c.workers.misplaced, w.vm.Name)
	c.pool.Remove(w.vm.Name)
	c.disownTasks(w.vm.Name)
	c.held.dropWorker(w.vm.Name)
	c.strandWorker(w.vm.Name, c.cfg.Self)
}
