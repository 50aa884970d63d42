package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/guard"
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// addFollower registers the link of a follower.
func (h *holder) addFollower(l *link.Link) {
	name := l.Peer().Name
	h.mu.Lock()
	old := h.followers[name]
	h.followers[name] = l
	h.mu.Unlock()
	if old != nil {
		// All requests of the old link must be handled before those of the new one.
		// Otherwise the old link could submit a job after it was refused over the new
		// link.
		old.Close()
		<-old.Finished()
	}
	h.logger.Info("follower_up", zap.String("follower", name))
	h.post(h.updateCallers)
	h.node.spawn(func() {
		<-l.Done()
		h.mu.Lock()
		if h.followers[name] == l {
			delete(h.followers, name)
		}
		h.mu.Unlock()
		h.logger.Info("follower_down", zap.String("follower", name))
		h.post(h.updateCallers)
	})
	if h.ctx.Err() != nil {
		l.Close() // the term has ended in the meantime
	}
}

func (h *holder) followerLinks() map[string]*link.Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]*link.Link, len(h.followers))
	for name, l := range h.followers {
		out[name] = l
	}
	return out
}

func (h *holder) closeFollowerLinks() {
	for _, l := range h.followerLinks() {
		l.Close()
	}
}

// broadcastTimeout limits the wait for replies to a broadcast, which only confirm
// receipt.
const broadcastTimeout = 200 * time.Millisecond

// broadcast sends a request to all followers, without waiting for the replies.
func (h *holder) broadcast(kind link.Kind, body any) {
	for _, l := range h.followerLinks() {
		h.node.spawn(func() { h.notify(l, kind, body) })
	}
}

// notify sends a request to a follower and waits for its receipt, for up to
// broadcastTimeout.
func (h *holder) notify(l *link.Link, kind link.Kind, body any) {
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	if err := l.Call(ctx, kind, body, nil); err != nil {
		h.logger.Debug("follower_not_told", zap.String("follower", l.Peer().Name), zap.Error(err))
	}
}

// updateCallers passes the processes that may call the policy service to the scheduler:
// this one, then those in the same failure domain, over whose links a call takes less
// time and costs no traffic between domains, then the others.
func (h *holder) updateCallers(s *cell.Scheduler) {
	links := h.followerLinks()
	names := slices.SortedFunc(maps.Keys(links), func(a, b string) int {
		return cmp.Or(
			cmp.Compare(h.domainDistance(links[a]), h.domainDistance(links[b])),
			cmp.Compare(a, b),
		)
	})
	s.SetCallers(append([]string{h.node.cfg.Name}, names...))
}

// domainDistance returns 0 for a link within the failure domain and 1 for others.
func (h *holder) domainDistance(l *link.Link) int {
	if l.Peer().Domain == h.node.cfg.Domain {
		return 0
	}
	return 1
}

// requestPermits calls the policy service from this process or forwards the call to a
// follower.
func (h *holder) requestPermits(a cell.RequestPermits) {
	in := permitsRequest{Step: a.Step, Workers: a.Workers}
	l := h.followerLinks()[a.Caller]
	h.node.spawn(func() {
		var reply permitsReply
		var err error
		panicked := guard.Run(h.logger, "a call of the policy service", func() { reply, err = h.callPolicy(a.Caller, l, in) })
		err = cmp.Or(err, panicked)
		h.post(func(s *cell.Scheduler) {
			s.PermitsReceived(cell.PermitResult{Caller: a.Caller, Step: a.Step, Workers: a.Workers,
				Tickets: reply.Tickets, ValidForMS: reply.ValidForMS, Rejected: fault.KindOf(err) == fault.Invalid,
				Failed: err != nil && fault.KindOf(err) != fault.Invalid})
		})
	})
}

// callPolicy calls the policy service from this process, or from the named follower over
// its link, which is nil if it has none.
func (h *holder) callPolicy(caller string, l *link.Link, in permitsRequest) (reply permitsReply, err error) {
	switch {
	case caller == h.node.cfg.Name:
		return h.node.permits(in)
	case l == nil:
		return reply, fault.New(fault.Unavailable, caller+" has no link to the holder", "use another process")
	}
	ctx, cancel := context.WithTimeout(h.ctx, permitsTimeout)
	defer cancel()
	err = l.Call(ctx, kindPermits, in, &reply)
	return reply, err
}
