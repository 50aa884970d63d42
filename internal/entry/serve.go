package entry

import (
	"context"
	"fmt"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// serve answers a request of a follower.
func (h *holder) serve(r *link.Request) {
	switch r.Kind {
	case kindSubmit:
		var in submitRequest
		if decoded(r, &in) {
			h.postSubmit(&in.Job, func(err error) { r.Reply(nil, err) })
		}
	case kindStatus:
		var in jobRequest
		if decoded(r, &in) {
			h.postStatus(in.ID, func(state cell.State, err error) { r.Reply(statusReply{State: state}, err) })
		}
	case kindCancel:
		var in jobRequest
		if decoded(r, &in) {
			h.postCancel(in.ID, func(err error) { r.Reply(nil, err) })
		}
	case kindPending:
		var in pendingRequest
		if decoded(r, &in) {
			h.postPending(in.Queue, func(jobs int, err error) { r.Reply(pendingReply{Jobs: jobs}, err) })
		}
	default:
		r.Reply(nil, fault.New(fault.Invalid, "unknown request of a follower", "run the same version on all entry VMs"))
	}
}

func decoded(r *link.Request, into any) bool {
	if err := r.Decode(into); err != nil {
		r.Reply(nil, err)
		return false
	}
	return true
}

// refusal returns why the holder can take no request at present, or nil.
func (h *holder) refusal() error {
	if !h.ready.Load() || h.ctx.Err() != nil {
		return errNotHolder()
	}
	select {
	case <-h.releasing:
		return errNotHolder()
	default:
		return nil
	}
}

// The advice to callers that were refused while the log is silent grows with the
// silence, between these bounds in ms: outages last seconds, callers give up after
// a few tries, and most jobs can still be on time when the log is back.
const (
	minRetryLogMS = 1000
	maxRetryLogMS = 3000
)

// retryWorkersMS is the advice to callers whose job fits no worker, in ms: the
// time in which workers come back after an upkeep or a crash.
const retryWorkersMS = 5000

func (h *holder) postSubmit(job *cell.Job, reply func(error)) {
	if err := h.refusal(); err != nil {
		reply(err)
		return
	}
	h.post(func(s *cell.Scheduler) {
		// A job that was handed in before may be stored by now, or later.
		if h.writer.silent() > h.writer.patience() && !s.Known(job.ID) {
			reply(h.logDown())
			return
		}
		if !s.Known(job.ID) && !s.Servable(job) {
			e := fault.New(fault.NoCapacity, "no worker of the service can run a step of the job", "send the job again when such workers have been added")
			e.RetryAfterMS = retryWorkersMS
			reply(e)
			return
		}
		h.accept(s, job, reply)
	})
}

// logDown refuses a job because the log does not answer.
func (h *holder) logDown() error {
	silent := max(h.writer.silent(), h.sinceRenewal()).Milliseconds()
	e := fault.New(fault.LogDown, fmt.Sprintf("the log has owed an answer for %d ms", silent), "send the job again after the pause")
	e.RetryAfterMS = min(max(silent, minRetryLogMS), maxRetryLogMS)
	return e
}

func (h *holder) postStatus(id string, reply func(cell.State, error)) {
	if err := h.refusal(); err != nil {
		reply("", err)
		return
	}
	h.post(func(s *cell.Scheduler) {
		state, known := s.Status(id)
		if !known {
			reply("", noSuchJob(id))
			return
		}
		reply(state, nil)
	})
}

func noSuchJob(id string) error {
	return fault.New(fault.NotFound, "there is no job "+id, "check the ID; ended jobs are kept for a limited time")
}

func (h *holder) postCancel(id string, reply func(error)) {
	if err := h.refusal(); err != nil {
		reply(err)
		return
	}
	h.post(func(s *cell.Scheduler) {
		seq, known := s.Cancel(id)
		if !known {
			reply(noSuchJob(id))
			return
		}
		h.whenStored(seq, func() { reply(nil) })
	})
}

func (h *holder) postPending(queue string, reply func(int, error)) {
	if err := h.refusal(); err != nil {
		reply(0, err)
		return
	}
	h.post(func(s *cell.Scheduler) { reply(s.PendingJobs(queue), nil) })
}

// await runs an asynchronous request and waits for its reply, for the end of the
// tenure or for ctx.
func await[T any](ctx context.Context, h *holder, begin func(reply func(T, error))) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	begin(func(value T, err error) { done <- result{value, err} })
	var none T
	select {
	case r := <-done:
		return r.value, r.err
	case <-h.ctx.Done():
		return none, fault.New(fault.Unavailable, "this process has ceased to hold the cell", "ask the next holder")
	case <-ctx.Done():
		return none, fault.Wrap(fault.Unavailable, ctx.Err(), "the holder has not answered in time", "ask again")
	}
}

func (h *holder) submit(ctx context.Context, job *cell.Job) error {
	_, err := await(ctx, h, func(reply func(struct{}, error)) {
		h.postSubmit(job, func(err error) { reply(struct{}{}, err) })
	})
	return err
}

func (h *holder) status(ctx context.Context, id string) (cell.State, error) {
	return await(ctx, h, func(reply func(cell.State, error)) { h.postStatus(id, reply) })
}

func (h *holder) cancelJob(ctx context.Context, id string) error {
	_, err := await(ctx, h, func(reply func(struct{}, error)) {
		h.postCancel(id, func(err error) { reply(struct{}{}, err) })
	})
	return err
}

func (h *holder) pending(ctx context.Context, queue string) (int, error) {
	return await(ctx, h, func(reply func(int, error)) { h.postPending(queue, reply) })
}
