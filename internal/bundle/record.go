package bundle

import (
	"bytes"
	"crypto/ed25519"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// SectionRecord holds the content of one section.
type SectionRecord struct {
	Hash Hash   `cbor:"1,keyasint"` // SHA-256 of Data
	Data []byte `cbor:"2,keyasint"` // canonical JSON
}

// SectionHashes holds the hashes of the four sections of a bundle.
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
	Number uint64 `cbor:"1,keyasint"` // consecutive, starting at 1
	// Replaces is the ID of the previous roll; zero for the first roll.
	Replaces      Hash          `cbor:"2,keyasint"`
	Version       uint64        `cbor:"3,keyasint"` // of the bundle
	SectionHashes SectionHashes `cbor:"4,keyasint"`
	Signer        string        `cbor:"5,keyasint"`
	Comment       string        `cbor:"6,keyasint,omitempty"`
	SignedAtMS    int64         `cbor:"7,keyasint"` // Unix time by the signer's clock
	Signature     []byte        `cbor:"8,keyasint,omitempty"`
}

// Checkpoint is a copy of the roll that is in force after the record at offset
// AsOf of the log. Processes append it with its sections before the log drops the
// original records. A reader that starts after the dropped records uses it as its
// base; readers with the complete history ignore it.
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

// Keys holds the operators' public keys by name. The key of a retired operator must
// stay as long as the log holds rolls signed with it; otherwise readers with
// different keys arrive at different chains.
type Keys map[string]ed25519.PublicKey

const (
	// MaxRecordBytes limits an encoded record.
	MaxRecordBytes = MaxSectionBytes + 4096
	// signaturePrefix is signed before the record, so that the signature of a roll is
	// not valid for any other data.
	signaturePrefix = "fulmarlatch roll 1\n"
)

var encMode, decMode = newCodec()

func newCodec() (cbor.EncMode, cbor.DecMode) {
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

// encode returns the deterministic CBOR form of v. It cannot fail for the types of
// this package, which hold only integers, strings and bytes.
func encode(v any) []byte {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// EncodeRecord returns the deterministic CBOR form of r.
func EncodeRecord(r Record) []byte { return encode(r) }

// DecodeRecord decodes a record. It returns an Invalid error if data is too long, is
// not the deterministic encoding of exactly one record, or holds a section that does
// not match its hash.
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

// check returns an Invalid error unless r holds exactly one part and a section is
// at most MaxSectionBytes long and matches its hash.
func (r Record) check() error {
	parts := 0
	for _, present := range []bool{r.Section != nil, r.Roll != nil, r.Checkpoint != nil} {
		if present {
			parts++
		}
	}
	if parts != 1 {
		return malformed(fmt.Sprintf("holds %d parts instead of 1", parts), nil)
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

// signedBytes returns the data that the signature covers.
func (r RollRecord) signedBytes() []byte {
	r.Signature = nil
	return append([]byte(signaturePrefix), encode(r)...)
}

// Sign sets the signature of r, which covers all other fields.
func (r *RollRecord) Sign(key ed25519.PrivateKey) {
	r.Signature = ed25519.Sign(key, r.signedBytes())
}

// Verify returns an Unauthorized error if keys has no key of the signer or the
// signature is not valid. It returns an Invalid error if the number is 0, if roll 1 has
// a predecessor in Replaces, or if any other roll has none.
func (r RollRecord) Verify(keys Keys) error {
	key, known := keys[r.Signer]
	if !known || len(key) != ed25519.PublicKeySize {
		return fault.New(fault.Unauthorized, fmt.Sprintf("roll %d is signed by unknown operator %q", r.Number, r.Signer),
			"add the operator's public key to the settings, or sign as an operator listed there")
	}
	if !ed25519.Verify(key, r.signedBytes(), r.Signature) {
		return fault.New(fault.Unauthorized, fmt.Sprintf("the signature of roll %d is not by %q", r.Number, r.Signer),
			"sign with the private key that belongs to the operator's public key in the settings")
	}
	if r.Number == 0 || (r.Number == 1) != (r.Replaces == Hash{}) {
		return fault.New(fault.Invalid, fmt.Sprintf("roll %d has an invalid number or predecessor", r.Number), "roll again with fulmarlatchctl")
	}
	return nil
}
