package cell

import (
	"slices"
	"sort"
)

// numberSet is a set of numbers that are not negative. It holds them as ranges, so its size
// depends on the gaps between them.
type numberSet struct {
	ranges []numberRange // ascending, with gaps between them
	count  int
}

// numberRange is the range of numbers from from to before to.
type numberRange struct{ from, to int }

// has reports whether the set has the number.
func (s *numberSet) has(n int) bool {
	i := s.search(n)
	return i < len(s.ranges) && s.ranges[i].from <= n
}

// search returns the index of the first range that ends after the number.
func (s *numberSet) search(n int) int {
	return sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].to > n })
}

// add adds a number.
func (s *numberSet) add(n int) { s.addRange(n, n+1) }

// addRange adds the numbers from from to before to.
func (s *numberSet) addRange(from, to int) {
	if from >= to {
		return
	}
	// The ranges that overlap or touch the new one are replaced by it.
	first := sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].to >= from })
	end := first
	for ; end < len(s.ranges) && s.ranges[end].from <= to; end++ {
		s.count -= s.ranges[end].to - s.ranges[end].from
		from, to = min(from, s.ranges[end].from), max(to, s.ranges[end].to)
	}
	s.count += to - from
	s.ranges = slices.Replace(s.ranges, first, end, numberRange{from, to})
}

// nextMissing returns the lowest number from n on that the set does not have.
func (s *numberSet) nextMissing(n int) int {
	if i := s.search(n); i < len(s.ranges) && s.ranges[i].from <= n {
		return s.ranges[i].to
	}
	return n
}

// firstMissing returns the lowest number that the set does not have.
func (s *numberSet) firstMissing() int { return s.nextMissing(0) }
