package cell

import (
	"cmp"
	"slices"
)

// This file decides which of the workers on which a task fits it is placed on.

// rank sorts candidates by preference: workers that are not slow first, then those near
// the step's data, then those with the least free CPU, so that large blocks of capacity
// stay free for large tasks.
func (s *Scheduler) rank(st *step, cands []candidate) {
	slices.SortFunc(cands, func(a, b candidate) int {
		return cmp.Or(
			compareBools(a.worker.speed.isSlow(s.now), b.worker.speed.isSlow(s.now)),
			compareBools(st.isRemote(a.worker), st.isRemote(b.worker)),
			cmp.Compare(a.worker.free().CPUMilli, b.worker.free().CPUMilli),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
