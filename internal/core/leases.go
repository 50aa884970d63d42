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
	// names are the keys of byName in order; nil when out of date.
	names []string
	// tries are the times at which leases are asked for.
	tries leaseTries
	// misplaced are held workers whose preferred holder is another process.
	misplaced map[string]*workerState
	// shapes counts live workers by capacity.
	shapes map[api.Resources]int
	// capacity is the sum over live workers.
	capacity  api.Resources
	heldCount int
}

// leaseRole tells what this process has to do about a worker's lease.
type leaseRole int

const (
	roleNone      leaseRole = iota // held as it should be, or the task of others
	roleWanted                     // should be held here and is not
	roleFallback                   // this process is the second choice
	roleMisplaced                  // held here, and the preferred holder is another process
)

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
	role      leaseRole
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
		misplaced: make(map[string]*workerState),
		shapes:    make(map[api.Resources]int),
	}
}

// sorted returns the names of all workers in order.
func (t *workers) sorted() []string {
	if t.names == nil {
		t.names = sortedKeys(t.byName)
	}
	return t.names
}

// chooseHolders decides anew which workers this process should hold. It runs
// when membership changes and takes time proportional to the workers and the
// entry processes.
func (c *Core) chooseHolders() {
	if c.policy == nil {
		return
	}
	list := c.candidates()
	for _, name := range c.workers.sorted() {
		c.chooseHolder(c.workers.byName[name], list)
	}
}

// chooseHoldersOf decides for some workers only, after a change that concerns no
// others.
func (c *Core) chooseHoldersOf(changed []*workerState) {
	if c.policy == nil {
		return
	}
	list := c.candidates()
	for _, w := range changed {
		c.chooseHolder(w, list)
	}
}

func (c *Core) chooseHolder(w *workerState, list []candidate) {
	first, second := choose(list, w.vm.Name, w.vm.Domain)
	w.asSecond = w.asSecond && first == w.preferred
	w.preferred = first
	isHeld := w.phase == leaseHeld || w.phase == leaseReleasing
	switch {
	case first == c.cfg.Self && !isHeld:
		c.setRole(w, roleWanted)
	case first != c.cfg.Self && isHeld:
		c.setRole(w, roleMisplaced)
	case second == c.cfg.Self && !isHeld:
		c.setRole(w, roleFallback)
	default:
		c.setRole(w, roleNone)
	}
}

// setRole notes a change of role. A wanted lease is asked for at once.
func (c *Core) setRole(w *workerState, role leaseRole) {
	if w.role == role {
		return
	}
	if w.role == roleMisplaced {
		delete(c.workers.misplaced, w.vm.Name)
	}
	w.role = role
	switch role {
	case roleWanted:
		c.tryAt(w, c.now)
	case roleFallback:
		c.tryAt(w, c.now.Add(fallbackInterval+c.jitter(fallbackInterval)))
	case roleMisplaced:
		c.workers.misplaced[w.vm.Name] = w
	}
}

// pursueLeases asks for wanted leases whose time has come and hands misplaced
// ones over.
func (c *Core) pursueLeases() {
	if c.policy == nil {
		return
	}
	for {
		w := c.workers.tries.next(c.now)
		if w == nil {
			break
		}
		c.tryAcquire(w)
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
	if w.phase != leaseNone {
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
	if w.preferred == c.cfg.Self {
		c.setRole(w, roleNone)
	} else {
		c.setRole(w, roleMisplaced)
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
		c.tryAt(w, c.now.Add(fallbackInterval+c.jitter(fallbackInterval)))
		return
	}
	if e.Holder != "" {
		w.backoff = 0
		c.tryAt(w, c.now.Add(min(e.Remaining, c.policy.timing.renew)+c.jitter(minBackoff)))
		return
	}
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	c.tryAt(w, c.now.Add(c.jitter(w.backoff)))
}

func (c *Core) leaseLost(name string, epoch uint64) {
	w := c.workers.byName[name]
	if w == nil || w.epoch != epoch || w.phase == leaseNone || w.phase == leaseAcquiring {
		return
	}
	c.logEvent("lease_lost", Field{"worker", name}, Field{"epoch", strconv.FormatUint(epoch, 10)})
	c.dropHeld(w)
	c.chooseHoldersOf([]*workerState{w})
}

func (c *Core) leaseReleased(e LeaseReleased) {
	w := c.workers.byName[e.Worker]
	if w == nil || w.phase != leaseReleasing || w.epoch != e.Epoch {
		return
	}
	c.logEvent("lease_released", Field{"worker", e.Worker}, Field{"epoch", strconv.FormatUint(e.Epoch, 10)})
	c.dropHeld(w)
	c.chooseHoldersOf([]*workerState{w})
	if w.preferred != (api.EntryRef{}) && w.preferred != c.cfg.Self {
		c.send(w.preferred, message.HandOver{Workers: []string{e.Worker}})
	}
}

// handedOver makes this process ask at once for workers that were released.
func (c *Core) handedOver(m message.HandOver) {
	for _, name := range m.Workers {
		if w := c.workers.byName[name]; w != nil && w.preferred == c.cfg.Self {
			c.tryAt(w, c.now)
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
	c.workers.heldCount--
	c.pool.Remove(w.vm.Name)
	c.disownTasks(w.vm.Name)
	c.held.dropWorker(w.vm.Name)
	c.strandWorker(w.vm.Name, c.cfg.Self)
}
