package queue

import "container/heap"

// compactMinimum is the number of dead entries below which a heap is not rebuilt.
// A small heap loses its dead entries soon enough as they reach the top.
const compactMinimum = 64

// entryHeap is a heap of entries with lazy deletion. A removed entry stays in the
// heap as a dead entry until it reaches the top or half of the heap is dead, so
// that a removal takes O(1) amortised.
type entryHeap struct {
	entries []*entry
	before  func(a, b *entry) bool
	dead    int
}

func (h *entryHeap) Len() int           { return len(h.entries) }
func (h *entryHeap) Less(i, j int) bool { return h.before(h.entries[i], h.entries[j]) }
func (h *entryHeap) Swap(i, j int)      { h.entries[i], h.entries[j] = h.entries[j], h.entries[i] }
func (h *entryHeap) Push(x any)         { h.entries = append(h.entries, x.(*entry)) }

func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}

func (h *entryHeap) add(e *entry) { heap.Push(h, e) }

// peek returns the first entry that is still waiting, or nil.
func (h *entryHeap) peek() *entry {
	for len(h.entries) > 0 {
		if top := h.entries[0]; top.waiting {
			return top
		}
		heap.Pop(h)
		h.dead--
	}
	return nil
}

// markRemoved counts an entry that has just stopped waiting, and rebuilds the heap
// if too many entries are dead.
func (h *entryHeap) markRemoved() {
	h.dead++
	if h.dead < compactMinimum || 2*h.dead < len(h.entries) {
		return
	}
	live := h.entries[:0]
	for _, e := range h.entries {
		if e.waiting {
			live = append(live, e)
		}
	}
	clear(h.entries[len(live):])
	h.entries, h.dead = live, 0
	heap.Init(h)
}

// bySubmission orders entries by submission, then by arrival.
func bySubmission(a, b *entry) bool {
	if !a.item.Submitted.Equal(b.item.Submitted) {
		return a.item.Submitted.Before(b.item.Submitted)
	}
	return a.sequence < b.sequence
}

// byDeadline orders entries by deadline, then by arrival.
func byDeadline(a, b *entry) bool {
	if !a.item.Deadline.Equal(b.item.Deadline) {
		return a.item.Deadline.Before(b.item.Deadline)
	}
	return a.sequence < b.sequence
}

// byPostponement orders entries by their first postponement, then by arrival.
func byPostponement(a, b *entry) bool {
	if !a.backfill.first.Equal(b.backfill.first) {
		return a.backfill.first.Before(b.backfill.first)
	}
	return a.sequence < b.sequence
}
