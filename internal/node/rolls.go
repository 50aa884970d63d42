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

// rollState is what the control goroutine keeps about rolls besides the chain.
type rollState struct {
	// written is when the log accepted the newest roll or checkpoint.
	written time.Time
	// fetched is when each peer was last asked for its roll.
	fetched map[string]time.Time
	// offered is the highest roll that each linked peer has named.
	offered map[api.EntryRef]uint64
	// inForce is the roll that the core works with.
	inForce bundle.Hash
	// caughtUp is true when the end of stream rolls was reached once. Before,
	// the chain may stand at an older roll, which must not be put in force.
	caughtUp bool
	// refreshing is true while a refresh is being appended.
	refreshing bool
	// closed is true when the process ends and no refresh may begin.
	closed bool
}

// rollReader passes the records of stream rolls to the chain.
type rollReader struct{ n *Node }

// Record applies a record of stream rolls.
func (r rollReader) Record(rec platformlog.Record) {
	r.n.post(call(func(n *Node) { n.applyRoll(rec) }))
}

// Gap reports records that the log dropped; the chain notices by the offsets.
func (r rollReader) Gap(from, oldest uint64) {
	r.n.log.Warn("roll_stream_gap", zap.Uint64("from", from), zap.Uint64("oldest", oldest))
}

// CaughtUp puts the roll in force that the log ends with.
func (r rollReader) CaughtUp() {
	r.n.post(call(func(n *Node) {
		n.rolls.caughtUp = true
		if info, b, ok := n.chain.InForce(); ok && info.ID != n.rolls.inForce {
			n.putInForce(bundle.Change{Kind: bundle.Rolled, Roll: info, Bundle: b}, "log")
		}
		n.warnIfAheadOfLog()
	}))
}

// State is reported by the reader of stream work.
func (r rollReader) State(bool, error) {}

func (n *Node) applyRoll(rec platformlog.Record) {
	change, err := n.chain.Apply(rec.Offset, rec.Data)
	if err != nil {
		n.log.Warn("roll_refused", zap.Uint64("offset", rec.Offset), zap.Error(err))
	}
	if decoded, err := bundle.DecodeRecord(rec.Data); err == nil && decoded.Section == nil {
		n.rolls.written = time.UnixMilli(rec.TimeMS)
	}
	if n.rolls.caughtUp {
		n.putInForce(change, "log")
	}
}

// warnIfAheadOfLog reports a log that has lost the roll in force.
func (n *Node) warnIfAheadOfLog() {
	if n.chain.AheadOfLog() {
		n.log.Warn("log_lacks_roll_in_force", zap.String("remedy", "check the log service; roll the bundle again if the log lost records"))
	}
}

// putInForce tells the core about a new bundle.
func (n *Node) putInForce(change bundle.Change, source string) {
	if change.Kind == bundle.Unchanged {
		return
	}
	n.log.Info("bundle_in_force",
		zap.String("change", string(change.Kind)), zap.Uint64("roll", change.Roll.Number),
		zap.Uint64("version", change.Roll.Version), zap.String("signer", change.Roll.Signer),
		zap.String("source", source))
	n.rolls.inForce = change.Roll.ID
	n.workspaces.Store(newWorkspaceTokens(change.Bundle.Workspaces))
	n.setPeerTiming(change.Bundle.Timing)
	n.step(core.BundleChanged{Roll: change.Roll.Number, Bundle: change.Bundle})
	n.publishSummary()
	n.publishStatus()
}

func (n *Node) setPeerTiming(t bundle.Timing) {
	n.mesh.SetTiming(time.Duration(t.HeartbeatMS)*time.Millisecond, time.Duration(t.PeerDownMS)*time.Millisecond)
}

// fetchInterval bounds how often one peer is asked for its roll.
const fetchInterval = time.Second

// compareRoll asks a peer for its roll if its summary names a higher one.
func (n *Node) compareRoll(from api.EntryRef, number uint64) {
	if n.rolls.offered == nil {
		n.rolls.offered = make(map[api.EntryRef]uint64)
	}
	n.rolls.offered[from] = number
	if info, _, _ := n.chain.InForce(); number > info.Number {
		n.fetchRollFrom(from)
	}
}

// compareOffered asks again for rolls that peers have named and not sent. A peer
// sends no summary while nothing changes, so a summary that came within
// fetchInterval of the last question may be the only one that names the roll.
func (n *Node) compareOffered() {
	info, _, _ := n.chain.InForce()
	for ref, number := range n.rolls.offered {
		if number > info.Number {
			n.fetchRollFrom(ref)
		}
	}
}

func (n *Node) fetchRollFrom(ref api.EntryRef) {
	if n.rolls.fetched == nil {
		n.rolls.fetched = make(map[string]time.Time)
	}
	if time.Since(n.rolls.fetched[ref.Name]) < fetchInterval {
		return
	}
	n.rolls.fetched[ref.Name] = time.Now()
	n.send(core.Send{To: ref, Message: message.FetchRoll{}, Urgent: true})
}

func (n *Node) sendRoll(to api.EntryRef) {
	records := n.chain.Records()
	if len(records) == 0 {
		return
	}
	n.send(core.Send{To: to, Message: message.Roll{Records: records}})
}

func (n *Node) rollFromPeer(from api.EntryRef, m message.Roll) {
	change, err := n.chain.LoadPeer(m.Records)
	if err != nil {
		n.log.Warn("peer_roll_refused", zap.String("peer", from.String()), zap.Error(err))
	}
	n.putInForce(change, from.Name)
}

// refreshRoll appends the roll in force again before the log drops it. A process
// that does not know the log's history waits longer, so that it writes only if no
// other process does.
func (n *Node) refreshRoll(retention time.Duration) {
	age := retention / 4
	if !n.chain.Settled() {
		age = retention / 2
	}
	if n.rolls.closed || n.rolls.refreshing || n.rolls.written.IsZero() || time.Since(n.rolls.written) < age {
		return
	}
	records := n.chain.Refresh()
	if len(records) == 0 {
		return
	}
	n.rolls.refreshing = true
	n.drivers.Go(func() { n.appendRefresh(records) })
}

// stopRefreshes returns when the control goroutine starts no further refresh, so
// that nothing is added to the drivers while they are waited for.
func (n *Node) stopRefreshes() {
	stopped := make(chan struct{})
	n.post(call(func(n *Node) {
		n.rolls.closed = true
		close(stopped)
	}))
	<-stopped
}

func (n *Node) appendRefresh(records [][]byte) {
	ctx, cancel := context.WithTimeout(context.Background(), platformlog.CallBound)
	defer cancel()
	_, err := n.logClient.Append(ctx, streamRolls, records)
	n.log.Info("roll_refreshed", zap.Int("records", len(records)), zap.Error(err))
	n.post(call(func(n *Node) { n.rolls.refreshing = false }))
}
