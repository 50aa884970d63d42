package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/strictjson"
)

// Hash is a SHA-256.
type Hash [sha256.Size]byte

// HashOf returns the SHA-256 of data.
func HashOf(data []byte) Hash { return sha256.Sum256(data) }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText is the reverse of MarshalText.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("a hash has %d hexadecimal digits, not %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Sections of a bundle, in the order of SectionHashes.
const (
	sectionClasses = iota
	sectionWorkspaces
	sectionFleet
	sectionTiming
	numSections
)

var sectionNames = [numSections]string{"classes", "workspaces", "fleet", "timing"}

// Parse reads a bundle strictly, fills in default timing, puts lists in
// canonical order and checks the result. The error holds one *fault.Error of
// kind Invalid for each problem, with path and remedy.
func Parse(data []byte) (Bundle, error) {
	if len(data) > MaxBundleBytes {
		var p strictjson.Problems
		p.Add("document", fmt.Sprintf("has %d bytes", len(data)), fmt.Sprintf("use at most %d bytes", MaxBundleBytes))
		return Bundle{}, p
	}
	if p := renamedKeys(data); len(p) > 0 {
		return Bundle{}, p
	}
	b, p := strictjson.Decode(data, func(b *Bundle) strictjson.Problems {
		*b = normalize(*b)
		return check(*b)
	})
	if len(p) > 0 {
		return Bundle{}, p
	}
	_, err := sectionsOf(b)
	return b, err
}

// renamedKeys reports keys of a bundle that have had another name before.
func renamedKeys(data []byte) (p strictjson.Problems) {
	var top map[string]json.RawMessage
	if json.Unmarshal(data, &top) != nil {
		return nil // the strict decoder says what is wrong
	}
	if _, old := top["teams"]; old {
		p.Add("teams", `is the former name of "workspaces"`, `rename the key to "workspaces"; its entries are as before`)
	}
	return p
}

// Canonical returns the canonical JSON of a bundle: fixed field order, default
// timing filled in, classes, workspaces and drained workers in order of names.
func Canonical(b Bundle) ([]byte, error) {
	data, err := json.Marshal(normalize(b))
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the bundle cannot be encoded", "use finite numbers")
	}
	return data, nil
}

// section is the content of one section. Its decoded value is kept, so that a
// roll costs only the sections that it changes.
type section struct {
	hash  Hash
	data  []byte
	slot  int // of value
	value any // nil until decoded
}

func newSection(data []byte) *section {
	return &section{hash: HashOf(data), data: data}
}

// sectionsOf returns the canonical sections of a checked bundle, or an Invalid
// error if one is too large.
func sectionsOf(b Bundle) ([numSections]*section, error) {
	b = normalize(b)
	var out [numSections]*section
	var p strictjson.Problems
	for i, value := range []any{b.Classes, b.Workspaces, b.Fleet, b.Timing} {
		data, err := json.Marshal(value)
		if err != nil {
			p.Add(sectionNames[i], "cannot be encoded: "+err.Error(), "use finite numbers")
		}
		if len(data) > MaxSectionBytes {
			p.Add(sectionNames[i], fmt.Sprintf("has %d bytes", len(data)), fmt.Sprintf("use at most %d bytes", MaxSectionBytes))
		}
		out[i] = newSection(data)
	}
	return out, p.Err()
}

// decode reads the section as the one in slot. It only refuses unknown fields and
// trailing data: the signer's tool has read the bundle strictly, and the strict
// reader takes several times as long on each of thousands of rolls.
func (s *section) decode(slot int) error {
	if s.value != nil && s.slot == slot {
		return nil
	}
	target := []any{new([]Class), new([]Workspace), new(Fleet), new(Timing)}[slot]
	dec := json.NewDecoder(bytes.NewReader(s.data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return err
	}
	if dec.InputOffset() != int64(len(s.data)) {
		return errors.New("data after the end")
	}
	s.slot, s.value = slot, target
	return nil
}

// assemble returns the bundle made of sections and checks it.
func assemble(version uint64, comment string, sections [numSections]*section) (Bundle, error) {
	b := Bundle{Version: version, Comment: comment}
	for slot, s := range sections {
		if err := s.decode(slot); err != nil {
			return Bundle{}, fault.Wrap(fault.Invalid, err, "section "+sectionNames[slot]+" cannot be read", "roll a bundle that passes bundle check")
		}
		switch v := s.value.(type) {
		case *[]Class:
			b.Classes = *v
		case *[]Workspace:
			b.Workspaces = *v
		case *Fleet:
			b.Fleet = *v
		case *Timing:
			b.Timing = *v
		}
	}
	if err := Check(b); err != nil {
		return Bundle{}, fault.Wrap(fault.Invalid, err, "the rolled bundle fails its checks", "roll a bundle that passes bundle check")
	}
	return b, nil
}
