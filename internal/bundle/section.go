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

// Hash is a SHA-256 digest.
type Hash [sha256.Size]byte

// HashOf returns the SHA-256 of data.
func HashOf(data []byte) Hash { return sha256.Sum256(data) }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses a hash in hexadecimal. It returns an error if text does not
// have exactly 64 hexadecimal digits.
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

// Parse decodes a bundle from strict JSON, fills in default timing, puts lists in
// canonical order and checks the result. The error holds one *fault.Error of kind
// Invalid for each problem, with the path of the field and a remedy.
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

// renamedKeys reports keys that have been renamed since earlier versions of the
// schema.
func renamedKeys(data []byte) (p strictjson.Problems) {
	var top map[string]json.RawMessage
	if json.Unmarshal(data, &top) != nil {
		return nil // the strict decoder reports the syntax error
	}
	if _, old := top["teams"]; old {
		p.Add("teams", `is the former name of "workspaces"`, `rename the key to "workspaces"; its entries are as before`)
	}
	return p
}

// Canonical returns the canonical JSON of a bundle: fixed field order, default
// timing filled in, and classes, workspaces and drained workers sorted by name. It
// returns an Invalid error if a number has no JSON form.
func Canonical(b Bundle) ([]byte, error) {
	data, err := json.Marshal(normalize(b))
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the bundle cannot be encoded", "use finite numbers")
	}
	return data, nil
}

// section is the content of one section. It caches its decoded value, so that a roll
// decodes only the sections that it changes.
type section struct {
	hash  Hash
	data  []byte
	index int // section, such as sectionFleet, as which value was decoded
	value any // pointer to the decoded section; nil until decoded
}

func newSection(data []byte) *section {
	return &section{hash: HashOf(data), data: data}
}

// sectionsOf returns the canonical sections of a checked bundle, or an Invalid error
// if one cannot be encoded or is too large.
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

// decode decodes the section at the given index of a bundle. It refuses unknown
// fields and trailing data only: fulmarlatchctl parsed the bundle strictly before it
// was signed, and strict parsing takes several times as long, which matters when a
// reader applies thousands of rolls.
func (s *section) decode(index int) error {
	if s.value != nil && s.index == index {
		return nil
	}
	target := []any{new([]Class), new([]Workspace), new(Fleet), new(Timing)}[index]
	dec := json.NewDecoder(bytes.NewReader(s.data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return err
	}
	if dec.InputOffset() != int64(len(s.data)) {
		return errors.New("data after the end")
	}
	s.index, s.value = index, target
	return nil
}

// assemble decodes the sections into a bundle and checks it.
func assemble(version uint64, comment string, sections [numSections]*section) (Bundle, error) {
	b := Bundle{Version: version, Comment: comment}
	for i, s := range sections {
		if err := s.decode(i); err != nil {
			return Bundle{}, fault.Wrap(fault.Invalid, err, "section "+sectionNames[i]+" cannot be read", "roll a bundle that passes bundle check")
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
