package bundle

import (
	"fmt"
	"math"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// ChangeKind says how a record changed the bundle in force.
type ChangeKind string

// Kinds of changes.
const (
	Unchanged ChangeKind = ""       // nothing
	Rolled    ChangeKind = "rolled" // a roll with a higher number is in force
	// Corrected means that another roll with the same number replaced one that
	// came from a peer or from an incomplete log. The caller must log it and put
	// its bundle in force as for Rolled.
	Corrected ChangeKind = "corrected"
)

// Info describes a roll in force.
type Info struct {
	Number     uint64 `json:"number"`
	ID         Hash   `json:"id"`
	Version    uint64 `json:"version"`
	Signer     string `json:"signer"`
	Comment    string `json:"comment,omitempty"`
	SignedAtMS int64  `json:"signed_at_ms"` // Unix time by the signer's clock
}

// Change is the result of Apply or LoadPeer. Roll and Bundle are set unless Kind
// is Unchanged. The lists of the bundle are shared and must not be modified.
type Change struct {
	Kind   ChangeKind
	Roll   Info
	Bundle Bundle
}

// Chain applies the records of stream rolls and determines which bundle is in
// force. It performs no I/O and is not safe for concurrent use.
//
// The log is authoritative. The view of the log is a function of its records
// only: a roll follows the current one if its number is one higher, it names the
// current roll as its predecessor, it is signed with one of the keys, all its
// sections are available and its bundle passes the checks. The first such record
// by offset wins. Rolls from peers are kept apart from the view of the log and
// never enter it. The exception is a peer's checkpoint, which settles a view that
// started after the log had dropped records.
//
// The roll in force is the view's roll or a peer's roll, whichever has the higher
// number. If two with the same number differ, a settled view wins, which is reported
// as Corrected, and an unsettled view changes nothing. The number in force never
// decreases.
//
// The caller must not act on the first bundle before it has read the log to its
// end or loaded a peer's roll; otherwise it would put outdated rolls in force one
// after the other. docs/rolls.md gives the reasons.
type Chain struct {
	keys        Keys
	log         logView
	inForce     *roll
	pending     *Checkpoint // of a peer that has read further than this chain
	pendingRoll *roll       // of pending
}

// NewChain returns an empty chain that accepts rolls signed with one of keys.
func NewChain(keys Keys) *Chain { return &Chain{keys: keys} }

// Apply applies the record at offset of stream rolls. Records must be applied in
// order of offsets; an offset that was applied before changes nothing, and a gap
// means that the log has dropped records. Copies of earlier records change nothing
// and are not errors. For any other record without effect, Apply returns an error
// with a remedy: Invalid (malformed or failed checks), Unauthorized (signature),
// NotFound (a section is missing) or Conflict (another roll came first).
func (c *Chain) Apply(offset uint64, data []byte) (Change, error) {
	if c.log.started && offset < c.log.next || offset == math.MaxUint64 {
		return Change{}, nil
	}
	c.log.advance(offset)
	c.settlePending(offset)
	err := c.applyRecord(offset, data)
	return c.promote(), err
}

func (c *Chain) applyRecord(offset uint64, data []byte) error {
	rec, err := DecodeRecord(data)
	switch {
	case err != nil:
		return err
	case rec.Section != nil:
		c.log.unused.add(newSection(rec.Section.Data))
		return nil
	case rec.Checkpoint != nil:
		return c.applyCheckpoint(offset, *rec.Checkpoint)
	}
	if err := rec.Roll.Verify(c.keys); err != nil {
		return err
	}
	return c.log.applyRoll(offset, *rec.Roll, c.findSection)
}

// findSection returns the section with hash h, or nil. A settled view uses only
// sections of the log; an unsettled one also uses those of the roll in force, which
// may come from a peer.
func (c *Chain) findSection(h Hash) *section {
	s := c.log.find(h)
	if s == nil && !c.log.settled {
		s = c.inForce.find(h)
	}
	return s
}

func (c *Chain) applyCheckpoint(offset uint64, cp Checkpoint) error {
	if err := cp.Roll.Verify(c.keys); err != nil {
		return err
	}
	if c.log.settled {
		return nil
	}
	if cp.AsOf >= offset {
		return fault.New(fault.Invalid, fmt.Sprintf("the checkpoint at offset %d covers the later offset %d", offset, cp.AsOf),
			"only entry processes append checkpoints; the record is ignored")
	}
	base, err := resolve(cp.Roll, c.findSection)
	if err == nil && c.log.settle(cp.AsOf, base) {
		return nil
	}
	return c.log.acceptHigher(cp.Roll, base, err)
}

// promote puts the current roll of the log's view in force if its number is higher
// than the one in force, or if a settled view has another roll with the same number.
func (c *Chain) promote() Change {
	r := c.log.current
	if r == nil {
		return Change{}
	}
	if c.inForce == nil || r.record.Number > c.inForce.record.Number {
		return c.putInForce(Rolled, r)
	}
	if r.record.Number == c.inForce.record.Number && r.id != c.inForce.id && c.log.settled {
		return c.putInForce(Corrected, r)
	}
	return Change{}
}

func (c *Chain) putInForce(kind ChangeKind, r *roll) Change {
	c.inForce = r
	return Change{Kind: kind, Roll: r.info(), Bundle: r.bundle}
}

func (r *roll) info() Info {
	rec := r.record
	return Info{rec.Number, r.id, rec.Version, rec.Signer, rec.Comment, rec.SignedAtMS}
}

// InForce returns the roll in force and its bundle, or false if there is none.
func (c *Chain) InForce() (Info, Bundle, bool) {
	if c.inForce == nil {
		return Info{}, Bundle{}, false
	}
	return c.inForce.info(), c.inForce.bundle, true
}

// Settled reports whether the chain has the complete history of the log, so that
// its view is the same as that of every other settled reader.
func (c *Chain) Settled() bool { return c.log.settled }

// Next returns the offset of the next record to apply.
func (c *Chain) Next() uint64 { return c.log.next }

// AheadOfLog reports whether the roll in force came from a peer and is not in
// the log as read so far. If it stays true at the end of the log, the log has
// lost records.
func (c *Chain) AheadOfLog() bool {
	return c.inForce != nil && c.inForce.record.Number > c.log.number()
}
