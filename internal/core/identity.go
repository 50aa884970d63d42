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

// requestTable holds what this process knows of callers and their ids.
type requestTable struct {
	sequence uint64 // of the last id
	// minted holds the ids that were given out and not used yet.
	minted map[string]time.Time
	// jobs maps the tokens of waiting callers to their jobs.
	jobs map[uint64]*job
	// forwards maps the tokens of forwarded requests.
	forwards map[uint64]forward
}

// forward is a caller's request that another process answers.
type forward struct {
	to    api.EntryRef
	jobID string
}

// Bounds on unused minted ids.
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

// MintID returns an id under which a caller may submit one job and retry it.
func (c *Core) MintID(now time.Time) (string, error) {
	r := &c.requests
	if len(r.minted) >= maxMinted {
		r.expireMinted(now)
	}
	if len(r.minted) >= maxMinted {
		return "", fault.New(fault.QueueFull, "too many minted ids are unused", "use the ids that were minted, or mint again later")
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

// wasMinted reports whether a caller knew the id before it submitted the job.
func (r *requestTable) wasMinted(id string) bool {
	_, ok := r.minted[id]
	return ok
}

// dropWaitersOf forgets the callers behind a peer that is down.
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

// callerRequest handles an operation of a caller at this process.
func (c *Core) callerRequest(e CallerRequest) {
	w := waiter{token: e.Token, from: c.cfg.Self}
	if c.stopped {
		// Nothing would wait for the answer of another process.
		c.reply(w, api.RefuseSubmission(e.Job, errStopped()))
		return
	}
	c.operate(w, e.Operation, e.Job)
}

func (c *Core) operate(w waiter, op message.Operation, spec api.Job) {
	if op == message.OpSubmit {
		c.submit(w, spec)
		return
	}
	j := c.jobs.byID[spec.ID]
	if j == nil {
		c.operateElsewhere(w, op, spec)
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
	j.keep = true
	c.addWaiter(w, j)
}

// addWaiter lets a caller wait for the job until it is answered or gone.
func (c *Core) addWaiter(w waiter, j *job) {
	j.waiters = append(j.waiters, w)
	if w.from == c.cfg.Self {
		c.requests.jobs[w.token] = j
	}
}

func (c *Core) operateElsewhere(w waiter, op message.Operation, spec api.Job) {
	ref, err := api.ParseJobID(spec.ID)
	if err != nil || ref == c.cfg.Self || w.from != c.cfg.Self {
		c.reply(w, errorAnswer(spec.ID, errNotFound(spec.ID)))
		return
	}
	c.forwardTo(ref, w, op, spec)
}

// submitMinted takes a job under an id that an entry process minted. Only that
// incarnation can tell whether the id was used, so the job never runs elsewhere.
func (c *Core) submitMinted(w waiter, spec api.Job) {
	if j := c.jobs.byID[spec.ID]; j != nil && j.spec.Workspace == spec.Workspace && j.spec.Kind.Logged() {
		c.replyAccepted(w, j) // every process knows the jobs in the log
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
		c.open(w, spec, spec.Kind.Logged())
		c.noteMintedUsed(spec.ID)
	default:
		c.reply(w, errorAnswer(spec.ID, errForgotten(spec.ID)))
	}
}

// noteMintedUsed keeps a refused id usable: nothing ran under it.
func (c *Core) noteMintedUsed(id string) {
	if c.jobs.byID[id] != nil {
		delete(c.requests.minted, id)
	}
}

// mayRestart reports whether a submission under the same id or key is a new try:
// the earlier one is proved not to have run.
func (j *job) mayRestart() bool {
	return j.phase == phaseDone && j.final.Outcome == api.OutcomeNotRun && !j.spec.Kind.Logged()
}

// submitKeyed takes a job under the caller's idempotency key.
func (c *Core) submitKeyed(w waiter, spec api.Job) {
	ref := keyRef{spec.Workspace, spec.Key}
	k := c.jobs.keys[ref]
	if k == nil {
		spec.ID = c.nextID()
		c.jobs.keys[ref] = &claim{jobID: spec.ID, owner: c.cfg.Self, readAt: c.now}
		c.open(w, spec, true)
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
		c.reply(w, errorAnswer(spec.ID, errForgotten(spec.ID)))
	case j.mayRestart():
		c.open(w, spec, !k.won)
	default:
		c.attach(w, j)
	}
}

// replyAccepted answers a submission of a job accepted for later.
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

// dropPendingClaim frees a key whose claim was never appended.
func (c *Core) dropPendingClaim(spec api.Job) {
	ref := keyRef{spec.Workspace, spec.Key}
	if k := c.jobs.keys[ref]; k != nil && k.jobID == spec.ID && !k.won && c.jobs.byID[spec.ID] == nil {
		delete(c.jobs.keys, ref)
	}
}

// ownsKey reports whether the job's key was read from the log as this job's.
func (c *Core) ownsKey(spec api.Job) bool {
	k := c.jobs.keys[keyRef{spec.Workspace, spec.Key}]
	return k != nil && k.won && k.jobID == spec.ID
}

// forwardTo hands a caller's request to the process that knows its id.
func (c *Core) forwardTo(ref api.EntryRef, w waiter, op message.Operation, spec api.Job) {
	if w.from != c.cfg.Self {
		c.reply(w, errorAnswer(spec.ID, errNotFound(spec.ID)))
		return
	}
	if ref == c.cfg.Self || !c.isUp(ref) {
		c.reply(w, errorAnswer(spec.ID, errForgotten(spec.ID)))
		return
	}
	c.requests.forwards[w.token] = forward{to: ref, jobID: spec.ID}
	c.send(ref, message.Forward{Token: w.token, Job: spec, Operation: op})
}

// forwarded handles a request that a peer forwarded to this process.
func (c *Core) forwarded(from api.EntryRef, m message.Forward) {
	c.operate(waiter{token: m.Token, from: from}, m.Operation, m.Job)
}

func (c *Core) forwardAnswer(m message.ForwardAnswer) {
	if _, ok := c.requests.forwards[m.Token]; !ok {
		return
	}
	delete(c.requests.forwards, m.Token)
	c.emit(AnswerCaller{Token: m.Token, Answer: m.Answer})
}

// forwardsLost answers callers whose request was forwarded to a process that is
// down. Whether it ran cannot be told.
func (c *Core) forwardsLost(ref api.EntryRef) {
	for _, token := range slices.Sorted(maps.Keys(c.requests.forwards)) {
		if f := c.requests.forwards[token]; f.to == ref {
			delete(c.requests.forwards, token)
			c.emit(AnswerCaller{Token: token, Answer: errorAnswer(f.jobID, errForgotten(f.jobID))})
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

// errorAnswer returns an answer that claims nothing about whether the job ran.
func errorAnswer(id string, err *fault.Error) api.Answer {
	return api.Answer{JobID: id, Outcome: api.OutcomeUnknown, Error: err}
}

func errStopped() *fault.Error {
	return fault.New(fault.NotReady, "the entry process has stopped", "use another entry process")
}

func errNotFound(id string) *fault.Error {
	return fault.New(fault.NotFound, fmt.Sprintf("job %q is not known here", id), "check the id and the workspace")
}

func errForgotten(id string) *fault.Error {
	return fault.New(fault.OutcomeLost,
		fmt.Sprintf("the entry process that took job %q is gone or no longer remembers it, so it cannot be told whether it ran", id),
		"check the effect of the request before you submit it under a new id")
}

func errAnswerDropped(id string) *fault.Error {
	return fault.New(fault.NotFound, fmt.Sprintf("the answer of job %q is no longer kept", id), "the job ran; do not submit it again")
}
