package main

import (
	"encoding/base64"

	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// decode returns the signed roll in the file and the version of its bundle.
func (f *signedFile) decode() (bundle.Signed, uint64, error) {
	s := bundle.Signed{Number: f.Number}
	for _, text := range f.Records {
		data, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return s, 0, notSignedError(err)
		}
		rec, err := bundle.DecodeRecord(data)
		if err != nil {
			return s, 0, notSignedError(err)
		}
		if rec.Roll != nil {
			s.ID, s.Number = rec.Roll.ID(), rec.Roll.Number
			f.Version = rec.Roll.Version
		}
		s.Records = append(s.Records, data)
	}
	if s.ID == (bundle.Hash{}) {
		return s, 0, notSignedError(nil)
	}
	return s, f.Version, nil
}

// notSignedError returns the error for a file without a signed roll. err may be
// nil.
func notSignedError(err error) error {
	return fault.Wrap(fault.Invalid, err, "the file holds no signed roll", "give a file written by bundle sign")
}

// verifySigned checks the signature of s, so that no roll is appended that every
// entry process would refuse.
func verifySigned(s bundle.Signed, keys bundle.Keys) error {
	for _, data := range s.Records {
		rec, err := bundle.DecodeRecord(data)
		if err != nil {
			return err
		}
		if rec.Roll != nil {
			return rec.Roll.Verify(keys)
		}
	}
	return notSignedError(nil)
}
