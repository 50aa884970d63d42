package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// Every process registers its address in the log when it starts. A new holder announces
// itself to the processes that have not connected to it, because a process to which the
// log does not respond cannot read the claim.

// registration is the record of a process. Its key is the name of the process.
type registration struct {
	Address     string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// announcement is the request that announces the holder of a cell.
type announcement struct {
	Cell  int   `cbor:"1,keyasint"`
	Claim claim `cbor:"2,keyasint"`
}

// Timing of announcements.
const (
	registerRetryDelay = 500 * time.Millisecond
	// announceDelay is the time that processes with access to the log need to find a
	// new holder.
	announceDelay   = 500 * time.Millisecond
	announceTimeout = time.Second
	// announceInterval is the interval between announcements, which are repeated because a
	// process may lose the holder and the log one after the other.
	announceInterval = 2 * time.Second
	// registrationTimeout is how long a registered process may be unreachable before its
	// registration is dropped. VMs are replaced every day, and each that is gone would be
	// dialed for ever.
	registrationTimeout = 10 * time.Minute
)

// topicAnnounce is the topic of links that carry an announcement.
const topicAnnounce = "announce"

// register writes the process's address to the log, and retries until it succeeds.
func (n *Node) register() {
	record := cell.Record{Key: n.cfg.Name, Value: mustMarshal(registration{n.cfg.LinkAddress, n.cfg.Incarnation})}
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, layoutTimeout)
		_, err := n.platform.Log.Append(ctx, Append{Topic: topicNodes, Records: []cell.Record{record}})
		cancel()
		if err == nil {
			return
		}
		n.cfg.Logger.Debug("not_registered", zap.Error(err))
		if !clock.Sleep(n.ctx, registerRetryDelay) {
			return
		}
	}
}

// announce announces this holder to the processes without a link to it, until the
// holder's term ends. It drops the registrations of processes that are gone.
func (h *holder) announce() {
	absent := absences{}
	for wait := announceDelay; clock.Sleep(h.ctx, wait); wait = announceInterval {
		if h.sinceConfirmed() > logSilence {
			continue // the claim may have been superseded
		}
		ctx, cancel := context.WithTimeout(h.ctx, layoutTimeout)
		records, end, err := h.node.platform.Log.Newest(ctx, topicNodes, 0)
		cancel()
		if err != nil {
			h.logger.Debug("nodes_not_read", zap.Error(err))
			continue
		}
		unlinked := h.unlinked(records)
		for name, to := range unlinked {
			h.node.spawn(func() { h.announceTo(name, to.Address) })
		}
		if gone := absent.update(unlinked, time.Now()); len(gone) > 0 {
			h.dropRegistrations(gone, end)
		}
	}
}

// unlinked returns the registered processes without a link to this holder, by name.
func (h *holder) unlinked(records []cell.Record) map[string]registration {
	linked := h.followerLinks()
	out := map[string]registration{}
	for _, r := range records {
		var to registration
		if err := cbor.Unmarshal(r.Value, &to); err != nil {
			h.logger.Warn("registration_skipped", zap.String("node", r.Key), zap.Error(err))
			continue
		}
		if r.Key != h.node.cfg.Name && linked[r.Key] == nil {
			out[r.Key] = to
		}
	}
	return out
}

// absences maps registrations without a link to the holder to the time since when.
type absences map[registration]time.Time

// update records the registrations that have no link at present, and returns the names
// of those that have had none for registrationTimeout.
func (a absences) update(unlinked map[string]registration, now time.Time) (gone []string) {
	present := map[registration]bool{}
	for name, r := range unlinked {
		present[r] = true
		if a[r].IsZero() {
			a[r] = now
		}
		if now.Sub(a[r]) >= registrationTimeout {
			gone = append(gone, name)
		}
	}
	for r := range a {
		if !present[r] {
			delete(a, r)
		}
	}
	return gone
}

// dropRegistrations drops registrations, unless a process has registered since the
// partition ended at end.
func (h *holder) dropRegistrations(names []string, end int64) {
	records := make([]cell.Record, len(names))
	for i, name := range names {
		records[i] = cell.Record{Key: name}
	}
	ctx, cancel := context.WithTimeout(h.ctx, layoutTimeout)
	defer cancel()
	if _, err := h.node.platform.Log.Append(ctx, Append{Topic: topicNodes, Records: records, ExpectedEnd: &end}); err != nil {
		h.logger.Info("registrations_not_dropped", zap.Strings("nodes", names), zap.Error(err))
		return
	}
	h.logger.Info("registrations_dropped", zap.Strings("nodes", names))
}

// announceTo announces this holder to one process.
func (h *holder) announceTo(name, address string) {
	ctx, cancel := context.WithTimeout(h.ctx, announceTimeout)
	defer cancel()
	cfg := h.node.linkConfig(h.agent.cell, func(_ *link.Link, r *link.Request) { r.Reply(nil, errNotHolder()) })
	cfg.Self.Topic = topicAnnounce
	err := link.Dial(ctx, address, cfg, func(l *link.Link) {
		h.node.spawn(func() {
			defer l.Close()
			if err := l.Call(ctx, kindAnnounce, announcement{h.agent.cell, h.claim}, nil); err != nil {
				h.logger.Debug("announcement_failed", zap.String("node", name), zap.Error(err))
			}
		})
	})
	if err != nil {
		h.logger.Debug("announcement_link_closed", zap.String("node", name), zap.Error(err))
	}
}

// handleAnnouncement handles an announcement from a holder.
func (n *Node) handleAnnouncement(r *link.Request) {
	var in announcement
	if err := r.Decode(&in); err != nil {
		r.Reply(nil, err)
		return
	}
	if agents := n.agents(); in.Cell >= 0 && in.Cell < len(agents) {
		agents[in.Cell].recordAnnounced(in.Claim)
	}
	r.Reply(nil, nil)
}

// recordAnnounced records an announced claim if it is the newest one.
func (a *agent) recordAnnounced(c claim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Token > a.announced.Token {
		a.announced = c
	}
}

// lastKnownClaim returns the newest claim that was read or announced.
func (a *agent) lastKnownClaim() claim {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.announced.Token > a.watch.claim.Token {
		return a.announced
	}
	return a.watch.claim
}
