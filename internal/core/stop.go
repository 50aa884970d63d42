package core

import "github.com/fulmarlatch/fulmarlatch/internal/api"

// stop starts the graceful shutdown: no new work, leases handed over, requests in
// progress finished, logged jobs left to the processes that adopt them.
func (c *Core) stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	c.alone = c.mustServeAlone()
	c.logEvent("stopping")
	c.chooseHolders()
	c.pursueLeases()
}

// mustServeAlone reports whether this process is stopping, has requests in progress
// and no other process takes its workers. It then holds workers until they end.
func (c *Core) mustServeAlone() bool {
	return c.stopping && len(c.livePeers()) == 0 && c.hasOpenRequests()
}

// reviewAlone chooses holders again when the last live peer goes or one comes, or
// the last request ends, during a shutdown.
func (c *Core) reviewAlone() {
	if alone := c.mustServeAlone(); alone != c.alone {
		c.alone = alone
		c.chooseHolders()
	}
}

// hasOpenRequests reports whether this process coordinates unfinished requests.
func (c *Core) hasOpenRequests() bool {
	for _, j := range c.jobs.byID {
		if j.phase != phaseDone && j.owner == c.cfg.Self && j.spec.Kind == api.KindRequest {
			return true
		}
	}
	return false
}

// checkStopped reports the end of a graceful shutdown once.
func (c *Core) checkStopped() {
	if !c.stopping || c.stopped {
		return
	}
	if c.workers.heldCount > 0 || len(c.requests.forwards) > 0 || c.hasOpenRequests() {
		return
	}
	if c.hasUnfinishedAttempts() {
		return
	}
	c.answerRest()
	c.stopped = true
	c.emit(Stopped{})
}

// answerRest answers the callers that wait for logged jobs. Whether a record that
// was not read yet is in the log cannot be told.
func (c *Core) answerRest() {
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

// hasUnfinishedAttempts reports whether jobs or logged attempts wait for their
// records. They are left to the adopter when the log does not answer.
func (c *Core) hasUnfinishedAttempts() bool {
	if !c.logUp || c.lostLog {
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
