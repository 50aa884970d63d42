package cell

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against numbers that are lost, or added, when ranges are joined.
func TestNumberSet(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		var set numberSet
		want := map[int]bool{}
		for range 60 {
			from := random.IntN(100)
			to := from + random.IntN(4)
			set.addRange(from, to)
			for n := from; n < to; n++ {
				want[n] = true
			}
			missing := 0
			for want[missing] {
				missing++
			}
			assert.Equal(t, set.firstMissing(), missing)
			assert.Equal(t, set.count, len(want))
			for n := range 110 {
				assert.Equal(t, set.has(n), want[n], "%d in %v", n, set.ranges)
				next := n
				for want[next] {
					next++
				}
				assert.Equal(t, set.nextMissing(n), next, "%d in %v", n, set.ranges)
			}
			for i := 1; i < len(set.ranges); i++ {
				assert.Assert(t, set.ranges[i-1].to < set.ranges[i].from, "%v", set.ranges)
			}
		}
	}
}
