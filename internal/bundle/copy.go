package bundle

import (
	"crypto/ed25519"
	"fmt"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Records returns the encoded records of the roll in force, for a peer's LoadPeer:
// the four sections and the roll, which is sent as a checkpoint if the chain is
// settled. It returns nil if no roll is in force.
func (c *Chain) Records() [][]byte {
	if c.inForce == nil {
		return nil
	}
	if c.log.settled && c.log.current == c.inForce {
		return c.Refresh()
	}
	return append(c.inForce.sectionRecords(nil), EncodeRecord(Record{Roll: &c.inForce.record}))
}

// Refresh returns the records to append, as one batch, before the log drops the
// records of the roll in force: the four sections and a checkpoint. It returns nil
// if there is no roll. A process with a settled chain appends them when the last
// roll or checkpoint is older than a quarter of the log's retention. A process with
// an unsettled chain waits for half of the retention, so that it appends only if no
// process has a settled chain; its checkpoint may then hold a roll that is known
// only from a peer.
func (c *Chain) Refresh() [][]byte {
	r := c.log.current
	if !c.log.settled && c.inForce != nil {
		r = c.inForce
	}
	if r == nil {
		return nil
	}
	if !c.log.started {
		return c.Records()
	}
	cp := &Checkpoint{AsOf: c.log.next - 1, Roll: r.record}
	return append(r.sectionRecords(nil), EncodeRecord(Record{Checkpoint: cp}))
}

// sectionRecords returns encoded records of the sections of r that are not in base.
// A nil base has no sections.
func (r *roll) sectionRecords(base *roll) [][]byte {
	var out [][]byte
	for _, s := range r.sections {
		if base.find(s.hash) == nil {
			out = append(out, EncodeRecord(Record{Section: &SectionRecord{s.hash, s.data}}))
		}
	}
	return out
}

// LoadPeer loads records that a peer's Records returned. The peer's roll is put in
// force if its number is higher than that of the roll in force; an older roll or a
// copy changes nothing. It returns a Conflict error if the peer has a different roll
// with the same number, and the errors of Apply for records that fail the checks.
func (c *Chain) LoadPeer(records [][]byte) (Change, error) {
	r, cp, err := c.readPeer(records)
	if err != nil {
		return Change{}, err
	}
	if cp != nil && !c.log.settled {
		c.pending, c.pendingRoll = cp, r
		c.settlePending(c.log.next)
	}
	if change := c.promote(); change.Kind != Unchanged {
		return change, nil
	}
	switch {
	case c.inForce == nil || r.record.Number > c.inForce.record.Number:
		return c.putInForce(Rolled, r), nil
	case r.record.Number == c.inForce.record.Number && r.id != c.inForce.id:
		return Change{}, conflict(r.record, c.inForce)
	}
	return Change{}, nil
}

// readPeer decodes and verifies a peer's records. The checkpoint is nil if the peer
// sent a plain roll record.
func (c *Chain) readPeer(records [][]byte) (*roll, *Checkpoint, error) {
	if len(records) != numSections+1 {
		return nil, nil, fault.New(fault.Invalid, fmt.Sprintf("a peer sent %d records instead of four sections and a roll", len(records)), "ask another peer")
	}
	var sections sectionCache
	for _, data := range records[:len(records)-1] {
		rec, err := DecodeRecord(data)
		if err != nil {
			return nil, nil, err
		}
		if rec.Section != nil {
			sections.add(newSection(rec.Section.Data))
		}
	}
	rec, err := DecodeRecord(records[len(records)-1])
	if err != nil {
		return nil, nil, err
	}
	signed := rec.Roll
	if rec.Checkpoint != nil {
		signed = &rec.Checkpoint.Roll
	}
	if signed == nil {
		return nil, nil, fault.New(fault.Invalid, "a peer sent sections without a roll", "ask another peer")
	}
	if err := signed.Verify(c.keys); err != nil {
		return nil, nil, err
	}
	r, err := resolve(*signed, sections.find)
	return r, rec.Checkpoint, err
}

// settlePending settles the view with a peer's checkpoint once every record that the
// checkpoint covers has been read; next is the first offset not applied yet.
func (c *Chain) settlePending(next uint64) {
	if c.pending == nil || c.pending.AsOf >= next {
		return
	}
	c.log.settle(c.pending.AsOf, c.pendingRoll)
	c.pending, c.pendingRoll = nil, nil
}

// Signed is a signed roll that is ready to be appended to stream rolls.
type Signed struct {
	Number uint64
	ID     Hash
	// Records holds the sections that differ from those of the previous roll,
	// followed by the roll record. They are appended in this order in one request.
	Records [][]byte
}

// Sign returns a signed roll of b that follows the last roll of the log as read so
// far; it does not change the chain. The key must be the private key that belongs
// to the signer's public key in the chain's keys. Errors are those of Check and of
// RollRecord.Verify.
func (c *Chain) Sign(b Bundle, signer string, key ed25519.PrivateKey, at time.Time) (Signed, error) {
	b = normalize(b)
	if err := Check(b); err != nil {
		return Signed{}, err
	}
	sections, err := sectionsOf(b)
	if err != nil {
		return Signed{}, err
	}
	rec := RollRecord{
		Number:        c.log.number() + 1,
		Version:       b.Version,
		SectionHashes: SectionHashes{sections[0].hash, sections[1].hash, sections[2].hash, sections[3].hash},
		Signer:        signer,
		Comment:       b.Comment,
		SignedAtMS:    at.UnixMilli(),
	}
	if c.log.current != nil {
		rec.Replaces = c.log.current.id
	}
	rec.Sign(key)
	if err := rec.Verify(c.keys); err != nil {
		return Signed{}, err
	}
	r := &roll{record: rec, sections: sections}
	records := append(r.sectionRecords(c.log.current), EncodeRecord(Record{Roll: &rec}))
	return Signed{Number: rec.Number, ID: rec.ID(), Records: records}, nil
}
