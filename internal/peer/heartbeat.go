package peer

import (
	"fmt"
	"sync"
	"time"
)

// pulse is what one link knows of heartbeats in both directions.
type pulse struct {
	mu sync.Mutex
	// received is the last sequence number from the peer.
	received uint64
	heardAt  time.Time // of the last heartbeat received
	// echoed is the last own sequence number that the peer has confirmed.
	echoed   uint64
	echoedAt time.Time
	sent     uint64
	// confirmed counts the bulk frames that the peer has received.
	confirmed   uint64
	confirmedAt time.Time // of the last progress, or of the last time without unconfirmed frames
	// summaryVersion is the version of the summary last sent.
	summaryVersion uint64
}

func (p *pulse) start(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt, p.echoedAt, p.confirmedAt = now, now, now
}

// take records a heartbeat of the peer.
func (p *pulse) take(now time.Time, h heartbeat) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case h.Sequence <= p.received:
		return fmt.Errorf("heartbeat %d came after %d", h.Sequence, p.received)
	case h.Echo < p.echoed || h.Echo > p.sent:
		return fmt.Errorf("heartbeat echoes %d, between %d and %d were sent", h.Echo, p.echoed, p.sent)
	case h.BulkFrames < p.confirmed:
		return fmt.Errorf("heartbeat confirms %d bulk frames after %d", h.BulkFrames, p.confirmed)
	}
	p.received, p.heardAt = h.Sequence, now
	if h.Echo > p.echoed {
		p.echoed, p.echoedAt = h.Echo, now
	}
	if h.BulkFrames > p.confirmed {
		p.confirmed, p.confirmedAt = h.BulkFrames, now
	}
	return nil
}

// check returns the reason to end the link, or nil. bulkSent counts the frames
// sent on the bulk connection.
func (p *pulse) check(now time.Time, limit time.Duration, bulkSent uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bulkSent <= p.confirmed {
		p.confirmedAt = now
	}
	switch {
	case now.Sub(p.heardAt) > limit:
		return errSilent
	case now.Sub(p.echoedAt) > limit:
		return errUnheard
	case now.Sub(p.confirmedAt) > bulkStallFactor*limit:
		return errBulkStall
	}
	return nil
}

// next returns the next heartbeat without a summary, and whether the summary
// of the given version has to be added.
func (p *pulse) next(version, bulkFrames uint64) (h heartbeat, addSummary bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	addSummary = version != p.summaryVersion
	p.summaryVersion = version
	return heartbeat{Sequence: p.sent, Echo: p.received, BulkFrames: bulkFrames}, addSummary
}

// monitor sends heartbeats and ends the link when the peer's fail to arrive.
func (l *link) monitor() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := l.beat(time.Now()); err != nil {
			l.fail(err)
			return
		}
		timer.Reset(time.Duration(l.mesh.interval.Load()))
		select {
		case <-timer.C:
		case <-l.failed:
			return
		}
	}
}

func (l *link) beat(now time.Time) error {
	if err := l.pulse.check(now, time.Duration(l.mesh.downAfter.Load()), l.bulk.sent.Load()-helloFrames); err != nil {
		return err
	}
	version, summary := l.mesh.currentSummary()
	h, addSummary := l.pulse.next(version, l.bulk.frames.Load()-helloFrames)
	if addSummary {
		h.Summary = summary
	}
	l.queue.setHeartbeat(h)
	return nil
}

// helloFrames is the number of frames of the handshake in each direction of a
// connection.
const helloFrames = 1

func (l *link) takeHeartbeat(body []byte) error {
	var h heartbeat
	if err := decodeBody(body, &h); err != nil {
		return err
	}
	if err := l.pulse.take(time.Now(), h); err != nil {
		return err
	}
	if h.Summary != nil {
		l.hand(*h.Summary)
	}
	return nil
}
