package core

import (
	"strconv"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/placement"
)

// workers holds the state of the workers in the platform's VM list.
type workers struct {
	byName map[string]*workerState
	// names are the sorted keys of byName; nil if out of date.
	names []string
	// tries are the scheduled requests for leases.
	tries leaseTries
	// misplaced are the held workers whose preferred holder is another process.
	misplaced map[string]*workerState
	// shapes counts the workers that are not leaving, by capacity.
	shapes map[api.Resources]int
	// capacity is the total of the workers that are not leaving.
	capacity  api.Resources
	heldCount int
}

// leaseRole is what this process has to do about a worker's lease.
type leaseRole int

const (
	roleNone      leaseRole = iota // nothing to do
	rolePreferred                  // preferred holder, and does not have the lease
	roleFallback                   // second choice, and does not have the lease
	roleMisplaced                  // has the lease, and another process is the preferred holder
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
	vm         api.VM
	phase      leasePhase
	role       leaseRole
	epoch      uint64
	boot       uint64
	heldSince  time.Time
	nextTry    time.Time
	backoff    time.Duration
	preferred  api.EntryRef
	asFallback bool // acquired as the second choice
}

// isSuperseded reports whether boot and epoch belong to a later lease than the one held
// here: this process has lost its lease and has not detected it yet.
func (w *workerState) isSuperseded(boot, epoch uint64) bool {
	return w.boot < boot || w.boot == boot && w.epoch < epoch
}

const (
	// minBackoff and maxBackoff limit the delay before the lease of an unreachable
	// worker is requested again.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// minHold is how long a lease is kept before it is handed over, so that workers
	// do not move each time the preferred holder briefly comes up.
	minHold = 3 * time.Second
	// fallbackHold is how long the second choice keeps a lease that it acquired
	// because the preferred holder did not. The preferred holder may be unable to
	// reach the worker, and each failed handover leaves the worker unused for at
	// least fallbackInterval.
	fallbackHold = 2 * time.Minute
	// fallbackInterval is the base delay between two lease requests of the second
	// choice, which succeed if the preferred holder cannot reach the worker.
	fallbackInterval = 10 * time.Second
)

func newWorkers() workers {
	return workers{
		byName:    make(map[string]*workerState),
		misplaced: make(map[string]*workerState),
		shapes:    make(map[api.Resources]int),
	}
}

// sortedNames returns the names of all workers in ascending order.
func (t *workers) sortedNames() []string {
	if t.names == nil {
		t.names = sortedKeys(t.byName)
	}
	return t.names
}

// chooseHolders recomputes the preferred holders of all workers. It runs when the set
// of entry processes changes, and takes time proportional to the number of workers
// times the number of entry processes.
func (c *Core) chooseHolders() {
	if c.policy == nil {
		return
	}
	list := c.candidates()
	for _, name := range c.workers.sortedNames() {
		c.chooseHolder(c.workers.byName[name], list)
	}
}

// chooseHoldersOf recomputes the preferred holders of the changed workers only.
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
	w.asFallback = w.asFallback && first == w.preferred
	w.preferred = first
	isHeld := w.phase == leaseHeld || w.phase == leaseReleasing
	switch {
	case first == c.cfg.Self && !isHeld:
		c.setRole(w, rolePreferred)
	case first != c.cfg.Self && isHeld:
		c.setRole(w, roleMisplaced)
	case second == c.cfg.Self && !isHeld:
		c.setRole(w, roleFallback)
	default:
		c.setRole(w, roleNone)
	}
}

// setRole sets the role and schedules the lease request that the role needs: at once
// for the preferred holder, later for the second choice.
func (c *Core) setRole(w *workerState, role leaseRole) {
	if w.role == role {
		return
	}
	if w.role == roleMisplaced {
		delete(c.workers.misplaced, w.vm.Name)
	}
	w.role = role
	switch role {
	case rolePreferred:
		c.tryAt(w, c.now)
	case roleFallback:
		c.tryAt(w, c.now.Add(fallbackInterval+c.jitter(fallbackInterval)))
	case roleMisplaced:
		c.workers.misplaced[w.vm.Name] = w
	}
}

// updateLeases requests the leases that are due and hands over misplaced ones.
func (c *Core) updateLeases() {
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
	if w.asFallback {
		hold = fallbackHold
	}
	return w.preferred != (api.EntryRef{}) && c.now.Sub(w.heldSince) >= hold
}

func (c *Core) tryAcquire(w *workerState) {
	if w.phase != leaseNone {
		return
	}
	w.phase = leaseAcquiring
	w.asFallback = w.preferred != c.cfg.Self
	t := c.policy.timing
	c.emit(AcquireLease{
		Worker:        w.vm.Name,
		Address:       w.vm.Address,
		Lease:         t.workerLease,
		TaskLease:     t.taskLease,
		RenewInterval: t.renew,
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
	c.announceLease(w)
	c.queue.CapacityFreed(c.now)
}

// announceLease announces a new lease to all entry processes, so that the coordinators
// query their attempts from earlier epochs of the worker.
func (c *Core) announceLease(w *workerState) {
	held := message.LeaseAcquired{Worker: w.vm.Name, Epoch: w.epoch, Boot: w.boot}
	c.send(c.cfg.Self, held)
	for _, name := range sortedKeys(c.members.peers) {
		c.send(c.members.peers[name].ref, held)
	}
}

// announceLeases announces all held leases to a peer with a new link, which may have
// missed the earlier announcements.
func (c *Core) announceLeases(to api.EntryRef) {
	for _, name := range sortedKeys(c.workers.byName) {
		w := c.workers.byName[name]
		if w.phase == leaseHeld {
			c.send(to, message.LeaseAcquired{Worker: name, Epoch: w.epoch, Boot: w.boot})
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
	c.dropLease(w)
	c.chooseHoldersOf([]*workerState{w})
}

func (c *Core) leaseReleased(e LeaseReleased) {
	w := c.workers.byName[e.Worker]
	if w == nil || w.phase != leaseReleasing || w.epoch != e.Epoch {
		return
	}
	c.logEvent("lease_released", Field{"worker", e.Worker}, Field{"epoch", strconv.FormatUint(e.Epoch, 10)})
	c.dropLease(w)
	c.chooseHoldersOf([]*workerState{w})
	if w.preferred != (api.EntryRef{}) && w.preferred != c.cfg.Self {
		c.send(w.preferred, message.HandOver{Workers: []string{e.Worker}})
	}
}

// handedOver requests the leases that another process released for this one.
func (c *Core) handedOver(m message.HandOver) {
	for _, name := range m.Workers {
		if w := c.workers.byName[name]; w != nil && w.preferred == c.cfg.Self {
			c.tryAt(w, c.now)
			w.backoff = 0
		}
	}
	c.updateLeases()
}

// reportNotHeld reports to the coordinators that this process no longer holds their
// attempts on a worker. The announcement by the next holder may come much later.
func (c *Core) reportNotHeld(worker string) {
	for _, t := range sortedAttempts(c.held.byWorker[worker], anyAttempt) {
		if t.phase != heldEnded && t.spec.Coordinator != c.cfg.Self && c.isUp(t.spec.Coordinator) {
			c.send(t.spec.Coordinator, message.AttemptState{Attempt: t.spec.Attempt, Status: message.AttemptNotHeld})
		}
	}
}

// dropLease removes an ended lease together with its reservations and attempts, and
// strands the attempts that this process coordinates on the worker.
func (c *Core) dropLease(w *workerState) {
	w.phase = leaseNone
	c.workers.heldCount--
	c.pool.Remove(w.vm.Name)
	c.reportNotHeld(w.vm.Name)
	c.held.dropWorker(w.vm.Name)
	c.strandWorker(w.vm.Name, c.cfg.Self)
}
