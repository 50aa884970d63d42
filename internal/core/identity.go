package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// requestTable holds the waiting callers of this process and its minted job IDs.
type requestTable struct {
	sequence uint64 // of the last job ID
	// minted holds the unused minted IDs and when each was minted.
	minted map[string]time.Time
	// jobs maps the tokens of waiting callers to their jobs.
	jobs map[uint64]*job
	// forwards maps the tokens of callers to their forwarded requests.
	forwards map[uint64]forward
}

// forward is a caller's request that was forwarded to another process.
type forward struct {
	to    api.EntryRef
	jobID string
}

// Limits on unused minted IDs.
const (
	maxMinted      = 100000
	mintedLifetime = 10 * time.Minute
)

func newRequestTable() requestTable {
	return requestTable{
		minted:   make(map[string]time.Time),
		jobs:     make(map[uint64]*job),
		forwards: make(map[uint64]forward),
	}
}

func (c *Core) nextID() string {
	c.requests.sequence++
	return api.NewJobID(c.cfg.Self, c.requests.sequence)
}

// MintID returns a new job ID, under which a caller may submit one job and retry the
// submission. An unused ID may be dropped after 10 minutes. The error is a
// *fault.Error of kind fault.QueueFull if too many IDs are unused.
func (c *Core) MintID(now time.Time) (string, error) {
	r := &c.requests
	if len(r.minted) >= maxMinted {
		r.expireMinted(now)
	}
	if len(r.minted) >= maxMinted {
		return "", fault.New(fault.QueueFull, "too many minted IDs are unused", "use the IDs that were minted, or mint again later")
	}
	id := c.nextID()
	r.minted[id] = now
	return id, nil
}

func (r *requestTable) expireMinted(now time.Time) {
	for id, at := range r.minted {
		if now.Sub(at) >= mintedLifetime {
			delete(r.minted, id)
		}
	}
}

// wasMinted reports whether the ID was minted here and not used yet.
func (r *requestTable) wasMinted(id string) bool {
	_, ok := r.minted[id]
	return ok
}

// dropWaitersOf drops the waiters behind a peer that is down.
func (c *Core) dropWaitersOf(ref api.EntryRef) {
	for _, j := range c.jobs.byID {
		kept := j.waiters[:0]
		for _, w := range j.waiters {
			if w.from != ref {
				kept = append(kept, w)
			}
		}
		j.waiters = kept
	}
}

// callerRequest handles a request from a caller of this process.
func (c *Core) callerRequest(e CallerRequest) {
	w := waiter{token: e.Token, from: c.cfg.Self}
	if c.stopped {
		// A forwarded request would get no answer: the process is about to exit.
		c.reply(w, api.RefuseSubmission(e.Job, errStopped()))
		return
	}
	c.handleOperation(w, e.Operation, e.Job)
}

func (c *Core) handleOperation(w waiter, op message.Operation, spec api.Job) {
	if op == message.OpSubmit {
		c.submit(w, spec)
		return
	}
	j := c.jobs.byID[spec.ID]
	if j == nil {
		c.forwardOperation(w, op, spec)
		return
	}
	if j.spec.Workspace != spec.Workspace {
		c.reply(w, errorAnswer(spec.ID, errNotFound(spec.ID)))
		return
	}
	switch op {
	case message.OpCancel:
		c.cancel(w, j)
	case message.OpWait:
		c.attach(w, j)
	default:
		c.reply(w, j.status())
	}
}

func (j *job) status() api.Answer {
	if j.final != nil {
		return *j.final
	}
	return j.progress()
}

// attach makes the waiter receive the job's final answer.
func (c *Core) attach(w waiter, j *job) {
	if j.final != nil {
		c.reply(w, *j.final)
		return
	}
	j.keepAnswer = true
	c.addWaiter(w, j)
}

// addWaiter adds a caller that waits for an answer about the job.
func (c *Core) addWaiter(w waiter, j *job) {
	j.waiters = append(j.waiters, w)
	if w.from == c.cfg.Self {
		c.requests.jobs[w.token] = j
	}
}

func (c *Core) forwardOperation(w waiter, op message.Operation, spec api.Job) {
	ref, err := api.ParseJobID(spec.ID)
	if err != nil || ref == c.cfg.Self || w.from != c.cfg.Self {
		c.reply(w, errorAnswer(spec.ID, errNotFound(spec.ID)))
		return
	}
	c.forwardTo(ref, w, op, spec)
}

// submitMinted handles the submission of a job under a minted ID. Only the incarnation
// that minted the ID has a record of whether it was used, so no other process runs
// the job.
func (c *Core) submitMinted(w waiter, spec api.Job) {
	if j := c.jobs.byID[spec.ID]; j != nil && j.spec.Workspace == spec.Workspace && j.spec.Kind.Logged() {
		c.replyAccepted(w, j) // every process has the logged jobs
		return
	}
	ref, err := api.ParseJobID(spec.ID)
	if err != nil {
		c.reply(w, errorAnswer(spec.ID, fault.As(err)))
		return
	}
	if ref != c.cfg.Self {
		c.forwardTo(ref, w, message.OpSubmit, spec)
		return
	}
	j := c.jobs.byID[spec.ID]
	switch {
	case j != nil && j.spec.Workspace != spec.Workspace:
		c.reply(w, errorAnswer(spec.ID, errNotFound(spec.ID)))
	case j != nil && !j.mayRestart():
		c.attach(w, j)
	case j != nil || c.requests.wasMinted(spec.ID):
		c.admit(w, spec, spec.Kind.Logged())
		c.dropUsedMinted(spec.ID)
	default:
		c.reply(w, errorAnswer(spec.ID, errOutcomeLost(spec.ID)))
	}
}

// dropUsedMinted removes the ID from the unused ones if its job was admitted. The ID
// of a refused job stays usable: nothing ran under it.
func (c *Core) dropUsedMinted(id string) {
	if c.jobs.byID[id] != nil {
		delete(c.requests.minted, id)
	}
}

// mayRestart reports whether the job may be submitted again under the same ID or key:
// it is unlogged and certainly did not run.
func (j *job) mayRestart() bool {
	return j.phase == phaseDone && j.final.Outcome == api.OutcomeNotRun && !j.spec.Kind.Logged()
}

// submitKeyed handles the submission of a job under an idempotency key.
func (c *Core) submitKeyed(w waiter, spec api.Job) {
	ref := keyRef{spec.Workspace, spec.Key}
	k := c.jobs.keys[ref]
	if k == nil {
		spec.ID = c.nextID()
		c.jobs.keys[ref] = &claim{jobID: spec.ID, owner: c.cfg.Self, readAt: c.now}
		c.admit(w, spec, true)
		return
	}
	spec.ID = k.jobID
	j := c.jobs.byID[k.jobID]
	switch {
	case j != nil && j.spec.Kind.Logged():
		c.replyAccepted(w, j)
	case k.owner != c.cfg.Self:
		c.forwardTo(k.owner, w, message.OpSubmit, spec)
	case j == nil:
		c.reply(w, errorAnswer(spec.ID, errOutcomeLost(spec.ID)))
	case j.mayRestart():
		c.admit(w, spec, !k.logged)
	default:
		c.attach(w, j)
	}
}

// replyAccepted answers a repeated submission of a logged job.
func (c *Core) replyAccepted(w waiter, j *job) {
	switch j.phase {
	case phaseLogging:
		c.attach(w, j)
	case phaseDone:
		c.reply(w, *j.final)
	default:
		c.reply(w, j.progress())
	}
}

// dropPendingClaim frees the key of a refused job, for which no claim was appended.
func (c *Core) dropPendingClaim(spec api.Job) {
	ref := keyRef{spec.Workspace, spec.Key}
	if k := c.jobs.keys[ref]; k != nil && k.jobID == spec.ID && !k.logged && c.jobs.byID[spec.ID] == nil {
		delete(c.jobs.keys, ref)
	}
}

// ownsKey reports whether the first claim in the log of the job's key is by this job.
func (c *Core) ownsKey(spec api.Job) bool {
	k := c.jobs.keys[keyRef{spec.Workspace, spec.Key}]
	return k != nil && k.logged && k.jobID == spec.ID
}

// forwardTo forwards the request of a caller of this process to another process.
func (c *Core) forwardTo(ref api.EntryRef, w waiter, op message.Operation, spec api.Job) {
	if w.from != c.cfg.Self {
		c.reply(w, errorAnswer(spec.ID, errNotFound(spec.ID)))
		return
	}
	if ref == c.cfg.Self || !c.isUp(ref) {
		c.reply(w, errorAnswer(spec.ID, errOutcomeLost(spec.ID)))
		return
	}
	c.requests.forwards[w.token] = forward{to: ref, jobID: spec.ID}
	c.send(ref, message.Forward{RequestID: w.token, Job: spec, Operation: op})
}

// forwarded handles a request that a peer forwarded to this process.
func (c *Core) forwarded(from api.EntryRef, m message.Forward) {
	c.handleOperation(waiter{token: m.RequestID, from: from}, m.Operation, m.Job)
}

func (c *Core) forwardAnswer(m message.ForwardAnswer) {
	if _, ok := c.requests.forwards[m.RequestID]; !ok {
		return
	}
	delete(c.requests.forwards, m.RequestID)
	c.emit(AnswerCaller{Token: m.RequestID, Answer: m.Answer})
}

// answerLostForwards answers the callers whose requests were forwarded to a process
// that is down. It is unknown whether their jobs ran.
func (c *Core) answerLostForwards(ref api.EntryRef) {
	for _, token := range slices.Sorted(maps.Keys(c.requests.forwards)) {
		if f := c.requests.forwards[token]; f.to == ref {
			delete(c.requests.forwards, token)
			c.emit(AnswerCaller{Token: token, Answer: errorAnswer(f.jobID, errOutcomeLost(f.jobID))})
		}
	}
}

func (c *Core) callerGone(token uint64) {
	delete(c.requests.forwards, token)
	j := c.requests.jobs[token]
	delete(c.requests.jobs, token)
	if j == nil {
		return
	}
	for i, w := range j.waiters {
		if w.token == token && w.from == c.cfg.Self {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			break
		}
	}
}

// errorAnswer returns an answer that leaves open whether the job ran.
func errorAnswer(id string, err *fault.Error) api.Answer {
	return api.Answer{JobID: id, Outcome: api.OutcomeUnknown, Error: err}
}

func errStopped() *fault.Error {
	return fault.New(fault.NotReady, "the entry process has stopped", "use another entry process")
}

func errNotFound(id string) *fault.Error {
	return fault.New(fault.NotFound, fmt.Sprintf("job %q is unknown to this entry process", id), "check the ID and the workspace")
}

func errOutcomeLost(id string) *fault.Error {
	return fault.New(fault.OutcomeLost,
		fmt.Sprintf("whether job %q ran is unknown: the entry process that accepted it is gone or has dropped its record of the job", id),
		"check the effect of the request before you submit it under a new ID")
}

func errAnswerDropped(id string) *fault.Error {
	return fault.New(fault.NotFound, fmt.Sprintf("the answer of job %q is no longer kept", id), "the job ran; do not submit it again")
}
