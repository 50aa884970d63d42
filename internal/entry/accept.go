package entry

import (
	"fmt"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// pendingAccept is a submitted job whose record is not stored yet.
type pendingAccept struct {
	id    string
	seq   uint64
	reply func(error)
}

// accept submits a job to the scheduler and replies when its record is stored.
func (h *holder) accept(s *cell.Scheduler, job *cell.Job, reply func(error)) {
	seq := s.Submit(job)
	if seq <= h.stored {
		reply(nil)
		return
	}
	h.pendingAccepts = append(h.pendingAccepts, pendingAccept{job.ID, seq, reply})
}

// refuseUnsent refuses the pending jobs whose records have not been sent to the log.
// These jobs cannot run, and refusing them early lets their callers retry in time.
func (h *holder) refuseUnsent() {
	kept := h.pendingAccepts[:0]
	for _, a := range h.pendingAccepts {
		if h.sched.MayWithdraw(a.id) && h.writer.remove(a.seq) {
			h.sched.Withdraw(a.id)
		}
		if h.sched.HasJob(a.id) {
			kept = append(kept, a)
		} else {
			a.reply(h.errLogDown())
		}
	}
	clear(h.pendingAccepts[len(kept):])
	h.pendingAccepts = kept
}

// replyStored replies to the callers whose jobs are stored.
func (h *holder) replyStored() {
	kept := h.pendingAccepts[:0]
	for _, a := range h.pendingAccepts {
		if a.seq <= h.stored {
			a.reply(nil)
		} else {
			kept = append(kept, a)
		}
	}
	clear(h.pendingAccepts[len(kept):])
	h.pendingAccepts = kept
}

// onDiscarded refuses the job whose record the log does not accept.
func (h *holder) onDiscarded(s *cell.Scheduler, p cell.Persist) {
	s.Discarded(p.Seq, p.Key)
	kept := h.pendingAccepts[:0]
	for _, a := range h.pendingAccepts {
		if a.seq == p.Seq && !s.HasJob(a.id) {
			a.reply(fault.New(fault.Invalid, fmt.Sprintf("the log does not accept the job's record of %d bytes", len(p.Value)), "send a smaller job"))
		} else {
			kept = append(kept, a)
		}
	}
	clear(h.pendingAccepts[len(kept):])
	h.pendingAccepts = kept
}
