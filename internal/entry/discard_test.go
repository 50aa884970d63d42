package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// newStoringWriter returns a writer to the first lane and the sequence numbers of the records
// that it discards.
func newStoringWriter(log Log) (w *recordWriter, discarded *[]uint64) {
	w = newRecordWriter(log, 0, 0, 1, zap.NewNop())
	w.setIndex(laneIndex{})
	discarded = new([]uint64)
	w.onDiscarded = func(p cell.Persist) { *discarded = append(*discarded, p.Seq) }
	return w, discarded
}

// Guards against a record that the log does not accept and that is appended for ever, with all later records waiting behind it.
func TestOnlyRecordsThatTheLogDoesNotAcceptAreDiscarded(t *testing.T) {
	log := newFakeLog()
	log.maxRecordBytes = 1000
	w, discarded := newStoringWriter(log)
	var batch []cell.Persist
	for n := range 50 {
		p := cell.Persist{Seq: uint64(n), Key: testJob(n).ID, Value: []byte("value")}
		if n == 7 || n == 31 {
			p.Value = make([]byte, 1001)
		}
		batch = append(batch, p)
	}
	assert.Assert(t, w.store(within(5*time.Second), batch))
	assert.DeepEqual(t, *discarded, []uint64{7, 31})
	for _, p := range batch {
		_, stored := log.partition(laneTopic(0), 0).newest[p.Key]
		assert.Equal(t, stored, len(p.Value) < 1000, "record %d", p.Seq)
	}
}

// Guards against records that are lost because an append is too large as a whole.
func TestAppendThatIsTooLargeIsDivided(t *testing.T) {
	log := newFakeLog()
	log.maxAppendBytes = 1000
	w, discarded := newStoringWriter(log)
	var batch []cell.Persist
	for n := range 20 {
		batch = append(batch, cell.Persist{Seq: uint64(n), Key: testJob(n).ID, Value: make([]byte, 200)})
	}
	assert.Assert(t, w.store(within(5*time.Second), batch))
	assert.Equal(t, len(*discarded), 0)
	assert.Equal(t, len(log.partition(laneTopic(0), 0).newest), len(batch))
}

// rejectingLog refuses all appends as invalid, as a log does that is configured wrongly.
type rejectingLog struct{ Log }

func (rejectingLog) Append(context.Context, Append) (int64, error) {
	return 0, &AppendError{Failure: AppendInvalid}
}

// Guards against records that are discarded because the log refuses every call.
func TestNothingIsDiscardedWhileTheLogRefusesEveryAppend(t *testing.T) {
	w, discarded := newStoringWriter(rejectingLog{newFakeLog()})
	assert.Assert(t, !w.store(within(500*time.Millisecond), []cell.Persist{{Seq: 1, Key: "k", Value: []byte("v")}}))
	assert.Equal(t, len(*discarded), 0)
}

// Guards against an unanswered append that is not accepted and is repeated before all later ones for ever.
func TestUnansweredAppendEndsWhenItIsNotAccepted(t *testing.T) {
	log := newFakeLog()
	log.maxRecordBytes = 1000
	w, discarded := newStoringWriter(log)
	log.setOutage(laneTopic(0), 0, silent)
	batch := []cell.Persist{{Seq: 1, Key: "large", Value: make([]byte, 2000)}, {Seq: 2, Key: "small", Value: []byte("v")}}
	assert.Assert(t, !w.store(within(300*time.Millisecond), batch))
	log.setOutage(laneTopic(0), 0, noOutage)
	assert.Assert(t, w.store(within(5*time.Second), batch))
	assert.DeepEqual(t, *discarded, []uint64{1})
}

// Guards against a job that gets no answer, or starts, although the log does not accept its record.
func TestJobThatCannotBeStoredIsRefused(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	log.maxRecordBytes = 2000
	holder, _ := startPair(t, log, fleet)
	large := testJob(1)
	large.Spec = string(make([]byte, 3000))
	result := make(chan error, 1)
	go func() { result <- holder.Submit(within(5*time.Second), large) }()
	assert.NilError(t, holder.Submit(within(5*time.Second), testJob(2)))
	err := <-result
	var e *fault.Error
	assert.Assert(t, errors.As(err, &e) && e.Kind == fault.Invalid, "%v", err)
	eventually(t, "the start of the other job", func() bool { return fleet.started() == 1 })
	_, err = holder.Status(within(time.Second), large.ID, cell.Caller{})
	assert.Assert(t, errors.As(err, &e) && e.Kind == fault.NotFound, "%v", err)
}
