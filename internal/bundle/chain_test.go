package bundle

import (
	"crypto/ed25519"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

var (
	signedAt    = time.UnixMilli(1_700_000_000_000)
	privateKeys = map[string]ed25519.PrivateKey{}
	publicKeys  = Keys{}
)

func init() {
	for i, name := range []string{"isla", "ruaridh", "mallory"} {
		seed := make([]byte, ed25519.SeedSize)
		seed[0] = byte(i)
		privateKeys[name] = ed25519.NewKeyFromSeed(seed)
		if name != "mallory" {
			publicKeys[name] = privateKeys[name].Public().(ed25519.PublicKey)
		}
	}
}

// version returns a bundle whose workspaces section depends on n.
func version(n uint64) Bundle {
	b, err := Parse([]byte(goodBundle))
	if err != nil {
		panic(err)
	}
	b.Version = n
	b.Workspaces = []Workspace{{Name: fmt.Sprintf("workspace-%d", n), Weight: 1}}
	return b
}

// stream is the content of stream rolls.
type stream struct {
	records [][]byte
	oldest  int // offset of the oldest record that the log still holds
}

func (s *stream) append(records ...[]byte) { s.records = append(s.records, records...) }

// read applies the records before offset end that c has not read yet. It returns the
// last change and the error of the last record.
func (s *stream) read(c *Chain, end int) (last Change, err error) {
	for i := max(int(c.Next()), s.oldest); i < end; i++ {
		change, e := c.Apply(uint64(i), s.records[i])
		if err = e; change.Kind != Unchanged {
			last = change
		}
	}
	return last, err
}

func (s *stream) readAll(c *Chain) (Change, error) { return s.read(c, len(s.records)) }

func (s *stream) newReader() *Chain {
	c := NewChain(publicKeys)
	_, _ = s.readAll(c)
	return c
}

// sign returns a roll of version n by the signer that follows the last one in the
// stream.
func (s *stream) sign(t *testing.T, n uint64, signer string) Signed {
	t.Helper()
	signed, err := s.newReader().Sign(version(n), signer, privateKeys[signer], signedAt)
	assert.NilError(t, err)
	return signed
}

// inForce returns the roll number and the bundle version in force.
func inForce(c *Chain) [2]uint64 {
	info, _, _ := c.InForce()
	return [2]uint64{info.Number, info.Version}
}

// TestChainConflict guards against a race of two operators in which the later record
// takes effect, and against an error without a remedy.
func TestChainConflict(t *testing.T) {
	var s stream
	s.append(s.sign(t, 1, "isla").Records...)
	first, second := s.sign(t, 2, "isla"), s.sign(t, 3, "ruaridh")
	assert.Equal(t, len(first.Records), 2, "only the changed section and the roll")
	s.append(first.Records...)
	s.append(second.Records...)
	c := NewChain(publicKeys)
	_, err := s.readAll(c)
	assert.Equal(t, fault.KindOf(err), fault.Conflict)
	assert.Assert(t, fault.As(err).Remedy != "")
	assert.Equal(t, inForce(c), [2]uint64{2, 2})
	s.append(s.sign(t, 1, "ruaridh").Records...) // a rollback is a new roll
	change, err := s.readAll(c)
	assert.NilError(t, err)
	assert.Equal(t, change.Kind, Rolled)
	assert.Equal(t, inForce(c), [2]uint64{3, 1})
	assert.DeepEqual(t, change.Bundle.Workspaces, version(1).Workspaces)
}

// TestChainRejects guards against records that take effect without a valid
// signature, predecessor, sections or bundle.
func TestChainRejects(t *testing.T) {
	var s stream
	s.append(s.sign(t, 1, "isla").Records...)
	good := s.sign(t, 2, "isla")
	decoded, err := DecodeRecord(good.Records[1])
	assert.NilError(t, err)
	resign := func(signer string, change func(*RollRecord)) []byte {
		r := *decoded.Roll
		change(&r)
		if signer != "" {
			r.Sign(privateKeys[signer])
		}
		return EncodeRecord(Record{Roll: &r})
	}
	bad := newSection([]byte(`{"packing_weight":7}`))
	badBundle := resign("isla", func(r *RollRecord) { r.SectionHashes.Fleet = bad.hash })
	for _, c := range []struct {
		name string
		data []byte
		kind fault.Kind
	}{
		{"empty", nil, fault.Invalid},
		{"no CBOR", []byte("hello"), fault.Invalid},
		{"no part", EncodeRecord(Record{}), fault.Invalid},
		{"two parts", EncodeRecord(Record{Roll: decoded.Roll, Section: &SectionRecord{bad.hash, bad.data}}), fault.Invalid},
		{"trailing byte", append(resign("isla", func(*RollRecord) {}), 0), fault.Invalid},
		{"too long", make([]byte, MaxRecordBytes+1), fault.Invalid},
		{"section hash", EncodeRecord(Record{Section: &SectionRecord{Data: []byte("x")}}), fault.Invalid},
		{"changed after signing", resign("", func(r *RollRecord) { r.Version = 9 }), fault.Unauthorized},
		{"no signature", resign("", func(r *RollRecord) { r.Signature = nil }), fault.Unauthorized},
		{"unknown signer", resign("mallory", func(r *RollRecord) { r.Signer = "mallory" }), fault.Unauthorized},
		{"another's name", resign("mallory", func(*RollRecord) {}), fault.Unauthorized},
		{"number 0", resign("isla", func(r *RollRecord) { r.Number = 0 }), fault.Invalid},
		{"number skipped", resign("isla", func(r *RollRecord) { r.Number = 3 }), fault.Conflict},
		{"wrong predecessor", resign("isla", func(r *RollRecord) { r.Replaces[0]++ }), fault.Conflict},
		{"missing section", resign("isla", func(r *RollRecord) { r.SectionHashes.Timing[0]++ }), fault.NotFound},
		{"bundle fails checks", badBundle, fault.Invalid},
		{"checkpoint of the future", EncodeRecord(Record{Checkpoint: &Checkpoint{AsOf: math.MaxUint64, Roll: *decoded.Roll}}), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := s.newReader()
			for _, data := range [][]byte{good.Records[0], EncodeRecord(Record{Section: &SectionRecord{bad.hash, bad.data}})} {
				_, err := reader.Apply(reader.Next(), data)
				assert.NilError(t, err)
			}
			change, err := reader.Apply(reader.Next(), c.data)
			assert.Equal(t, change.Kind, Unchanged)
			assert.Equal(t, inForce(reader), [2]uint64{1, 1})
			if c.kind != "" {
				assert.Equal(t, fault.KindOf(err), c.kind)
				assert.Assert(t, fault.As(err).Remedy != "")
			}
			n := reader.Next()
			for i, data := range good.Records { // the chain continues afterwards
				_, err = reader.Apply(n+uint64(i), data)
				assert.NilError(t, err)
			}
			assert.Equal(t, inForce(reader), [2]uint64{2, 2})
		})
	}
}

// TestChainForgedSections guards against memory that grows with sections that no roll
// uses, and against a roll that is refused after many such sections.
func TestChainForgedSections(t *testing.T) {
	var s stream
	s.append(s.sign(t, 1, "isla").Records...)
	c := s.newReader()
	applyUnusedSections := func() {
		for i := range 200 {
			data := make([]byte, 100_000)
			data[0], data[1] = byte(i), byte(c.Next())
			_, err := c.Apply(c.Next(), EncodeRecord(Record{Section: &SectionRecord{HashOf(data), data}}))
			assert.NilError(t, err)
			assert.Assert(t, c.log.unused.bytes <= maxUnusedBytes && len(c.log.unused.sections) <= maxUnusedSections)
		}
	}
	applyUnusedSections()
	for _, data := range s.sign(t, 2, "isla").Records {
		_, err := c.Apply(c.Next(), data)
		assert.NilError(t, err)
	}
	assert.Equal(t, inForce(c), [2]uint64{2, 2})
	assert.Equal(t, len(c.log.unused.sections), 0)
}

// TestChainPeer guards against an older or forged roll of a peer that takes effect, and
// against a roll that the log replaces without reporting a correction.
func TestChainPeer(t *testing.T) {
	var s, other stream
	s.append(s.sign(t, 1, "isla").Records...)
	other.append(s.records...)
	older := s.newReader().Records()
	s.append(s.sign(t, 2, "isla").Records...)
	other.append(other.sign(t, 3, "ruaridh").Records...) // the log with the roll that lost the race
	peer := other.newReader().Records()

	c := NewChain(publicKeys)
	change, err := c.LoadPeer(peer)
	assert.NilError(t, err)
	assert.Equal(t, change.Kind, Rolled)
	assert.Equal(t, inForce(c), [2]uint64{2, 3})
	assert.Assert(t, c.AheadOfLog())
	change, err = c.LoadPeer(older)
	assert.NilError(t, err)
	assert.Equal(t, change.Kind, Unchanged)
	_, err = c.LoadPeer(s.newReader().Records())
	assert.Equal(t, fault.KindOf(err), fault.Conflict)
	_, err = NewChain(Keys{}).LoadPeer(peer)
	assert.Equal(t, fault.KindOf(err), fault.Unauthorized)
	for _, records := range [][][]byte{nil, peer[:4], peer[1:], {peer[0], peer[0], peer[0], peer[0], peer[0]}} {
		_, err = c.LoadPeer(records)
		assert.Equal(t, fault.KindOf(err), fault.Invalid)
	}

	change, err = s.readAll(c)
	assert.NilError(t, err)
	assert.Equal(t, change.Kind, Corrected)
	assert.Equal(t, inForce(c), [2]uint64{2, 2})
	assert.Assert(t, !c.AheadOfLog())
}

// TestChainPeerSettles guards against a reader that keeps the loser of a race in force
// because it started after the log had dropped the winner.
func TestChainPeerSettles(t *testing.T) {
	var s stream
	s.append(s.sign(t, 1, "isla").Records...)
	winner, loser := s.sign(t, 2, "isla"), s.sign(t, 3, "ruaridh")
	s.append(winner.Records...)
	s.oldest = len(s.records)
	s.append(loser.Records...)
	settled := NewChain(publicKeys)
	s.oldest, s.records = 0, append([][]byte(nil), s.records...)
	_, _ = s.readAll(settled)
	s.oldest = len(s.records) - len(loser.Records)
	for _, order := range []string{"peer first", "log first"} {
		c := NewChain(publicKeys)
		if order == "log first" {
			_, _ = s.readAll(c)
		}
		_, err := c.LoadPeer(settled.Records())
		assert.NilError(t, err)
		s2 := stream{records: append([][]byte(nil), s.records...), oldest: s.oldest}
		next, err := settled.Sign(version(4), "isla", privateKeys["isla"], signedAt)
		assert.NilError(t, err)
		s2.append(next.Records...)
		change, err := s2.readAll(c)
		assert.NilError(t, err, order)
		assert.Equal(t, change.Roll.Number, uint64(3))
		assert.Assert(t, c.Settled(), order)
	}
}

// TestChainRefreshFromPeer guards against a roll that is lost permanently because every
// process was restarted during an outage longer than the log's retention.
func TestChainRefreshFromPeer(t *testing.T) {
	var s stream
	s.append(s.sign(t, 1, "isla").Records...)
	c := NewChain(publicKeys)
	_, err := c.LoadPeer(s.newReader().Records())
	assert.NilError(t, err)
	after := stream{records: make([][]byte, 100), oldest: 99}
	_, _ = after.readAll(c)
	after.append(c.Refresh()...)
	_, _ = after.readAll(c)
	fresh := after.newReader()
	for _, reader := range []*Chain{c, fresh} {
		assert.Equal(t, inForce(reader), [2]uint64{1, 1})
		assert.Assert(t, reader.Settled())
	}
}

// TestChainCheckpointSections guards against a reader that settles on a different roll
// than readers of the whole log, because it lacks a section that they read before the
// roll, or has one that they read only after it.
func TestChainCheckpointSections(t *testing.T) {
	var s stream
	s.append(s.sign(t, 1, "isla").Records...)
	two := s.sign(t, 2, "isla").Records
	for _, c := range []struct {
		name     string
		before   [][]byte // in the log when the checkpoint is created
		dropped  int      // number of records in before that the log drops
		after    [][]byte // appended between creating and appending the checkpoint
		versions [2]uint64
		settled  bool
	}{
		{"section dropped", two[:1], 1, two[1:], [2]uint64{2, 2}, false},
		{"section too late", [][]byte{two[1], two[0]}, 0, nil, [2]uint64{1, 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := stream{records: append(append([][]byte(nil), s.records...), c.before...)}
			checkpoint := log.newReader().Refresh()
			oldest := len(s.records) + c.dropped
			log.append(append(c.after, checkpoint...)...)
			full := log.newReader()
			assert.Equal(t, inForce(full), c.versions)
			log.oldest = oldest
			late := log.newReader()
			assert.Equal(t, late.Settled(), c.settled)
			log.append(full.Refresh()...)
			_, _ = log.readAll(late)
			assert.Assert(t, late.Settled())
			assert.Equal(t, inForce(late), c.versions)
		})
	}
}
