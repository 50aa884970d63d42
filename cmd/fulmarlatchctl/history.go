package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// maxVersions is the maximum number of bundle versions that are kept for a rollback.
const maxVersions = 1000

// history is the state of the stream rolls, read from its oldest record. One
// command uses it on one goroutine.
type history struct {
	log        rollLog
	chain      *bundle.Chain
	keys       bundle.Keys
	retryDelay time.Duration            // between attempts to reach the log
	oldest     uint64                   // offset of the oldest record in the log
	bundles    map[uint64]bundle.Bundle // by version, as last rolled
	versions   []uint64                 // keys of bundles, oldest first
	rolled     map[bundle.Hash]bool     // rolls that took effect
	// refused holds, by offset, why a record had no effect.
	refused map[uint64]error
	// unknownSigner is the error of the first roll whose signature could not be
	// verified.
	unknownSigner error
}

// maxRefused is the maximum number of entries of history.refused.
const maxRefused = 1000

func newHistory(log rollLog, keys bundle.Keys, retryDelay time.Duration) *history {
	return &history{
		log:        log,
		chain:      bundle.NewChain(keys),
		keys:       keys,
		retryDelay: retryDelay,
		bundles:    map[uint64]bundle.Bundle{},
		rolled:     map[bundle.Hash]bool{},
		refused:    map[uint64]error{},
	}
}

// catchUp reads to the end of the stream. While the log is unavailable it retries
// until ctx ends.
func (h *history) catchUp(ctx context.Context) error {
	for {
		p, err := h.log.Read(ctx, h.chain.Next())
		if err != nil && fault.KindOf(err) != fault.LogDown {
			return err
		}
		if err != nil {
			if !h.waitRetryDelay(ctx) {
				return err
			}
			continue
		}
		h.oldest = p.Oldest
		for _, r := range p.Records {
			h.apply(r.Offset, r.Data)
		}
		if len(p.Records) == 0 {
			return nil
		}
	}
}

// waitRetryDelay waits before the next attempt. It reports false if ctx ends first.
func (h *history) waitRetryDelay(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(h.retryDelay):
		return true
	}
}

// apply adds the record at an offset of the stream.
func (h *history) apply(offset uint64, data []byte) {
	change, err := h.chain.Apply(offset, data)
	if err != nil && len(h.refused) < maxRefused {
		h.refused[offset] = err
	}
	if err != nil && h.unknownSigner == nil && fault.KindOf(err) == fault.Unauthorized {
		h.unknownSigner = err
	}
	if change.Kind == bundle.Unchanged {
		return
	}
	h.rolled[change.Roll.ID] = true
	version := change.Roll.Version
	if _, known := h.bundles[version]; !known {
		h.versions = append(h.versions, version)
	}
	h.bundles[version] = change.Bundle
	if len(h.versions) > maxVersions {
		delete(h.bundles, h.versions[0])
		h.versions = h.versions[1:]
	}
}

// checkVersion returns an Invalid error if the version of b was rolled before with
// other content.
func (h *history) checkVersion(b bundle.Bundle) error {
	earlier, used := h.bundles[b.Version]
	if !used || sameContent(earlier, b) {
		return nil
	}
	return fault.New(fault.Invalid, fmt.Sprintf("version %d was rolled before with other content", b.Version),
		"give the bundle a version number that has not been used")
}

// sameContent reports whether two bundles are equal apart from their comments.
func sameContent(a, b bundle.Bundle) bool {
	a.Comment, b.Comment = "", ""
	x, err1 := bundle.Canonical(a)
	y, err2 := bundle.Canonical(b)
	return err1 == nil && err2 == nil && bytes.Equal(x, y)
}

// checkInForce returns a Conflict error if the log does not show which roll is in
// force, or if replaces is set and is not the number of that roll.
func (h *history) checkInForce(replaces *uint64) error {
	info, _, found := h.chain.InForce()
	known := h.chain.Settled() || (!found && h.chain.Next() == 0 && h.oldest == 0)
	if replaces == nil && !known {
		return fault.New(fault.Conflict, fmt.Sprintf("the log has dropped earlier records, so roll %d may not be the one in force", info.Number),
			"ask the entry processes with status and pass the number of their roll with --replaces, 0 if no process has one")
	}
	if replaces != nil && *replaces != info.Number {
		return fault.New(fault.Conflict, fmt.Sprintf("roll %d is in force in the log, not roll %d", info.Number, *replaces),
			"inspect it with bundle show, and pass its number if your bundle is to replace it")
	}
	return nil
}

// roll appends a signed roll and repeats the append until the log shows whether
// the roll took effect. After an append without a response it reads the log back
// first. A repeated append is harmless because the chain ignores duplicates. A refusal
// is about its own append only: an earlier one without a response may still be carried out.
func (h *history) roll(ctx context.Context, s bundle.Signed) error {
	for unanswered := false; ; unanswered = true {
		first, appendErr := h.log.Append(ctx, s.Records)
		if fault.KindOf(appendErr) == fault.Invalid {
			if unanswered {
				return outcomeUnknown(s, appendErr)
			}
			return appendErr
		}
		last := first + uint64(len(s.Records)) - 1
		done, err := h.readBack(ctx, s, appendErr == nil, last)
		if done {
			return err
		}
		if err != nil || !h.waitRetryDelay(ctx) {
			return outcomeUnknown(s, errors.Join(appendErr, err))
		}
	}
}

// readBack reads to the end of the stream, and past offset last if the append was
// confirmed. It reports true, with the outcome of the roll, if the log shows it.
func (h *history) readBack(ctx context.Context, s bundle.Signed, confirmed bool, last uint64) (bool, error) {
	for {
		if err := h.catchUp(ctx); err != nil {
			return false, err
		}
		if done, err := h.outcome(s); done || !confirmed {
			return done, err
		}
		if h.chain.Next() > last {
			return h.refused[last] != nil, h.refused[last]
		}
		if !h.waitRetryDelay(ctx) {
			return false, ctx.Err()
		}
	}
}

// outcome reports whether the log shows the outcome of a signed roll. The error is
// nil if the roll took effect and a Conflict if it never can.
func (h *history) outcome(s bundle.Signed) (bool, error) {
	if h.rolled[s.ID] {
		return true, nil
	}
	info, _, _ := h.chain.InForce()
	if info.Number < s.Number {
		return false, nil
	}
	return true, fault.New(fault.Conflict,
		fmt.Sprintf("roll %d (version %d) by %q was first; your roll %d has no effect", info.Number, info.Version, info.Signer, s.Number),
		"inspect the bundle in force with bundle show, merge your change into it under a new version, and roll again")
}

// outcomeUnknown returns the error for a roll that may or may not be in the log.
func outcomeUnknown(s bundle.Signed, err error) error {
	return fault.Wrap(fault.LogDown, err, fmt.Sprintf("it is not known whether roll %d is in the log", s.Number),
		"when the log is available, check with bundle show; rolling the same file again is safe")
}
