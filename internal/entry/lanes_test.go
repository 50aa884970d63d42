package entry

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// An outage may affect only the partition that a cell writes to. Jobs must still be
// accepted, and a new holder must find them. It must also find the newest state of jobs
// that have older records in the partition that was left.
func TestPartialOutageOfTheLog(t *testing.T) {
	for _, test := range []struct {
		name string
		kind outage
	}{{"refuses", refuses}, {"silent", silent}, {"carries out without a response", losesResponses}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			log, fleet := newFakeLog(), newFakeFleet(2)
			holder, follower := startPair(t, log, fleet)
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

// While only the partition of the claims is down, no other process can take over. The
// holder must keep renewing leases as long as its appends are answered; otherwise the
// leases of all workers expire.
func TestAuthorityOutlivesOutageOfClaims(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	holder, _ := startPair(t, log, fleet)
	log.setOutage(topicClaims, 0, refuses)
	time.Sleep(authorityPeriod + 300*time.Millisecond)
	h, _, _ := holder.agents()[0].route()
	assert.Assert(t, h != nil)
	assert.Assert(t, h.hasAuthority())
	assert.NilError(t, holder.Submit(within(time.Second), testJob(1)))
}

// The newest of the records of a key in several lanes must be kept, in whatever order
// the lanes are read.
func TestLaneReaderKeepsNewest(t *testing.T) {
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

// A key that two lanes hold must be dropped from the older lane first. If the holder
// crashed between the two drops in the other order, the older record would become the
// newest.
func TestDropsSpareTheNewestLane(t *testing.T) {
	w := newRecordWriter(newFakeLog(), 0, 0, 1, nil)
	w.setIndex(laneIndex{"k": laneSet(0).with(0).with(1), "only": laneSet(0).with(1)})
	w.lane = 1
	_, records, drops := w.prepare([]cell.Persist{{Seq: 1, Key: "k"}, {Seq: 2, Key: "only"}})
	w.sweepLater(drops)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0].Key, "only")
	swept := w.sweepBatches()
	assert.Equal(t, len(swept), 1)
	assert.Equal(t, swept[0][0].Key, "k")
	w.indexStored(0, swept[0])
	assert.Equal(t, w.sweepBatches()[1][0].Key, "k")
	w.indexStored(1, []cell.Record{{Key: "k"}})
	assert.Equal(t, len(w.sweepBatches()), 0)
	assert.Equal(t, w.lanesToClaim(), laneSet(0).with(1))
}

// Guards against a progress record that is dropped from an older lane before the final state
// of its job is stored: the next holder would run tasks again that are done.
func TestKeyIsDroppedOnceItsBatchIsStored(t *testing.T) {
	log := newFakeLog()
	w := newRecordWriter(log, 0, 0, 1, zap.NewNop())
	w.setIndex(laneIndex{"job": firstLane, "progress": firstLane})
	w.setOpen(firstLane.with(1))
	w.lane = 1
	batch := []cell.Persist{{Seq: 1, Key: "job", Value: []byte("completed")}, {Seq: 2, Key: "progress"}}
	log.setOutage(laneTopic(1), 0, silent)
	assert.Assert(t, !w.write(within(300*time.Millisecond), batch))
	assert.Equal(t, len(w.sweepBatches()), 0, "dropped although the batch is not stored")
	log.setOutage(laneTopic(1), 0, noOutage)
	assert.Assert(t, w.write(within(2*time.Second), batch))
	assert.Equal(t, w.sweepBatches()[0][0].Key, "progress")
}

// A writer must not change to a lane that an earlier claim listed while a renewal without
// that lane is on its way. If the holder ended after the renewal was stored, the next one
// would not read the lane: acknowledged records are lost, and tasks that are done run
// again.
func TestLaneIsClosedByRenewalWithoutIt(t *testing.T) {
	w := newRecordWriter(newFakeLog(), 0, 0, 1, zap.NewNop())
	w.setIndex(laneIndex{"k": firstLane})
	w.setOpen(firstLane.with(1)) // requested before, and confirmed after the request had timed out
	sent := w.lanesToClaim()
	assert.Equal(t, sent, firstLane)
	assert.Assert(t, !w.changeLane(within(2*openTimeout)), "changed to a lane that the renewal does not list")
	assert.Equal(t, w.lane, 0)

	// Once a renewal with the lane is confirmed, the writer changes to it.
	w.renewClaim = func() { w.setOpen(w.lanesToClaim()) }
	assert.Assert(t, w.changeLane(within(2*openTimeout)))
	assert.Equal(t, w.lane, 1)
	assert.Equal(t, w.lanesToClaim(), firstLane.with(1))
}

// Jobs must not be refused while the log is slow but answers: a job that is accepted a
// second late can still be on time.
func TestSlowLogAcceptsJobs(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	holder, _ := startPair(t, log, fleet)
	log.setDelay(700 * time.Millisecond)
	assert.NilError(t, holder.Submit(within(4*time.Second), testJob(1))) // makes the holder measure the log's latency
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

// An outage may drop an append without a response. It must be sent again before the
// first call times out.
func TestLostAppendIsSentAgain(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	holder, _ := startPair(t, log, fleet)
	log.setDown(true, false)
	accepted := make(chan error, 1)
	go func() { accepted <- holder.Submit(within(4*time.Second), testJob(1)) }()
	time.Sleep(200 * time.Millisecond)
	log.setDown(false, false)
	start := time.Now()
	assert.NilError(t, <-accepted)
	assert.Assert(t, time.Since(start) < appendTimeout-time.Second, "accepted %v after the outage", time.Since(start))
}

// A writer whose sequence number differs from the log's must continue with the one that
// the log expects. Otherwise it repeats the refused append forever.
func TestWriterFollowsSequenceOfTheLog(t *testing.T) {
	log := newFakeLog()
	w := newRecordWriter(log, 0, 0, 1, zap.NewNop())
	w.setIndex(laneIndex{})
	write := func(seq uint64) bool {
		return w.write(within(2*time.Second), []cell.Persist{{Seq: seq, Key: "k", Value: []byte{byte(seq)}}})
	}
	assert.Assert(t, write(1))
	w.streams[0].nextSequence = 7
	assert.Assert(t, write(2))
	assert.Equal(t, w.streams[0].nextSequence, int64(3))
}

// A batch that begins like an unanswered one but holds other records must be written
// too. Otherwise its other records count as stored although they are lost.
func TestUnansweredAppendIsNotTakenForAnother(t *testing.T) {
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

// While the log is slow, each append takes nearly as long however many records it has.
// All waiting records must go into the next one: with 512 at most, new jobs of the grown
// enquiry desk waited 3 s behind 2,100 others and were late.
func TestWriterTakesAllWaitingRecords(t *testing.T) {
	w := newRecordWriter(newFakeLog(), 0, 0, 1, zap.NewNop())
	const records = 5000
	for seq := range uint64(records) {
		w.add(cell.Persist{Seq: seq + 1, Key: "k", Value: make([]byte, 100)})
	}
	assert.Equal(t, len(w.nextBatch(t.Context())), records)

	// The size of a call is limited all the same.
	for seq := range uint64(4) {
		w.add(cell.Persist{Seq: seq + 1, Key: "k", Value: make([]byte, maxBatchBytes)})
	}
	assert.Equal(t, len(w.nextBatch(t.Context())), 1)
}
