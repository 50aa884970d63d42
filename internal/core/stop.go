package core

import "github.com/fulmarlatch/fulmarlatch/internal/api"

// stop starts the graceful shutdown: the core accepts no new work, hands over its
// leases, finishes the requests in progress and leaves logged jobs to the processes
// that adopt them.
func (c *Core) stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	c.keepsWorkers = c.mustKeepWorkers()
	c.logEvent("stopping")
	c.chooseHolders()
	c.updateLeases()
}

// mustKeepWorkers reports whether this process is stopping and has unfinished requests,
// but no other process can take over its workers. It then keeps workers until the
// requests end.
func (c *Core) mustKeepWorkers() bool {
	return c.stopping && len(c.livePeers()) == 0 && c.hasUnfinishedRequests()
}

// updateKeepsWorkers recomputes the preferred holders when mustKeepWorkers has changed:
// during a shutdown, the last live peer went down, a peer came up, or the last request
// ended.
func (c *Core) updateKeepsWorkers() {
	if keep := c.mustKeepWorkers(); keep != c.keepsWorkers {
		c.keepsWorkers = keep
		c.chooseHolders()
	}
}

// hasUnfinishedRequests reports whether this process coordinates unfinished requests.
func (c *Core) hasUnfinishedRequests() bool {
	for _, j := range c.jobs.byID {
		if j.phase != phaseDone && j.coordinator == c.cfg.Self && j.spec.Kind == api.KindRequest {
			return true
		}
	}
	return false
}

// checkStopped emits Stopped once the graceful shutdown is complete.
func (c *Core) checkStopped() {
	if !c.stopping || c.stopped {
		return
	}
	if c.workers.heldCount > 0 || len(c.requests.forwards) > 0 || c.hasUnfinishedRequests() {
		return
	}
	if c.hasUnfinishedAttempts() {
		return
	}
	c.answerRemaining()
	c.stopped = true
	c.emit(Stopped{})
}

// answerRemaining answers the remaining callers, which wait for logged jobs. For a job
// whose record was not read, the outcome is unknown: the record may be in the log.
func (c *Core) answerRemaining() {
	for _, id := range sortedKeys(c.jobs.byID) {
		j := c.jobs.byID[id]
		answer := j.progress()
		if j.phase == phaseLogging {
			answer = errorAnswer(id, errStopped())
		}
		waiters := j.waiters
		j.waiters = nil
		for _, w := range waiters {
			c.reply(w, answer)
		}
	}
}

// hasUnfinishedAttempts reports whether jobs or logged attempts wait for their records
// to be read. If the log does not answer, they are left to the adopter.
func (c *Core) hasUnfinishedAttempts() bool {
	if !c.logUp || c.logGap {
		return false
	}
	if len(c.jobs.logging) > 0 {
		return true
	}
	for _, a := range c.attempts.byID {
		if a.phase == attemptLogging || a.phase == attemptClosing {
			return true
		}
	}
	return false
}
