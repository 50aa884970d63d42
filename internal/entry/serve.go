package entry

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// serve handles a request from a follower.
func (h *holder) serve(r *link.Request) {
	switch r.Kind {
	case kindSubmit:
		var in submitRequest
		if decode(r, &in) {
			h.postSubmit(&in.Job, func(err error) { r.Reply(nil, err) })
		}
	case kindStatus:
		var in jobRequest
		if decode(r, &in) {
			h.postStatus(in.ID, in.Caller, func(state cell.State, err error) { r.Reply(statusReply{State: state}, err) })
		}
	case kindCancel:
		var in jobRequest
		if decode(r, &in) {
			h.postCancel(in.ID, in.Caller, func(err error) { r.Reply(nil, err) })
		}
	case kindPending:
		var in pendingRequest
		if decode(r, &in) {
			h.postPending(in.Queue, func(jobs int, err error) { r.Reply(pendingReply{Jobs: jobs}, err) })
		}
	default:
		r.Reply(nil, fault.New(fault.Invalid, "unknown request kind from a follower", "run the same version on all entry VMs"))
	}
}

func decode(r *link.Request, into any) bool {
	if err := r.Decode(into); err != nil {
		r.Reply(nil, err)
		return false
	}
	return true
}

// checkServing returns an error if the holder cannot accept requests at present.
func (h *holder) checkServing() error {
	if !h.ready.Load() || h.ctx.Err() != nil || h.isReleasing() {
		return errNotHolder()
	}
	return nil
}

// Range in ms of the retry delay advised to callers that are refused while the log is
// silent or the cell has no holder. The delay grows with the outage: outages last seconds,
// callers stop retrying after a few attempts, and most jobs can still be on time after an
// outage.
const (
	minOutageRetryMS = 1000
	maxOutageRetryMS = 3000
)

// outageRetryMS returns the retry delay in ms to advise after an outage of the given
// duration.
func outageRetryMS(outage time.Duration) int64 {
	return min(max(outage.Milliseconds(), minOutageRetryMS), maxOutageRetryMS)
}

// postSubmit passes a submission to the control goroutine. Reply is called once the job
// is stored or refused, and not at all if the term ends before.
func (h *holder) postSubmit(job *cell.Job, reply func(error)) {
	if err := h.checkServing(); err != nil {
		reply(err)
		return
	}
	h.post(func(s *cell.Scheduler) {
		// A job that was submitted before may already be stored, or be stored later, so
		// it must not be refused.
		if h.writer.silentFor() > h.writer.silenceLimit() && !s.HasJob(job.ID) {
			reply(h.errLogDown())
			return
		}
		if err := s.Admit(job); err != nil {
			h.whenProven(func() { reply(err) })
			return
		}
		h.accept(s, job, reply)
	})
}

// errLogDown returns the error for a job that is refused because the log is silent.
func (h *holder) errLogDown() error {
	silent := max(h.writer.silentFor(), h.sinceConfirmed())
	e := fault.New(fault.LogDown, fmt.Sprintf("the log has not responded for %d ms", silent.Milliseconds()), "send the job again after the retry delay")
	e.RetryAfterMS = outageRetryMS(silent)
	return e
}

func (h *holder) postStatus(id string, by cell.Caller, reply func(cell.State, error)) {
	if err := h.checkServing(); err != nil {
		reply("", err)
		return
	}
	h.post(func(s *cell.Scheduler) {
		state, known := s.Status(id)
		if !known || !s.MayAccess(id, by) {
			h.whenProven(func() { reply("", noSuchJob(id)) })
			return
		}
		reply(state, nil)
	})
}

func noSuchJob(id string) error {
	return fault.New(fault.NotFound, "there is no job "+id, "check the ID; ended jobs are kept for a limited time")
}

func (h *holder) postCancel(id string, by cell.Caller, reply func(error)) {
	if err := h.checkServing(); err != nil {
		reply(err)
		return
	}
	h.post(func(s *cell.Scheduler) {
		if !s.MayAccess(id, by) {
			h.whenProven(func() { reply(noSuchJob(id)) })
			return
		}
		seq, known := s.Cancel(id, by)
		h.whenStored(seq, func() {
			if known {
				reply(nil)
				return
			}
			h.logger.Info("unknown_job_cancelled", zap.String("job", id))
			reply(noSuchJob(id))
		})
	})
}

func (h *holder) postPending(queue string, reply func(int, error)) {
	if err := h.checkServing(); err != nil {
		reply(0, err)
		return
	}
	h.post(func(s *cell.Scheduler) {
		jobs := s.PendingJobs(queue)
		h.whenProven(func() { reply(jobs, nil) })
	})
}

// await starts an asynchronous request and waits until it is answered, the term ends or
// ctx is done.
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
		return none, fault.New(fault.Unavailable, "this process no longer holds the cell", "retry with the next holder")
	case <-ctx.Done():
		return none, fault.Wrap(fault.Unavailable, ctx.Err(), "the holder did not reply in time", "retry the request")
	}
}

func (h *holder) submit(ctx context.Context, job *cell.Job) error {
	_, err := await(ctx, h, func(reply func(struct{}, error)) {
		h.postSubmit(job, func(err error) { reply(struct{}{}, err) })
	})
	return err
}

func (h *holder) status(ctx context.Context, id string, by cell.Caller) (cell.State, error) {
	return await(ctx, h, func(reply func(cell.State, error)) { h.postStatus(id, by, reply) })
}

func (h *holder) cancelJob(ctx context.Context, id string, by cell.Caller) error {
	_, err := await(ctx, h, func(reply func(struct{}, error)) {
		h.postCancel(id, by, func(err error) { reply(struct{}{}, err) })
	})
	return err
}

func (h *holder) pending(ctx context.Context, queue string) (int, error) {
	return await(ctx, h, func(reply func(int, error)) { h.postPending(queue, reply) })
}
