package entry

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"strconv"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// The records of a cell are kept in one of several partitions of the log, its lanes,
// because an outage may take only some partitions. A holder writes to one lane and
// changes to another when its lane does not answer while the claims do. A claim names
// the lanes that may hold records; a new holder reads all of these, and of each key
// the record with the highest version counts.

// laneCount is the number of lanes of a cell.
const laneCount = 4

// laneSet is a set of lanes, a bit each.
type laneSet uint8

// firstLane is the set of the lane that every cell begins with.
const firstLane laneSet = 1

func (s laneSet) has(lane int) bool { return s&(1<<lane) != 0 }

func (s laneSet) with(lane int) laneSet { return s | 1<<lane }

func (s laneSet) without(lane int) laneSet { return s &^ (1 << lane) }

// lanes returns the lanes of the set in order.
func (s laneSet) lanes() []int {
	out := make([]int, 0, bits.OnesCount8(uint8(s)))
	for lane := range laneCount {
		if s.has(lane) {
			out = append(out, lane)
		}
	}
	return out
}

// Partitions of an outage often have the same number in all topics, so that lanes and
// claims of a cell have different ones.
var laneOffsets = [laneCount]int{0, 11, 5, 14}

const claimOffset = 8

// placeOf returns the partition of a cell with an offset, of a number of partitions.
func placeOf(index, offset, partitions int) int {
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
	token int64 // of the holder that wrote the record
	seq   uint64
}

func (v version) less(o version) bool {
	return v.token < o.token || v.token == o.token && v.seq < o.seq
}

const versionBytes = 16

// withVersion puts a version before the value of a record; a drop has none.
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
		return version{}, nil, fault.New(fault.Invalid, fmt.Sprintf("the record %s has no version", r.Key), "report this as a defect; the record is skipped")
	}
	v := version{token: int64(binary.BigEndian.Uint64(r.Value)), seq: binary.BigEndian.Uint64(r.Value[8:])}
	return v, r.Value[versionBytes:], nil
}

// laneIndex is what the lanes of a cell hold.
type laneIndex map[string]laneSet // by key

// used returns the lanes that hold any record.
func (x laneIndex) used() laneSet {
	var all laneSet
	for _, s := range x {
		all |= s
	}
	return all
}

// note notes that a lane holds a record, or holds it no more.
func (x laneIndex) note(lane int, r cell.Record) {
	s := x[r.Key].with(lane)
	if r.Value == nil {
		s = s.without(lane)
	}
	if s == 0 {
		delete(x, r.Key)
	} else {
		x[r.Key] = s
	}
}

// laneReader merges the records of several lanes.
type laneReader struct {
	index  laneIndex
	newest map[string]cell.Record // without version
	at     map[string]version
}

func newLaneReader() *laneReader {
	return &laneReader{index: laneIndex{}, newest: map[string]cell.Record{}, at: map[string]version{}}
}

// add takes the records of a lane and returns those that cannot be read.
func (m *laneReader) add(lane int, records []cell.Record) (skipped []error) {
	for _, r := range records {
		m.index.note(lane, r)
		v, value, err := splitVersion(r)
		if err != nil {
			skipped = append(skipped, err)
			continue
		}
		if old, known := m.at[r.Key]; !known || old.less(v) {
			m.at[r.Key] = v
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
