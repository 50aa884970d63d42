package entry

import (
	"bytes"
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
					state, err := n.Status(within(time.Second), job.ID, cell.Caller{})
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
		assert.Equal(t, r.index["k"].lanes, laneSet(0).with(0).with(2))
	}
	assert.Equal(t, len(newLaneReader().add(0, []cell.Record{{Key: "k", Value: []byte("short")}})), 1)
}

// Guards against drops that make an older record the newest, whichever lane is the current one.
func TestNewestRecordIsDroppedLast(t *testing.T) {
	for _, current := range []int{0, 1, 2} {
		w := newRecordWriter(newFakeLog(), 0, 0, 9, zap.NewNop())
		index := laneIndex{}
		index.update(1, cell.Record{Key: "job", Value: withVersion(version{5, 7}, []byte("completed"))})
		index.update(0, cell.Record{Key: "job", Value: withVersion(version{5, 2}, []byte("accepted"))})
		index.update(1, cell.Record{Key: "only", Value: withVersion(version{5, 3}, []byte("a"))})
		w.setIndex(index)
		w.lane = current
		_, records, drops := w.prepare([]cell.Persist{{Seq: 1, Key: "job"}, {Seq: 2, Key: "only"}})
		w.indexStored(current, records)
		w.sweepLater(drops)
		for range 3 {
			before := w.index["job"].lanes
			for lane := range laneCount {
				assert.NilError(t, w.sweepLane(t.Context(), lane))
				assert.Assert(t, w.index["job"].lanes != firstLane, "lane %d is current: the older record is left", current)
			}
			assert.Assert(t, before == 0 || w.index["job"].lanes != before)
		}
		assert.Equal(t, len(w.sweep), 0)
		assert.Equal(t, w.lanesToClaim(), laneSet(0).with(current))
	}
}

// Guards against ended jobs that run again because a new holder finds them while they are dropped.
func TestDroppedJobDoesNotReappear(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(1)
	earlier := cell.New(cell.Config{KeepEndedMS: 1000})
	earlier.Tick(1, 1000)
	job := testJob(1)
	earlier.Submit(job)
	accepted := lastRecord(t, earlier, job.ID)
	_, known := earlier.Cancel(job.ID, cell.Caller{})
	assert.Assert(t, known)
	ended := lastRecord(t, earlier, job.ID)
	write := func(topic string, records ...cell.Record) {
		_, err := log.Append(t.Context(), Append{Topic: topic, Records: records})
		assert.NilError(t, err)
	}
	// The earlier holder changed from lane 0 to lane 1 before the job ended.
	write(laneTopic(0), cell.Record{Key: job.ID, Value: withVersion(version{1, 1}, accepted)})
	write(laneTopic(1), cell.Record{Key: job.ID, Value: withVersion(version{1, 2}, ended)})
	write(topicClaims, cell.Record{Key: claimKey, Value: mustMarshal(claim{Token: 1, Term: 1, Lanes: firstLane.with(1)})})

	n := startNode(t, "a", log, fleet)
	eventually(t, "a holder", n.holds)
	eventually(t, "the drop of the job", func() bool {
		reader := newLaneReader()
		for _, lane := range []int{1, 0} { // a drop between the two reads is not taken for a fault
			records, _, err := log.Newest(t.Context(), laneTopic(lane), 0)
			assert.NilError(t, err)
			assert.Equal(t, len(reader.add(lane, records)), 0)
		}
		found, held := reader.newest[job.ID]
		assert.Assert(t, !held || bytes.Equal(found.Value, ended), "a new holder would run the job again")
		return !held
	})
}

// lastRecord returns the newest record of a key that the scheduler writes.
func lastRecord(t *testing.T, s *cell.Scheduler, key string) (value []byte) {
	t.Helper()
	for _, action := range s.Actions() {
		if p, ok := action.(cell.Persist); ok && p.Key == key {
			value = p.Value
		}
	}
	assert.Assert(t, value != nil)
	return value
}

// Guards against an older record that is written late and passes for the newest.
func TestRepeatOfOlderRecordIsNotTheNewest(t *testing.T) {
	index := laneIndex{}
	index.update(1, cell.Record{Key: "job", Value: withVersion(version{5, 7}, []byte("completed"))})
	index.update(0, cell.Record{Key: "job", Value: withVersion(version{5, 2}, []byte("accepted"))})
	assert.Equal(t, index.nextToDrop("job"), firstLane)
	index.update(2, cell.Record{Key: "job", Value: []byte("short")})
	assert.Equal(t, index.nextToDrop("job"), firstLane.with(2))
}

// Guards against drops that remove a job submitted again under the ID of a dropped one.
func TestSweepSparesKeyThatIsWrittenAgain(t *testing.T) {
	log := newFakeLog()
	w := newRecordWriter(log, 0, 0, 9, zap.NewNop())
	index := laneIndex{}
	for lane, key := range []string{"a", "a", "b", "b"} {
		index.update(lane%2, cell.Record{Key: key, Value: withVersion(version{5, uint64(lane)}, []byte("old"))})
	}
	w.setIndex(index)
	assert.Assert(t, w.store(t.Context(), []cell.Persist{{Seq: 1, Key: "a"}, {Seq: 2, Key: "b"}, {Seq: 3, Key: "b", Value: []byte("new")}}))
	assert.Assert(t, w.store(t.Context(), []cell.Persist{{Seq: 4, Key: "a", Value: []byte("new")}}))
	for range 3 {
		for lane := range laneCount {
			assert.NilError(t, w.sweepLane(t.Context(), lane))
		}
	}
	records, _, err := log.Newest(t.Context(), topicJobs, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 2)
}

// Guards against a progress record that is dropped from an older lane before the final state
// of its job is stored: the next holder would run tasks again that are done.
func TestKeyIsDroppedOnceItsBatchIsStored(t *testing.T) {
	log := newFakeLog()
	w := newRecordWriter(log, 0, 0, 1, zap.NewNop())
	w.setIndex(laneIndex{"job": {lanes: firstLane}, "progress": {lanes: firstLane}})
	w.setOpen(firstLane.with(1))
	w.lane = 1
	batch := []cell.Persist{{Seq: 1, Key: "job", Value: []byte("completed")}, {Seq: 2, Key: "progress"}}
	log.setOutage(laneTopic(1), 0, silent)
	assert.Assert(t, !w.store(within(300*time.Millisecond), batch))
	assert.Equal(t, len(w.sweepRecords(0)), 0, "dropped although the batch is not stored")
	log.setOutage(laneTopic(1), 0, noOutage)
	assert.Assert(t, w.store(within(2*time.Second), batch))
	assert.Equal(t, w.sweepRecords(0)[0].Key, "progress")
}

// A writer must not change to a lane that an earlier claim listed while a renewal without
// that lane is on its way. If the holder ended after the renewal was stored, the next one
// would not read the lane: acknowledged records are lost, and tasks that are done run
// again.
func TestLaneIsClosedByRenewalWithoutIt(t *testing.T) {
	w := newRecordWriter(newFakeLog(), 0, 0, 1, zap.NewNop())
	w.setIndex(laneIndex{"k": {lanes: firstLane}})
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
	awaitQuietLog(t, holder, fleet)
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

// awaitQuietLog waits until a job has completed and no record is waiting or being sent. A job
// that is submitted then is the first record that the log has to store.
func awaitQuietLog(t *testing.T, holder *testNode, fleet *fakeFleet) {
	t.Helper()
	job := testJob(0)
	assert.NilError(t, holder.Submit(within(4*time.Second), job))
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	fleet.endAll(cell.EndDone)
	h, _, _ := holder.agents()[0].route()
	eventually(t, "a quiet log", func() bool {
		state, err := holder.Status(within(time.Second), job.ID, cell.Caller{})
		return err == nil && state == cell.Completed && h.writer.idle()
	})
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
		return w.store(within(2*time.Second), []cell.Persist{{Seq: seq, Key: "k", Value: []byte{byte(seq)}}})
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
