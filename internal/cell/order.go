package cell

import "slices"

// This file decides in which order waiting steps are placed.

// lateness classifies a step by what starting it now means for its job's objective.
type lateness int

const (
	onTime  lateness = iota
	late             // the job misses its objective and has reduced value
	expired          // the job has no value any more
)

func (s *step) lateness(now Instant) lateness {
	switch {
	case s.def.LongRunning || now <= s.latestStart:
		return onTime
	case now <= s.expires:
		return late
	}
	return expired
}

// order returns the waiting steps in placement order: steps that can still be on time,
// then late ones, then expired ones, each by latest start.
func (s *Scheduler) order() []*step {
	var byLateness [expired + 1][]*step
	for _, st := range s.waiting {
		l := st.lateness(s.now)
		byLateness[l] = append(byLateness[l], st)
	}
	// Among the steps on time, wide gangs come first, because all of their tasks need
	// capacity at the same time.
	slices.SortStableFunc(byLateness[onTime], func(a, b *step) int { return b.wideGangRank() - a.wideGangRank() })
	return slices.Concat(byLateness[onTime], byLateness[late], byLateness[expired])
}

// wideGangTasks is the minimum number of tasks of a gang that is placed ahead of other
// steps. Smaller gangs fit about as easily as single tasks.
const wideGangTasks = 4

// wideGangRank returns 1 for a wide gang and 0 for any other step.
func (s *step) wideGangRank() int {
	if s.def.Gang && len(s.tasks) >= wideGangTasks {
		return 1
	}
	return 0
}
