package bundle

import (
	"fmt"
	"math"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// ChangeKind tells what a record did to the bundle in force.
type ChangeKind string

// Kinds of changes.
const (
	Unchanged ChangeKind = ""       // nothing
	Rolled    ChangeKind = "rolled" // a roll with a higher number is in force
	// Corrected means that a roll with the same number took the place of one
	// that a peer or an incomplete log had supplied. It is never a lower number
	// and must be logged and put in force like Rolled.
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

// Change is what Apply or LoadPeer did. Roll and Bundle are set unless Kind is
// Unchanged. Lists of the bundle are shared and must not be modified.
type Change struct {
	Kind   ChangeKind
	Roll   Info
	Bundle Bundle
}

// Chain follows stream rolls and decides which bundle is in force. It is pure
// state, performs no I/O and is not safe for concurrent use.
//
// The log decides. The view of the log is a function of its records only: a
// roll follows if its number is one more than the current one, it names the
// current roll, a known key signed it, its sections are there and its bundle
// checks. The first such record by offset wins. What a peer supplies is kept
// beside the view of the log and never enters it, except a peer's checkpoint,
// which settles a view that started after the log had dropped records.
//
// The roll in force is the higher of the two. At equal numbers with different
// content a settled view of the log wins, which is reported as Corrected; an
// unsettled view changes nothing. The number in force never becomes lower.
//
// A process acts on its first bundle only after it has read the log to its end
// or has loaded a peer's roll, so that it does not go through old rolls.
// docs/rolls.md gives the reasons.
type Chain struct {
	keys    Keys
	log     logView
	inForce *roll
	pending *Checkpoint // of a peer that has read further than this chain
	base    *roll       // of pending
}

// NewChain returns an empty chain that accepts rolls signed with keys.
func NewChain(keys Keys) *Chain { return &Chain{keys: keys} }

// Apply applies the record at offset of stream rolls. Records come in order of
// offsets; an offset that was applied before changes nothing, and a gap means
// that the log has dropped records. Copies of earlier records change nothing
// and are no error. Other records without effect return an error with a remedy:
// Invalid (malformed or failed checks), Unauthorized (signature), NotFound (a
// section is missing) or Conflict (another roll came first).
func (c *Chain) Apply(offset uint64, data []byte) (Change, error) {
	if c.log.began && offset < c.log.next || offset == math.MaxUint64 {
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

// findSection lets an unsettled view use sections that a peer supplied; in a
// settled view only the log counts.
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
		return fault.New(fault.Invalid, fmt.Sprintf("the checkpoint at offset %d claims to know offset %d", offset, cp.AsOf),
			"only entry processes append checkpoints; the record is ignored")
	}
	base, err := resolve(cp.Roll, c.findSection)
	if err == nil && c.log.settle(cp.AsOf, base) {
		return nil
	}
	return c.log.acceptHigher(cp.Roll, base, err)
}

// promote puts the view's roll in force by the rules of Chain.
func (c *Chain) promote() Change {
	r := c.log.current
	if r == nil {
		return Change{}
	}
	if c.inForce == nil || r.record.Number > c.inForce.record.Number {
		return c.put(Rolled, r)
	}
	if r.record.Number == c.inForce.record.Number && r.id != c.inForce.id && c.log.settled {
		return c.put(Corrected, r)
	}
	return Change{}
}

func (c *Chain) put(kind ChangeKind, r *roll) Change {
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

// Settled reports whether the chain knows the log's history, so that its view
// agrees with every other settled reader's.
func (c *Chain) Settled() bool { return c.log.settled }

// Next returns the offset from which to read the log.
func (c *Chain) Next() uint64 { return c.log.next }

// AheadOfLog reports whether the roll in force came from a peer and is not in
// the log as read so far. If it stays true at the end of the log, the log has
// lost records.
func (c *Chain) AheadOfLog() bool {
	return c.inForce != nil && c.inForce.record.Number > c.log.number()
}
