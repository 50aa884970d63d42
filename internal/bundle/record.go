package bundle

import (
	"bytes"
	"crypto/ed25519"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// SectionRecord holds the content of one section under its SHA-256.
type SectionRecord struct {
	Hash Hash   `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// SectionHashes names the four sections of a bundle.
type SectionHashes struct {
	Classes    Hash `cbor:"1,keyasint"`
	Workspaces Hash `cbor:"2,keyasint"`
	Fleet      Hash `cbor:"3,keyasint"`
	Timing     Hash `cbor:"4,keyasint"`
}

func (h SectionHashes) list() [numSections]Hash {
	return [numSections]Hash{h.Classes, h.Workspaces, h.Fleet, h.Timing}
}

// RollRecord puts a bundle in force. The signature covers all other fields.
type RollRecord struct {
	Number uint64 `cbor:"1,keyasint"` // 1 for the first roll, then one more each
	// Replaces is the ID of the roll before; zero for the first roll.
	Replaces      Hash          `cbor:"2,keyasint"`
	Version       uint64        `cbor:"3,keyasint"` // of the bundle
	SectionHashes SectionHashes `cbor:"4,keyasint"`
	Signer        string        `cbor:"5,keyasint"`
	Comment       string        `cbor:"6,keyasint,omitempty"`
	SignedAtMS    int64         `cbor:"7,keyasint"` // Unix time by the signer's clock
	Signature     []byte        `cbor:"8,keyasint,omitempty"`
}

// Checkpoint is a copy of the roll that is in force in the log after the record
// at offset AsOf. Processes append it, with its sections, before the log drops
// the originals. A reader that starts after the dropped records takes it as its
// base; readers that know the log's history ignore it.
type Checkpoint struct {
	AsOf uint64     `cbor:"1,keyasint"`
	Roll RollRecord `cbor:"2,keyasint"`
}

// Record is the envelope of every record of stream rolls. Exactly one of the
// pointers is set.
type Record struct {
	Section    *SectionRecord `cbor:"1,keyasint,omitempty"`
	Roll       *RollRecord    `cbor:"2,keyasint,omitempty"`
	Checkpoint *Checkpoint    `cbor:"3,keyasint,omitempty"`
}

// Keys holds the operators' public keys by name. Keep a retired operator's key
// as long as the log holds rolls signed with it, or readers with different keys
// disagree about the chain.
type Keys map[string]ed25519.PublicKey

const (
	// MaxRecordBytes bounds an encoded record.
	MaxRecordBytes = MaxSectionBytes + 4096
	// signaturePrefix keeps a signature of a roll from being valid for anything else.
	signaturePrefix = "fulmarlatch roll 1\n"
)

var encMode, decMode = codec()

func codec() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   8,
		MaxMapPairs:       16,
		MaxArrayElements:  16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// encode never fails for the types of this package: they hold only integers,
// strings and bytes.
func encode(v any) []byte {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// EncodeRecord returns the deterministic CBOR form of r.
func EncodeRecord(r Record) []byte { return encode(r) }

// DecodeRecord reads a record. It returns an Invalid error if data is too long,
// is not the deterministic encoding of exactly one record, or holds a section
// whose hash is wrong.
func DecodeRecord(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, malformed(fmt.Sprintf("has %d bytes, above %d", len(data), MaxRecordBytes), nil)
	}
	var r Record
	if err := decMode.Unmarshal(data, &r); err != nil {
		return Record{}, malformed("is not a roll record", err)
	}
	if !bytes.Equal(encode(r), data) {
		return Record{}, malformed("is not in deterministic encoding", nil)
	}
	return r, r.check()
}

func (r Record) check() error {
	set := 0
	for _, is := range []bool{r.Section != nil, r.Roll != nil, r.Checkpoint != nil} {
		if is {
			set++
		}
	}
	if set != 1 {
		return malformed(fmt.Sprintf("holds %d parts instead of 1", set), nil)
	}
	if s := r.Section; s != nil && (len(s.Data) > MaxSectionBytes || HashOf(s.Data) != s.Hash) {
		return malformed("holds a section that is too long or does not match its hash", nil)
	}
	return nil
}

func malformed(problem string, err error) error {
	const remedy = "append to stream rolls with fulmarlatchctl only; the record is ignored"
	return fault.Wrap(fault.Invalid, err, "a record of stream rolls "+problem, remedy)
}

// ID returns the identity of a signed roll: the SHA-256 of its encoding.
func (r RollRecord) ID() Hash { return HashOf(encode(r)) }

func (r RollRecord) signedBytes() []byte {
	r.Signature = nil
	return append([]byte(signaturePrefix), encode(r)...)
}

// Sign sets the signature.
func (r *RollRecord) Sign(key ed25519.PrivateKey) {
	r.Signature = ed25519.Sign(key, r.signedBytes())
}

// Verify returns an Unauthorized error unless the signer's key is in keys and
// the signature is valid, and an Invalid error if the record cannot be a roll.
func (r RollRecord) Verify(keys Keys) error {
	key, known := keys[r.Signer]
	if !known || len(key) != ed25519.PublicKeySize {
		return fault.New(fault.Unauthorized, fmt.Sprintf("roll %d is signed by unknown operator %q", r.Number, r.Signer),
			"add the operator's public key to the settings, or sign with a key that is there")
	}
	if !ed25519.Verify(key, r.signedBytes(), r.Signature) {
		return fault.New(fault.Unauthorized, fmt.Sprintf("roll %d has a signature that is not by %q", r.Number, r.Signer),
			"sign with the key whose public half is in the settings under that name")
	}
	if r.Number == 0 || (r.Number == 1) != (r.Replaces == Hash{}) {
		return fault.New(fault.Invalid, fmt.Sprintf("roll %d has a wrong predecessor", r.Number), "roll again with fulmarlatchctl")
	}
	return nil
}
