package entry

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// This file delays answers that are true only if this process is still the holder. A holder
// that was paused may not know that another one has taken over, and would deny jobs that the
// other one has accepted. What the log has confirmed, such as the final state of a job, needs
// no proof.

// unprovenAnswer is an answer that waits for a proof.
type unprovenAnswer struct {
	at   time.Duration // since boot, when the request was handled
	send func()
}

// whenProven calls send once it is certain that this process was the holder when whenProven
// was called, and not at all if the term ends before. The proof is a renewal or an append
// that is sent afterwards and succeeds: a new holder supersedes the claim and fences the
// lanes before it accepts jobs. The claim is renewed every renewInterval in any case.
func (h *holder) whenProven(send func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unproven = append(h.unproven, unprovenAnswer{clock.SinceBoot(), send})
}

// confirm records that a renewal or append succeeded that was sent at a time since boot, and
// sends the answers that it proves.
func (h *holder) confirm(at time.Duration) {
	h.mu.Lock()
	h.confirmedAt = max(h.confirmedAt, at)
	n := 0
	for n < len(h.unproven) && h.unproven[n].at <= at {
		n++
	}
	proven := h.unproven[:n:n]
	h.unproven = h.unproven[n:]
	h.mu.Unlock()
	for _, answer := range proven {
		answer.send()
	}
}
