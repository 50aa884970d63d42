package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// Timing of requests to a holder.
const (
	// takeoverTimeout is how long a request waits for the cell to get a holder, counted
	// from when the cell lost its holder, without pauses of this process. Most takeovers are shorter, and later refusals
	// are of no use to callers.
	takeoverTimeout = 1500 * time.Millisecond
	// holderRetryDelay is the delay before a request is sent to the same holder again.
	holderRetryDelay = 40 * time.Millisecond
	// retryNoHolderMS is the retry delay advised to other processes when there is no
	// holder, in ms.
	retryNoHolderMS = 1000
)

// Submit submits a job. Errors are *fault.Error: Invalid, NotReady, LogDown, NoCapacity and
// QuotaExceeded mean that the job was not accepted and never runs, Conflict that its ID is used
// by a job of another workspace, OutcomeLost that it may have been accepted and the caller should
// submit it again.
func (n *Node) Submit(ctx context.Context, job *cell.Job) error {
	if err := job.Check(); err != nil {
		return err
	}
	defer recordSince(n.meters.submit, time.Now())
	n.requests.Add(1)
	defer n.requests.Add(-1)
	_, err := n.callHolder(ctx, job.ID,
		func(h *holder) error { return h.submit(ctx, job) },
		func(l *link.Link) error { return l.Call(ctx, kindSubmit, submitRequest{Job: *job}, nil) })
	return err
}

// Status returns the state of a job to a caller. Errors are *fault.Error; NotFound means that the
// job does not exist, or belongs to another workspace.
func (n *Node) Status(ctx context.Context, id string, by cell.Caller) (cell.State, error) {
	defer recordSince(n.meters.status, time.Now())
	n.requests.Add(1)
	defer n.requests.Add(-1)
	var reply statusReply
	from, err := n.callHolder(ctx, id,
		func(h *holder) (err error) { reply.State, err = h.status(ctx, id, by); return err },
		func(l *link.Link) error { return l.Call(ctx, kindStatus, jobRequest{id, by}, &reply) })
	if fault.KindOf(err) == fault.NotFound {
		n.logAnswer("status_denied", id, from, err)
	}
	return reply.State, err
}

// Cancel cancels a job of a caller. Errors are *fault.Error; NotFound means that the job does not
// exist, or belongs to another workspace.
func (n *Node) Cancel(ctx context.Context, id string, by cell.Caller) error {
	n.requests.Add(1)
	defer n.requests.Add(-1)
	from, err := n.callHolder(ctx, id,
		func(h *holder) error { return h.cancelJob(ctx, id, by) },
		func(l *link.Link) error { return l.Call(ctx, kindCancel, jobRequest{id, by}, nil) })
	if err == nil || fault.KindOf(err) == fault.NotFound {
		n.logAnswer("cancel_answered", id, from, err)
	}
	return err
}

// logAnswer logs a final answer about a job, and the holder that gave it.
func (n *Node) logAnswer(event, job string, by servedBy, err error) {
	answer := "ok"
	if err != nil {
		answer = string(fault.KindOf(err))
	}
	n.meters.count(event)
	n.cfg.Logger.Info(event, zap.String("job", job), zap.String("answer", answer), zap.String("holder", by.holder), zap.Int64("token", by.token))
}

// Pending returns the number of jobs of a queue of which no task has started. Errors
// are *fault.Error.
func (n *Node) Pending(ctx context.Context, queue string) (int, error) {
	n.requests.Add(1)
	defer n.requests.Add(-1)
	total := 0
	for _, a := range n.agents() {
		var reply pendingReply
		_, err := a.callHolder(ctx,
			func(h *holder) (err error) { reply.Jobs, err = h.pending(ctx, queue); return err },
			func(l *link.Link) error { return l.Call(ctx, kindPending, pendingRequest{Queue: queue}, &reply) })
		if err != nil {
			return 0, err
		}
		total += reply.Jobs
	}
	return total, nil
}

// servedBy names the holder that answered a request, and its token.
type servedBy struct {
	holder string
	token  int64
}

// callHolder passes a request for a job to the holder of the job's cell.
func (n *Node) callHolder(ctx context.Context, id string, local func(*holder) error, remote func(*link.Link) error) (servedBy, error) {
	agents := n.agents()
	if len(agents) == 0 {
		return servedBy{}, errNotHolder()
	}
	return agents[cellOf(id, len(agents))].callHolder(ctx, local, remote)
}

// callHolder passes a request to the cell's holder, local or remote. If the holder is
// lost, it tries the next one; requests are idempotent.
func (a *agent) callHolder(ctx context.Context, local func(*holder) error, remote func(*link.Link) error) (servedBy, error) {
	sent := false
	unserved := time.Duration(-1) // since when no holder has served the request; -1 if one may have
	for {
		h, l, changed := a.route()
		var err error
		var by servedBy
		called := time.Now()
		switch {
		case h != nil:
			by = servedBy{a.node.cfg.Name, h.claim.Token}
			err = local(h)
		case l != nil:
			by = servedBy{l.Peer().Name, a.tokenOf(l)}
			err = remote(l)
		default:
			err = errNotHolder()
		}
		if !retriable(err) {
			return by, err
		}
		lost := fault.KindOf(err) == fault.Unavailable
		sent = sent || lost
		if ctx.Err() != nil {
			return by, a.errUnserved(sent, err)
		}
		// The time that a holder took before it was lost is no time without a holder.
		if unserved < 0 || lost && time.Since(called) > holderRetryDelay {
			unserved = max(a.node.running.now()-a.unreachableFor(), 0)
		}
		left := takeoverTimeout - (a.node.running.now() - unserved)
		if left <= 0 {
			return by, a.errNoHolder(sent)
		}
		// A new holder replies NotReady until it has restored the records.
		retry := time.NewTimer(min(holderRetryDelay, left))
		select {
		case <-changed:
		case <-retry.C:
		case <-ctx.Done():
			retry.Stop()
			return by, a.errUnserved(sent, err)
		}
		retry.Stop()
	}
}

// retriable reports whether a retry may succeed.
func retriable(err error) bool {
	if err == nil {
		return false
	}
	kind := fault.KindOf(err)
	return kind == fault.Unavailable || kind == fault.NotReady
}

// errUnserved returns the error for a request whose time has ended. The last call to a
// holder returned err.
func (a *agent) errUnserved(sent bool, err error) error {
	if sent && a.unreachableFor() == 0 {
		return fault.Wrap(fault.OutcomeLost, err, "the holder of the cell did not reply in time", "send the same request again")
	}
	return a.errNoHolder(sent)
}

// errNoHolder returns the error for a request that found no holder in time. The outcome
// is unknown if the request was sent to a lost holder.
func (a *agent) errNoHolder(sent bool) error {
	if sent {
		return fault.New(fault.OutcomeLost, "the holder of the cell was lost before it replied", "send the same request again")
	}
	e := fault.New(fault.NotReady, "the cell has no holder at present", "send the request again after the retry delay")
	e.RetryAfterMS = outageRetryMS(a.unreachableFor())
	return e
}
