package entry

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// An outage may take the partition that a cell writes to and leave others. Jobs must
// be accepted all the same, and a new holder must find them, and what has become of
// jobs whose older records stand in the partition that was left.
func TestPartialOutageOfTheLog(t *testing.T) {
	for _, test := range []struct {
		name string
		kind outage
	}{{"refuses", refuses}, {"silent", silent}, {"carries out without an answer", swallows}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			log, fleet := newFakeLog(), newFakeFleet(2)
			holder, follower := pair(t, log, fleet)
			before, during := testJob(1), testJob(2)
			assert.NilError(t, holder.Submit(within(3*time.Second), before))
			eventually(t, "the first start", func() bool { return fleet.started() == 1 })

			log.setOutage(topicJobs, 0, test.kind)
			assert.NilError(t, holder.Submit(within(3*time.Second), during))
			eventually(t, "the second start", func() bool { return fleet.started() == 2 })
			fleet.endAll(cell.EndDone)
			completed := func(n *testNode, job *cell.Job) func() bool {
				return func() bool {
					state, err := n.Status(within(time.Second), job.ID)
					return err == nil && state == cell.Completed
				}
			}
			eventually(t, "the first job", completed(holder, before))
			eventually(t, "the second job", completed(holder, during))

			log.setOutage(topicJobs, 0, noOutage)
			holder.stop()
			eventually(t, "a takeover", follower.holds)
			assert.Assert(t, completed(follower, before)(), "an older record was taken for the newest")
			assert.Assert(t, completed(follower, during)())
			assert.Equal(t, fleet.started(), 2)
		})
	}
}

// While only the claims are down, nobody can take over. The holder must go on to renew
// leases as long as its appends are answered; all running work lapsed otherwise.
func TestAuthorityOutlivesOutageOfClaims(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	holder, _ := pair(t, log, fleet)
	log.setOutage(topicClaims, 0, refuses)
	time.Sleep(authority + 300*time.Millisecond)
	h, _, _ := holder.agents()[0].route()
	assert.Assert(t, h != nil)
	assert.Assert(t, h.hasAuthority())
	assert.NilError(t, holder.Submit(within(time.Second), testJob(1)))
}

// Of the records of a key in several lanes, the newest counts, in whatever order the
// lanes are read.
func TestLaneReaderTakesNewest(t *testing.T) {
	record := func(token int64, seq uint64, value string) cell.Record {
		return cell.Record{Key: "k", Value: withVersion(version{token, seq}, []byte(value))}
	}
	for _, test := range []struct {
		name   string
		first  cell.Record
		second cell.Record
		want   string
	}{
		{"later record of one holder", record(5, 1, "a"), record(5, 2, "b"), "b"},
		{"earlier record read last", record(5, 2, "a"), record(5, 1, "b"), "a"},
		{"record of a later holder", record(5, 9, "a"), record(7, 1, "b"), "b"},
	} {
		r := newLaneReader()
		assert.Equal(t, len(r.add(0, []cell.Record{test.first})), 0)
		assert.Equal(t, len(r.add(2, []cell.Record{test.second})), 0)
		assert.Equal(t, string(r.records()[0].Value), test.want, test.name)
		assert.Equal(t, r.index["k"], laneSet(0).with(0).with(2))
	}
	assert.Equal(t, len(newLaneReader().add(0, []cell.Record{{Key: "k", Value: []byte("short")}})), 1)
}

// A key that two lanes hold is dropped from the older one first. A holder that died
// between would otherwise leave the older record as the newest.
func TestDropsSpareTheNewestLane(t *testing.T) {
	w := newRecordWriter(newFakeLog(), 0, 0, 1, nil)
	w.setIndex(laneIndex{"k": laneSet(0).with(0).with(1), "only": laneSet(0).with(1)})
	w.lane = 1
	_, records := w.prepare([]cell.Persist{{Seq: 1, Key: "k"}, {Seq: 2, Key: "only"}})
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0].Key, "only")
	swept := w.sweepable()
	assert.Equal(t, len(swept), 1)
	assert.Equal(t, swept[0][0].Key, "k")
	w.noteHeld(0, swept[0])
	assert.Equal(t, w.sweepable()[1][0].Key, "k")
	w.noteHeld(1, []cell.Record{{Key: "k"}})
	assert.Equal(t, len(w.sweepable()), 0)
	assert.Equal(t, w.lanes(), laneSet(0).with(1))
}

// A log that is slow, but answers, must not have jobs refused: what is accepted a second
// late can still be on time.
func TestSlowLogAcceptsJobs(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	holder, _ := pair(t, log, fleet)
	log.setDelay(700 * time.Millisecond)
	assert.NilError(t, holder.Submit(within(4*time.Second), testJob(1))) // shows how slow the log is
	var submits sync.WaitGroup
	errs := make([]error, 8)
	for n := range errs {
		submits.Go(func() {
			time.Sleep(time.Duration(n) * 150 * time.Millisecond)
			errs[n] = holder.Submit(within(4*time.Second), testJob(2+n))
		})
	}
	submits.Wait()
	for _, err := range errs {
		assert.NilError(t, err)
	}
}

// An outage may swallow an append. It is sent again soon, and not only when the first
// call is given up.
func TestSwallowedAppendIsSentAgain(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	holder, _ := pair(t, log, fleet)
	log.set(true, false)
	accepted := make(chan error, 1)
	go func() { accepted <- holder.Submit(within(4*time.Second), testJob(1)) }()
	time.Sleep(200 * time.Millisecond)
	log.set(false, false)
	begun := time.Now()
	assert.NilError(t, <-accepted)
	assert.Assert(t, time.Since(begun) < appendTimeout-time.Second, "accepted %v after the outage", time.Since(begun))
}

// A writer whose sequence differs from that of the log goes on with the one that the log
// expects. It repeated the refused append for ever otherwise.
func TestWriterFollowsSequenceOfTheLog(t *testing.T) {
	log := newFakeLog()
	w := newRecordWriter(log, 0, 0, 1, zap.NewNop())
	w.setIndex(laneIndex{})
	write := func(seq uint64) bool {
		return w.write(within(2*time.Second), []cell.Persist{{Seq: seq, Key: "k", Value: []byte{byte(seq)}}})
	}
	assert.Assert(t, write(1))
	w.streams[0].next = 7
	assert.Assert(t, write(2))
	assert.Equal(t, w.streams[0].next, int64(3))
}

// A batch that begins like one without an answer, but holds other records, must be
// written as well. The records behind the first were taken for stored otherwise.
func TestLeftAppendIsNotTakenForAnother(t *testing.T) {
	log := newFakeLog()
	w := newRecordWriter(log, 0, 0, 1, zap.NewNop())
	w.setIndex(laneIndex{})
	log.setOutage(topicJobs, 0, silent)
	assert.Assert(t, w.appendTo(within(300*time.Millisecond), 0, []cell.Record{{Key: "gone"}, {Key: "a", Value: []byte("1")}}) != nil)
	log.setOutage(topicJobs, 0, noOutage)
	assert.NilError(t, w.appendTo(within(3*time.Second), 0, []cell.Record{{Key: "gone"}, {Key: "b", Value: []byte("2")}}))
	records, _, err := log.Newest(t.Context(), topicJobs, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 2)
}
