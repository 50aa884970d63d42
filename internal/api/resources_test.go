package api

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestExceeds guards against a comparison that skips a dimension, so that more than the
// capacity of a worker is reserved.
func TestExceeds(t *testing.T) {
	capacity := Resources{CPUMilli: 10, MemoryMB: 10, Accelerators: 10, Slots: 10, Connections: 10}
	for d := CPU; d < NumDimensions; d++ {
		amount := [NumDimensions]int64{}
		amount[d] = 11
		r := Resources{amount[0], amount[1], amount[2], amount[3], amount[4]}
		got, exceeds := r.Exceeds(capacity)
		assert.Assert(t, exceeds)
		assert.Equal(t, got, d)
		assert.Assert(t, !r.Fits(capacity))
	}
	assert.Assert(t, capacity.Fits(capacity))
}

// TestJobID guards against job IDs that are parsed wrongly, and so routed to the wrong
// process, because the name of the entry process contains dots.
func TestJobID(t *testing.T) {
	ref := EntryRef{Name: "entry.a-1", Incarnation: 0xfeed}
	got, err := ParseJobID(NewJobID(ref, 7))
	assert.NilError(t, err)
	assert.Equal(t, got, ref)
	_, err = ParseJobID("x")
	assert.ErrorContains(t, err, "mint an ID first")
}
