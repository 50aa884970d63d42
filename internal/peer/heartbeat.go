package peer

import (
	"fmt"
	"sync"
	"time"
)

// heartbeatState tracks the heartbeats of one link in both directions.
type heartbeatState struct {
	mu sync.Mutex
	// received is the sequence number of the last heartbeat received.
	received   uint64
	receivedAt time.Time
	// echoed is the last of this side's sequence numbers that the peer echoed.
	echoed   uint64
	echoedAt time.Time
	sent     uint64 // sequence number of the last heartbeat queued
	// confirmed is the number of bulk frames that the peer has received.
	confirmed uint64
	// confirmedAt is when confirmed last grew or no frame was unconfirmed.
	confirmedAt time.Time
	// summaryVersion is the version of the last summary queued.
	summaryVersion uint64
}

func (s *heartbeatState) start(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedAt, s.echoedAt, s.confirmedAt = now, now, now
}

// receive records a heartbeat of the peer. It returns an error if a number in it
// is out of range.
func (s *heartbeatState) receive(now time.Time, h heartbeat) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case h.Sequence <= s.received:
		return fmt.Errorf("heartbeat %d arrived after heartbeat %d", h.Sequence, s.received)
	case h.Echo < s.echoed || h.Echo > s.sent:
		return fmt.Errorf("heartbeat echoes sequence number %d, expected %d to %d", h.Echo, s.echoed, s.sent)
	case h.BulkFrames < s.confirmed:
		return fmt.Errorf("heartbeat confirms %d bulk frames, fewer than the %d confirmed before", h.BulkFrames, s.confirmed)
	}
	s.received, s.receivedAt = h.Sequence, now
	if h.Echo > s.echoed {
		s.echoed, s.echoedAt = h.Echo, now
	}
	if h.BulkFrames > s.confirmed {
		s.confirmed, s.confirmedAt = h.BulkFrames, now
	}
	return nil
}

// check returns the reason to end the link, or nil. limit is the value of
// Config.DownAfter, and bulkSent the number of frames sent on the bulk connection
// after its hello.
func (s *heartbeatState) check(now time.Time, limit time.Duration, bulkSent uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bulkSent <= s.confirmed {
		s.confirmedAt = now
	}
	switch {
	case now.Sub(s.receivedAt) > limit:
		return errNoHeartbeat
	case now.Sub(s.echoedAt) > limit:
		return errNoEcho
	case now.Sub(s.confirmedAt) > bulkStallFactor*limit:
		return errBulkStall
	}
	return nil
}

// next returns the next heartbeat without a summary, and whether the caller has
// to add the summary with the given version.
func (s *heartbeatState) next(version, bulkFrames uint64) (h heartbeat, addSummary bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	addSummary = version != s.summaryVersion
	s.summaryVersion = version
	return heartbeat{Sequence: s.sent, Echo: s.received, BulkFrames: bulkFrames}, addSummary
}

// monitor queues heartbeats and fails the link when the heartbeats, echoes or
// confirmations of the peer stop.
func (l *link) monitor() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := l.queueHeartbeat(time.Now()); err != nil {
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

// queueHeartbeat queues the next heartbeat, or returns the reason to end the
// link.
func (l *link) queueHeartbeat(now time.Time) error {
	if err := l.heartbeats.check(now, time.Duration(l.mesh.downAfter.Load()), l.bulk.framesSent.Load()-helloFrames); err != nil {
		return err
	}
	version, summary := l.mesh.currentSummary()
	h, addSummary := l.heartbeats.next(version, l.bulk.framesReceived.Load()-helloFrames)
	if addSummary {
		h.Summary = summary
	}
	l.queue.setHeartbeat(h)
	return nil
}

// helloFrames is the number of handshake frames in each direction of a
// connection. They are not counted as bulk frames.
const helloFrames = 1

// handleHeartbeat processes a received heartbeat and delivers its summary.
func (l *link) handleHeartbeat(body []byte) error {
	var h heartbeat
	if err := decodeBody(body, &h); err != nil {
		return err
	}
	if err := l.heartbeats.receive(time.Now(), h); err != nil {
		return err
	}
	if h.Summary != nil {
		l.deliver(*h.Summary)
	}
	return nil
}
