package bundle

import (
	"fmt"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// maxSeenRolls limits the rolls that an unsettled view keeps. It must cover those
// that may be appended between the time when a process creates a checkpoint and the
// time when the checkpoint is in the log.
const maxSeenRolls = 32

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

// logView is the chain as determined by the log alone. A settled view has the
// complete history: it was read without a gap from offset 0 or from a checkpoint.
// Its state is a function of the log's content only, so all settled readers of the
// same log agree. An unsettled view started after the log had dropped records; it
// provisionally uses the highest valid roll until a checkpoint settles it.
type logView struct {
	current  *roll
	started  bool   // a record has been read
	start    uint64 // offset from which the log was read without a gap
	next     uint64 // offset after the last record that was read
	settled  bool
	unused   sectionCache
	seen     []seenRoll // while unsettled, in order of offsets
	seenFrom uint64     // offset from which seen is complete
}

// advance moves the view to the record at offset. A gap makes the view unsettled.
func (v *logView) advance(offset uint64) {
	if !v.started || offset > v.next {
		v.settled = offset == 0
		v.start, v.seenFrom, v.seen = offset, offset, nil
	}
	v.started, v.next = true, offset+1
}

func (v *logView) accept(r *roll) {
	v.current = r
	v.unused.clear()
}

// find returns a section that the next roll may use: one of the current roll or one
// appended since. It returns nil if there is none with hash h.
func (v *logView) find(h Hash) *section {
	if s := v.current.find(h); s != nil {
		return s
	}
	return v.unused.find(h)
}

// find returns the section of r with hash h, or nil. A nil roll has no sections.
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

// applyRoll applies a verified roll record. A settled view accepts only the roll
// that follows the current one.
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

// applyUnsettled accepts any roll with a higher number, because the log may have
// dropped the rolls in between.
func (v *logView) applyUnsettled(offset uint64, rec RollRecord, find func(Hash) *section) error {
	r, err := resolve(rec, find)
	v.addSeen(seenRoll{offset, rec, r})
	return v.acceptHigher(rec, r, err)
}

// acceptHigher accepts r if its number is higher than the current one. It returns a
// Conflict error for another roll with the same number; err is the error of
// resolving rec, if any.
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

// addSeen keeps a roll for replay and drops the oldest one beyond maxSeenRolls.
func (v *logView) addSeen(s seenRoll) {
	v.seen = append(v.seen, s)
	if len(v.seen) > maxSeenRolls {
		v.seenFrom = v.seen[0].offset + 1
		v.seen = append([]seenRoll(nil), v.seen[1:]...)
	}
}

// settle settles the view with a checkpoint: base was in force after offset asOf,
// and the rolls read since then are applied to it. It returns false and changes
// nothing if the view is already settled, has not read up to asOf or lacks later
// records, or if the resulting roll would have a lower number than the current one.
func (v *logView) settle(asOf uint64, base *roll) bool {
	if v.settled || !v.started || asOf >= v.next || asOf+1 < v.start || asOf+1 < v.seenFrom {
		return false
	}
	latest, complete := v.replay(asOf, base)
	if !complete || latest.record.Number < v.number() {
		return false
	}
	v.current = latest
	v.settled, v.seen = true, nil
	return true
}

// replay applies the rolls read after offset asOf to base. It returns false if a
// section of one of them is missing, because a reader with the complete history may
// have that section and accept the roll.
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

// number returns the number of the current roll, 0 for none.
func (v *logView) number() uint64 {
	if v.current == nil {
		return 0
	}
	return v.current.record.Number
}

// resolve finds the sections of a verified roll and checks its bundle. It returns a
// NotFound error if a section is missing and an Invalid error if the bundle fails its
// checks.
func resolve(rec RollRecord, find func(Hash) *section) (*roll, error) {
	r := &roll{record: rec, id: rec.ID()}
	for i, h := range rec.SectionHashes.list() {
		if r.sections[i] = find(h); r.sections[i] == nil {
			return nil, fault.New(fault.NotFound, fmt.Sprintf("roll %d refers to a missing section %s", rec.Number, sectionNames[i]),
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

// conflict returns the error for a roll that does not follow current, which is nil
// if no roll is in force.
func conflict(rec RollRecord, current *roll) error {
	if current == nil {
		return fault.New(fault.Conflict, fmt.Sprintf("roll %d by %q replaces a roll that is not in the log", rec.Number, rec.Signer),
			"start with roll 1, or wait until a process appends the roll in force again")
	}
	now := current.record
	return fault.New(fault.Conflict,
		fmt.Sprintf("roll %d by %q does not follow roll %d (version %d by %q), which is in force", rec.Number, rec.Signer, now.Number, now.Version, now.Signer),
		"review the bundle in force with bundle show, merge your change into it under a new version, and roll again")
}
