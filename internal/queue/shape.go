package queue

import (
	"math/bits"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// maxShapes is the number of bits of a shapeSet.
const maxShapes = 64

// shapeSet is a set of indices in a shapeTable, one bit each.
type shapeSet uint64

func (s shapeSet) has(i int) bool { return s&(1<<i) != 0 }

// shapeKey is the quantised need of an item: the five dimensions of one task and
// the number of tasks, each in two steps per power of two. If one item of a shape
// cannot be placed, the others are assumed not to fit either and are not tried.
type shapeKey [api.NumDimensions + 1]uint8

func shapeOf(it *Item) shapeKey {
	r := &it.Resources
	return shapeKey{
		quantise(r.CPUMilli), quantise(r.MemoryMB), quantise(r.Accelerators),
		quantise(r.Slots), quantise(r.Connections), quantise(int64(it.Tasks)),
	}
}

// quantise returns the step of v, with two steps per power of two and 0 for v <= 0.
func quantise(v int64) uint8 {
	if v <= 0 {
		return 0
	}
	exponent := bits.Len64(uint64(v)) - 1
	half := 0
	if exponent > 0 {
		half = int(v>>(exponent-1)) & 1
	}
	return uint8(1 + 2*exponent + half)
}

// atLeast reports whether k needs at least as much as o in every element.
func (k shapeKey) atLeast(o shapeKey) bool {
	for i := range k {
		if k[i] < o[i] {
			return false
		}
	}
	return true
}

// overlaps reports whether there is a dimension that both k and o need.
func (k shapeKey) overlaps(o shapeKey) bool {
	for d := api.CPU; d < api.NumDimensions; d++ {
		if k[d] > 0 && o[d] > 0 {
			return true
		}
	}
	return false
}

// distance is the sum of the differences between the elements of k and o.
func (k shapeKey) distance(o shapeKey) int {
	sum := 0
	for i := range k {
		sum += max(int(k[i])-int(o[i]), int(o[i])-int(k[i]))
	}
	return sum
}

// shapeTable assigns an index to each shape of the waiting items.
type shapeTable struct {
	keys  [maxShapes]shapeKey
	count [maxShapes]int // waiting items
	used  shapeSet
}

// acquire counts one more item of shape k and returns the index of the shape and
// whether the index is newly assigned. When all indices are taken, the item is
// counted under the most similar shape.
func (t *shapeTable) acquire(k shapeKey) (index int, fresh bool) {
	for i := range t.keys {
		if t.used.has(i) && t.keys[i] == k {
			t.count[i]++
			return i, false
		}
	}
	free := bits.TrailingZeros64(^uint64(t.used))
	if free == maxShapes {
		i := t.nearest(k)
		t.count[i]++
		return i, false
	}
	t.keys[free], t.count[free] = k, 1
	t.used |= 1 << free
	return free, true
}

// nearest returns the used index whose shape is most similar to k.
func (t *shapeTable) nearest(k shapeKey) (best int) {
	for i := range t.keys {
		if k.distance(t.keys[i]) < k.distance(t.keys[best]) {
			best = i
		}
	}
	return best
}

// release counts one item less and reports whether it was the last of its shape.
func (t *shapeTable) release(index int) bool {
	t.count[index]--
	if t.count[index] > 0 {
		return false
	}
	t.used &^= 1 << index
	return true
}

// atLeast returns the shapes that need at least as much as k in every element.
func (t *shapeTable) atLeast(k shapeKey) (set shapeSet) {
	return t.filter(func(o shapeKey) bool { return o.atLeast(k) })
}

// overlapping returns the shapes that need one of the dimensions that k needs.
func (t *shapeTable) overlapping(k shapeKey) shapeSet {
	return t.filter(func(o shapeKey) bool { return o.overlaps(k) })
}

func (t *shapeTable) filter(keep func(shapeKey) bool) (set shapeSet) {
	for rest := t.used; rest != 0; rest &= rest - 1 {
		i := bits.TrailingZeros64(uint64(rest))
		if keep(t.keys[i]) {
			set |= 1 << i
		}
	}
	return set
}
