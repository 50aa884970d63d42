package placement

import "time"

// timers is a binary heap of values ordered by time. Values cannot be removed early,
// so the caller of pop must check whether the value is still valid.
type timers[T any] struct{ entries []timer[T] }

type timer[T any] struct {
	at    time.Time
	value T
}

func (h *timers[T]) push(at time.Time, value T) {
	h.entries = append(h.entries, timer[T]{at: at, value: value})
	for i := len(h.entries) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.entries[i].at.Before(h.entries[parent].at) {
			return
		}
		h.entries[i], h.entries[parent] = h.entries[parent], h.entries[i]
		i = parent
	}
}

// pop returns the earliest entry if its time is not after now.
func (h *timers[T]) pop(now time.Time) (timer[T], bool) {
	if len(h.entries) == 0 || h.entries[0].at.After(now) {
		return timer[T]{}, false
	}
	first := h.entries[0]
	last := len(h.entries) - 1
	h.entries[0] = h.entries[last]
	h.entries[last] = timer[T]{}
	h.entries = h.entries[:last]
	h.siftDown()
	return first, true
}

// siftDown restores the heap order after the first entry was replaced.
func (h *timers[T]) siftDown() {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(h.entries) {
			return
		}
		if right := child + 1; right < len(h.entries) && h.entries[right].at.Before(h.entries[child].at) {
			child = right
		}
		if !h.entries[child].at.Before(h.entries[i].at) {
			return
		}
		h.entries[i], h.entries[child] = h.entries[child], h.entries[i]
		i = child
	}
}
