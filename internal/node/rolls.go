package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/core"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/platformlog"
)

// rollState is the state about rolls that the control goroutine keeps in addition
// to the chain.
type rollState struct {
	// lastWritten is when the log accepted the newest roll or checkpoint.
	lastWritten time.Time
	// lastFetch is when the roll of each peer was last requested, by name.
	lastFetch map[string]time.Time
	// advertised is the roll number in the latest summary of each linked peer.
	advertised map[api.EntryRef]uint64
	// inForce is the ID of the roll that the core uses.
	inForce bundle.Hash
	// caughtUp is set when the end of stream rolls is first reached. Before that,
	// the chain may be at an older roll, which must not be put in force.
	caughtUp bool
	// refreshing is true while a refresh is being appended.
	refreshing bool
	// stopped is set when the process stops and no refresh may start.
	stopped bool
}

// rollReader passes the records of stream rolls to the chain.
type rollReader struct{ n *Node }

// Record applies a record of stream rolls.
func (r rollReader) Record(rec platformlog.Record) {
	r.n.post(call(func(n *Node) { n.applyRoll(rec) }))
}

// Gap logs that the log dropped records. The chain detects the gap by the offsets.
func (r rollReader) Gap(from, oldest uint64) {
	r.n.log.Warn("roll_stream_gap", zap.Uint64("from", from), zap.Uint64("oldest", oldest))
}

// CaughtUp puts the newest roll of the log in force.
func (r rollReader) CaughtUp() {
	r.n.post(call(func(n *Node) {
		n.rolls.caughtUp = true
		if info, b, ok := n.chain.InForce(); ok && info.ID != n.rolls.inForce {
			n.putInForce(bundle.Change{Kind: bundle.Rolled, Roll: info, Bundle: b}, "log")
		}
		n.warnIfAheadOfLog()
	}))
}

// State does nothing; workReader reports the state of the log.
func (r rollReader) State(bool, error) {}

// applyRoll applies a record to the chain and puts a resulting roll in force.
func (n *Node) applyRoll(rec platformlog.Record) {
	change, err := n.chain.Apply(rec.Offset, rec.Data)
	if err != nil {
		n.log.Warn("roll_refused", zap.Uint64("offset", rec.Offset), zap.Error(err))
	}
	if decoded, err := bundle.DecodeRecord(rec.Data); err == nil && decoded.Section == nil {
		n.rolls.lastWritten = time.UnixMilli(rec.TimeMS)
	}
	if n.rolls.caughtUp {
		n.putInForce(change, "log")
	}
}

// warnIfAheadOfLog logs a warning if the log has lost the roll in force.
func (n *Node) warnIfAheadOfLog() {
	if n.chain.AheadOfLog() {
		n.log.Warn("log_lacks_roll_in_force", zap.String("remedy", "check the log service; roll the bundle again if the log lost records"))
	}
}

// putInForce makes the core, the mesh and the token check use a new bundle.
func (n *Node) putInForce(change bundle.Change, source string) {
	if change.Kind == bundle.Unchanged {
		return
	}
	n.log.Info("bundle_in_force",
		zap.String("change", string(change.Kind)), zap.Uint64("roll", change.Roll.Number),
		zap.Uint64("version", change.Roll.Version), zap.String("signer", change.Roll.Signer),
		zap.String("source", source))
	n.rolls.inForce = change.Roll.ID
	n.tokenHashes.Store(newTokenHashes(change.Bundle.Workspaces))
	n.setPeerTiming(change.Bundle.Timing)
	n.handleCoreEvent(core.BundleChanged{Roll: change.Roll.Number, Bundle: change.Bundle})
	n.publishSummary()
	n.publishStatus()
}

func (n *Node) setPeerTiming(t bundle.Timing) {
	n.mesh.SetTiming(time.Duration(t.HeartbeatMS)*time.Millisecond, time.Duration(t.PeerDownMS)*time.Millisecond)
}

// fetchInterval is the shortest interval between two requests for the roll of a
// peer.
const fetchInterval = time.Second

// handlePeerRoll records the roll number in the summary of a peer and requests the
// roll if the number is higher than that of the roll in force.
func (n *Node) handlePeerRoll(from api.EntryRef, number uint64) {
	if n.rolls.advertised == nil {
		n.rolls.advertised = make(map[api.EntryRef]uint64)
	}
	n.rolls.advertised[from] = number
	if info, _, _ := n.chain.InForce(); number > info.Number {
		n.fetchRollFrom(from)
	}
}

// refetchAdvertised requests higher rolls that peers have advertised but not sent.
// A peer sends no summary while nothing changes, so a summary that arrives within
// fetchInterval of the last request may be the only one with that roll number.
func (n *Node) refetchAdvertised() {
	info, _, _ := n.chain.InForce()
	for ref, number := range n.rolls.advertised {
		if number > info.Number {
			n.fetchRollFrom(ref)
		}
	}
}

// fetchRollFrom requests the roll of a peer, at most once per fetchInterval.
func (n *Node) fetchRollFrom(ref api.EntryRef) {
	if n.rolls.lastFetch == nil {
		n.rolls.lastFetch = make(map[string]time.Time)
	}
	if time.Since(n.rolls.lastFetch[ref.Name]) < fetchInterval {
		return
	}
	n.rolls.lastFetch[ref.Name] = time.Now()
	n.send(core.Send{To: ref, Message: message.FetchRoll{}, Urgent: true})
}

// sendRoll sends the roll in force, if any, to a peer.
func (n *Node) sendRoll(to api.EntryRef) {
	records := n.chain.Records()
	if len(records) == 0 {
		return
	}
	n.send(core.Send{To: to, Message: message.Roll{Records: records}})
}

// loadPeerRoll loads the roll that a peer has sent and puts it in force if it is
// newer.
func (n *Node) loadPeerRoll(from api.EntryRef, m message.Roll) {
	change, err := n.chain.LoadPeer(m.Records)
	if err != nil {
		n.log.Warn("peer_roll_refused", zap.String("peer", from.String()), zap.Error(err))
	}
	n.putInForce(change, from.Name)
}

// refreshRoll appends the roll in force again before the log drops it. A process
// that has not read the full history of the log waits longer, so that it writes
// only if no other process does.
func (n *Node) refreshRoll(retention time.Duration) {
	age := retention / 4
	if !n.chain.Settled() {
		age = retention / 2
	}
	if n.rolls.stopped || n.rolls.refreshing || n.rolls.lastWritten.IsZero() || time.Since(n.rolls.lastWritten) < age {
		return
	}
	records := n.chain.Refresh()
	if len(records) == 0 {
		return
	}
	n.rolls.refreshing = true
	n.drivers.Go(func() { n.appendRefresh(records) })
}

// stopRefreshes returns when the control goroutine will start no further refresh,
// so that no goroutine is added to drivers while Run waits for them.
func (n *Node) stopRefreshes() {
	stopped := make(chan struct{})
	n.post(call(func(n *Node) {
		n.rolls.stopped = true
		close(stopped)
	}))
	<-stopped
}

// appendRefresh appends the records of a refresh and clears refreshing.
func (n *Node) appendRefresh(records [][]byte) {
	ctx, cancel := context.WithTimeout(context.Background(), platformlog.CallTimeout)
	defer cancel()
	_, err := n.logClient.Append(ctx, streamRolls, records)
	n.log.Info("roll_refreshed", zap.Int("records", len(records)), zap.Error(err))
	n.post(call(func(n *Node) { n.rolls.refreshing = false }))
}
