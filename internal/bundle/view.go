package bundle

import (
	"fmt"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// maxSeen bounds the rolls that an unsettled view remembers. It covers the rolls
// that can be appended between the time a process decides to write a checkpoint
// and the time the checkpoint is in the log.
const maxSeen = 32

// roll is a verified roll with its sections and its checked bundle.
type roll struct {
	record   RollRecord
	id       Hash
	sections [numSections]*section
	bundle   Bundle
}

// follows reports whether rec is the next roll after base, which may be nil.
func (rec *RollRecord) follows(base *roll) bool {
	if base == nil {
		return rec.Number == 1
	}
	return rec.Number == base.record.Number+1 && rec.Replaces == base.id
}

// seenRoll is a verified roll record; roll is nil if its sections were missing.
type seenRoll struct {
	offset uint64
	record RollRecord
	roll   *roll
}

// logView is the chain as the log alone determines it. A settled view knows the
// history: it was read without a gap from offset 0 or from a checkpoint. Its
// state is a function of the log's content only, so all settled readers of the
// same log agree. An unsettled view started after the log had dropped records.
// It takes the highest valid roll as provisional until a checkpoint settles it.
type logView struct {
	current *roll
	began   bool
	start   uint64 // offset from which the log was read without a gap
	next    uint64
	settled bool
	unused  sectionCache
	seen    []seenRoll // while unsettled, in order of offsets
	lost    uint64     // rolls below this offset are no longer in seen
}

// advance notes that the record at offset is read next.
func (v *logView) advance(offset uint64) {
	if !v.began || offset > v.next {
		v.settled = offset == 0
		v.start, v.lost, v.seen = offset, offset, nil
	}
	v.began, v.next = true, offset+1
}

func (v *logView) accept(r *roll) {
	v.current = r
	v.unused.clear()
}

// find returns a section that a roll may use: one of the roll before it, or one
// appended since.
func (v *logView) find(h Hash) *section {
	if s := v.current.find(h); s != nil {
		return s
	}
	return v.unused.find(h)
}

func (r *roll) find(h Hash) *section {
	if r == nil {
		return nil
	}
	for _, s := range r.sections {
		if s.hash == h {
			return s
		}
	}
	return nil
}

// applyRoll applies a verified roll record by the rules of the view.
func (v *logView) applyRoll(offset uint64, rec RollRecord, find func(Hash) *section) error {
	if !v.settled {
		return v.applyUnsettled(offset, rec, find)
	}
	switch {
	case rec.Number < v.number(), v.current != nil && rec.ID() == v.current.id:
		return nil // a copy of an earlier record
	case !rec.follows(v.current):
		return conflict(rec, v.current)
	}
	r, err := resolve(rec, find)
	if err == nil {
		v.accept(r)
	}
	return err
}

// applyUnsettled accepts any higher roll, because the rolls between may have
// been dropped from the log.
func (v *logView) applyUnsettled(offset uint64, rec RollRecord, find func(Hash) *section) error {
	r, err := resolve(rec, find)
	v.remember(seenRoll{offset, rec, r})
	return v.acceptHigher(rec, r, err)
}

func (v *logView) acceptHigher(rec RollRecord, r *roll, err error) error {
	switch {
	case rec.Number < v.number(), v.current != nil && rec.ID() == v.current.id:
		return nil
	case rec.Number == v.number():
		return conflict(rec, v.current)
	case err == nil:
		v.accept(r)
	}
	return err
}

func (v *logView) remember(s seenRoll) {
	v.seen = append(v.seen, s)
	if len(v.seen) > maxSeen {
		v.lost = v.seen[0].offset + 1
		v.seen = append([]seenRoll(nil), v.seen[1:]...)
	}
}

// settle makes an unsettled view settled by a checkpoint: base was in force
// after offset asOf, and the rolls read since then are applied to it. It reports
// false and changes nothing if records between are unknown or if the result
// would be a lower number.
func (v *logView) settle(asOf uint64, base *roll) bool {
	if v.settled || !v.began || asOf >= v.next || asOf+1 < v.start || asOf+1 < v.lost {
		return false
	}
	latest, known := v.replay(asOf, base)
	if !known || latest.record.Number < v.number() {
		return false
	}
	v.current = latest
	v.settled, v.seen = true, nil
	return true
}

// replay applies the rolls read after offset asOf to base. It reports false if
// one of them lacks a section, because a reader with the history may have it.
func (v *logView) replay(asOf uint64, base *roll) (*roll, bool) {
	for _, s := range v.seen {
		if s.offset <= asOf || !s.record.follows(base) {
			continue
		}
		r, err := s.roll, error(nil)
		if r == nil {
			r, err = resolve(s.record, func(h Hash) *section {
				if found := base.find(h); found != nil {
					return found
				}
				return v.find(h)
			})
		}
		if err == nil {
			base = r
		} else if fault.KindOf(err) == fault.NotFound {
			return nil, false
		}
	}
	return base, true
}

func (v *logView) number() uint64 {
	if v.current == nil {
		return 0
	}
	return v.current.record.Number
}

// resolve finds the sections of a verified roll and checks its bundle.
func resolve(rec RollRecord, find func(Hash) *section) (*roll, error) {
	r := &roll{record: rec, id: rec.ID()}
	for slot, h := range rec.SectionHashes.list() {
		if r.sections[slot] = find(h); r.sections[slot] == nil {
			return nil, fault.New(fault.NotFound, fmt.Sprintf("roll %d lacks its section %s", rec.Number, sectionNames[slot]),
				"roll again with fulmarlatchctl, which appends changed sections with the roll")
		}
	}
	b, err := assemble(rec.Version, rec.Comment, r.sections)
	if err != nil {
		return nil, err
	}
	r.bundle = b
	return r, nil
}

func conflict(rec RollRecord, current *roll) error {
	if current == nil {
		return fault.New(fault.Conflict, fmt.Sprintf("roll %d by %q names a roll that is not in the log", rec.Number, rec.Signer),
			"start with roll 1, or wait until a process appends the roll in force again")
	}
	now := current.record
	return fault.New(fault.Conflict,
		fmt.Sprintf("roll %d by %q does not follow roll %d (version %d by %q), which is in force", rec.Number, rec.Signer, now.Number, now.Version, now.Signer),
		"review the bundle in force with bundle show, merge your change into it under a new version, and roll again")
}
