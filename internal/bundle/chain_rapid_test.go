package bundle

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// simulation is a log with two operators, a reader that reads all records, and readers
// that start at random times at the oldest record that the log holds at that time.
type simulation struct {
	t               *rapid.T
	log             stream
	operators       map[string]*Chain
	fullReader      *Chain
	readers         []*Chain
	highest         map[*Chain]uint64 // highest roll number seen in force
	version         uint64
	checkpointStart int // offset of the latest checkpoint's first section
}

func (s *simulation) draw(label string, n int) int { return rapid.IntRange(0, n-1).Draw(s.t, label) }

// roll lets a random operator append a roll of a new or an older bundle version.
func (s *simulation) roll() {
	name := []string{"isla", "ruaridh"}[s.draw("operator", 2)]
	c := s.operators[name]
	s.version++
	if s.draw("rollback", 4) == 0 {
		s.version = max(1, s.version/2)
	}
	signed, err := c.Sign(version(s.version), name, privateKeys[name], signedAt)
	assert.NilError(s.t, err)
	s.log.append(signed.Records...)
}

func (s *simulation) operatorReads() {
	s.readPart(s.operators[[]string{"isla", "ruaridh"}[s.draw("operator", 2)]])
}

// readPart lets c read up to a random offset.
func (s *simulation) readPart(c *Chain) {
	_, _ = s.log.read(c, rapid.IntRange(0, len(s.log.records)).Draw(s.t, "end"))
}

// duplicateRecord appends a copy of a random record.
func (s *simulation) duplicateRecord() {
	if len(s.log.records) > 0 {
		s.log.append(s.log.records[s.draw("copied", len(s.log.records))])
	}
}

// appendForged appends a roll with a corrupt signature and a random record.
func (s *simulation) appendForged() {
	signed, err := s.fullReader.Sign(version(900+s.version), "isla", privateKeys["isla"], signedAt)
	assert.NilError(s.t, err)
	for _, data := range signed.Records {
		rec, err := DecodeRecord(data)
		assert.NilError(s.t, err)
		if rec.Roll != nil {
			rec.Roll.Signature[s.draw("byte", len(rec.Roll.Signature))] ^= 1
		}
		s.log.append(EncodeRecord(rec))
	}
	s.log.append(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(s.t, "junk"))
}

// refresh lets the reader of all records append a checkpoint.
func (s *simulation) refresh() {
	s.readPart(s.fullReader)
	if records := s.fullReader.Refresh(); records != nil {
		s.checkpointStart = len(s.log.records)
		s.log.append(records...)
	}
}

// truncate drops a random number of records, but none of the latest checkpoint or
// after it.
func (s *simulation) truncate() {
	s.log.oldest = rapid.IntRange(s.log.oldest, max(s.log.oldest, s.checkpointStart)).Draw(s.t, "oldest")
}

func (s *simulation) startReader() { s.readers = append(s.readers, NewChain(publicKeys)) }

// loadPeer sends the roll in force of a random reader to another one.
func (s *simulation) loadPeer() {
	from, to := s.readers[s.draw("from", len(s.readers))], s.readers[s.draw("to", len(s.readers))]
	if records := from.Records(); records != nil {
		_, _ = to.LoadPeer(records)
	}
}

// checkNumbers fails if the roll number in force of a reader has decreased.
func (s *simulation) checkNumbers() {
	for _, c := range append(s.readers, s.fullReader) {
		number := inForce(c)[0]
		assert.Assert(s.t, number >= s.highest[c], "reverted from roll %d to %d", s.highest[c], number)
		s.highest[c] = number
	}
}

// expectedRoll determines the last roll of the chain from all records: each roll is
// the first by offset with a valid signature that replaces the previous one.
func (s *simulation) expectedRoll() (last Hash) {
	for _, data := range s.log.records {
		rec, err := DecodeRecord(data)
		if err != nil || rec.Roll == nil || rec.Roll.Verify(publicKeys) != nil {
			continue
		}
		if rec.Roll.Replaces == last {
			last = rec.Roll.ID()
		}
	}
	return last
}

// TestChainProperties guards against a chain whose roll number decreases, that differs
// between readers of the same log, or that is changed by an invalid record. The log has
// racing and lagging operators, copied, forged and dropped records, and checkpoints.
func TestChainProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, operators: map[string]*Chain{"isla": NewChain(publicKeys), "ruaridh": NewChain(publicKeys)},
			fullReader: NewChain(publicKeys), highest: map[*Chain]uint64{}}
		s.startReader()
		actions := []func(){s.roll, s.roll, s.operatorReads, s.operatorReads, s.duplicateRecord, s.appendForged, s.refresh,
			s.truncate, s.startReader, s.loadPeer, func() { s.readPart(s.readers[s.draw("reader", len(s.readers))]) }}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			actions[s.draw("action", len(actions))]()
			s.catchUp()
			s.checkNumbers()
		}
		s.finish()
	})
}

// catchUp lets the reader of all records read what truncation may drop. It does the
// same for the operators, because fulmarlatchctl refuses to sign on an incomplete log.
func (s *simulation) catchUp() {
	for _, c := range []*Chain{s.fullReader, s.operators["isla"], s.operators["ruaridh"]} {
		if int(c.Next()) < s.checkpointStart {
			oldest := s.log.oldest
			s.log.oldest = 0
			_, _ = s.log.read(c, s.checkpointStart)
			s.log.oldest = oldest
		}
	}
}

// finish appends a last checkpoint and compares the roll in force of all readers with
// the expected one.
func (s *simulation) finish() {
	_, _ = s.log.readAll(s.fullReader)
	s.log.append(s.fullReader.Refresh()...)
	s.startReader()
	want := s.expectedRoll()
	for _, c := range append(s.readers, s.fullReader) {
		_, _ = s.log.readAll(c)
		info, _, found := c.InForce()
		assert.Equal(s.t, info.ID, want)
		assert.Assert(s.t, !found || c.Settled())
	}
	s.checkNumbers()
}
