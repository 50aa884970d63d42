package entry

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"strconv"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Each cell has several lanes, which are partitions of the log that hold its records,
// because an outage may affect only some partitions. The holder writes to one lane. It
// changes to another when that lane does not respond but the partition of the claims
// does. The claim lists the lanes that may hold records. A new holder reads all of
// these and keeps the record with the highest version for each key.

// laneCount is the number of lanes of a cell.
const laneCount = 4

// laneSet is a bit set of lanes.
type laneSet uint8

// firstLane is the set of the initial lane of a cell.
const firstLane laneSet = 1

func (s laneSet) has(lane int) bool { return s&(1<<lane) != 0 }

func (s laneSet) with(lane int) laneSet { return s | 1<<lane }

func (s laneSet) without(lane int) laneSet { return s &^ (1 << lane) }

// lanes returns the lanes of the set in ascending order.
func (s laneSet) lanes() []int {
	out := make([]int, 0, bits.OnesCount8(uint8(s)))
	for lane := range laneCount {
		if s.has(lane) {
			out = append(out, lane)
		}
	}
	return out
}

// An outage often affects partitions with the same number in all topics, so the lanes
// and the claims of a cell use different partition numbers.
var laneOffsets = [laneCount]int{0, 11, 5, 14}

const claimOffset = 8

// partitionOf returns the partition that a cell uses for the given offset.
func partitionOf(index, offset, partitions int) int {
	if partitions <= 1 {
		return index
	}
	return (index + offset) % partitions
}

func laneTopic(lane int) string {
	if lane == 0 {
		return topicJobs
	}
	return topicJobs + "-" + strconv.Itoa(lane)
}

// version orders the records of a key across lanes.
type version struct {
	token int64 // fencing token of the holder that wrote the record
	seq   uint64
}

func (v version) less(o version) bool {
	return v.token < o.token || v.token == o.token && v.seq < o.seq
}

const versionBytes = 16

// withVersion returns the value with a version prefix, or nil for a drop.
func withVersion(v version, value []byte) []byte {
	if value == nil {
		return nil
	}
	out := make([]byte, 0, versionBytes+len(value))
	out = binary.BigEndian.AppendUint64(out, uint64(v.token))
	out = binary.BigEndian.AppendUint64(out, v.seq)
	return append(out, value...)
}

func splitVersion(r cell.Record) (version, []byte, error) {
	if len(r.Value) < versionBytes {
		return version{}, nil, fault.New(fault.Invalid, fmt.Sprintf("record %s has no version", r.Key), "report this as a defect; the record is skipped")
	}
	v := version{token: int64(binary.BigEndian.Uint64(r.Value)), seq: binary.BigEndian.Uint64(r.Value[8:])}
	return v, r.Value[versionBytes:], nil
}

// laneIndex maps each key to the lanes that hold a record of it.
type laneIndex map[string]keyLanes

// keyLanes are the lanes that hold a record of a key. The one with the newest record must
// be the last from which the key is dropped: without it, an older record would become the
// newest.
type keyLanes struct {
	lanes   laneSet
	newest  int
	version version // of the newest record
}

// used returns the lanes that hold at least one record.
func (x laneIndex) used() laneSet {
	var all laneSet
	for _, k := range x {
		all |= k.lanes
	}
	return all
}

// update records that a lane holds the record or, if it is a drop, that the lane does
// not hold its key.
func (x laneIndex) update(lane int, r cell.Record) {
	k := x[r.Key]
	if r.Value == nil {
		k.lanes = k.lanes.without(lane)
	} else {
		// A record without a version, which the reader reports, counts as the oldest.
		if v, _, _ := splitVersion(r); k.lanes == 0 || !v.less(k.version) {
			k.newest, k.version = lane, v
		}
		k.lanes = k.lanes.with(lane)
	}
	if k.lanes == 0 {
		delete(x, r.Key)
	} else {
		x[r.Key] = k
	}
}

// nextToDrop returns the lanes from which the key may be dropped now: all but the one with
// its newest record, or that one if it is the only one. It is empty if no lane holds the key.
func (x laneIndex) nextToDrop(key string) laneSet {
	k := x[key]
	if older := k.lanes.without(k.newest); older != 0 {
		return older
	}
	return k.lanes
}

// laneReader merges the records of several lanes.
type laneReader struct {
	index    laneIndex
	newest   map[string]cell.Record // without version prefix
	versions map[string]version
}

func newLaneReader() *laneReader {
	return &laneReader{index: laneIndex{}, newest: map[string]cell.Record{}, versions: map[string]version{}}
}

// add adds the records of a lane and returns an error for each malformed one.
func (m *laneReader) add(lane int, records []cell.Record) (skipped []error) {
	for _, r := range records {
		m.index.update(lane, r)
		v, value, err := splitVersion(r)
		if err != nil {
			skipped = append(skipped, err)
			// The scheduler cannot decode it either, but knows then that it exists.
			if _, known := m.newest[r.Key]; !known {
				m.newest[r.Key] = r
			}
			continue
		}
		if old, known := m.versions[r.Key]; !known || old.less(v) {
			m.versions[r.Key] = v
			m.newest[r.Key] = cell.Record{Key: r.Key, Value: value}
		}
	}
	return skipped
}

func (m *laneReader) records() []cell.Record {
	out := make([]cell.Record, 0, len(m.newest))
	for _, r := range m.newest {
		out = append(out, r)
	}
	return out
}
