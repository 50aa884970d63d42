package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// interruptedLog carries out the first append with records of a partition without a response.
// Until it is restored, it answers all later calls for that partition with failure.
type interruptedLog struct {
	*fakeLog
	topic    string
	failure  AppendFailure
	calls    atomic.Int32
	restored atomic.Bool
	release  chan struct{} // a value lets the first call get its response
}

func newInterruptedLog(topic string, failure AppendFailure) *interruptedLog {
	return &interruptedLog{fakeLog: newFakeLog(), topic: topic, failure: failure, release: make(chan struct{}, 1)}
}

func (l *interruptedLog) Append(ctx context.Context, a Append) (int64, error) {
	if a.Topic != l.topic || len(a.Records) == 0 {
		return l.fakeLog.Append(ctx, a)
	}
	switch n := l.calls.Add(1); {
	case n == 1:
		end, err := l.fakeLog.Append(ctx, a)
		select {
		case <-l.release:
			return end, err
		case <-ctx.Done():
			return 0, &AppendError{Failure: AppendUnanswered, Err: ctx.Err()}
		}
	case !l.restored.Load():
		return 0, &AppendError{Failure: l.failure}
	}
	return l.fakeLog.Append(ctx, a)
}

func recordsOf(key string) []cell.Record {
	return []cell.Record{{Key: key, Value: withVersion(version{1, 1}, []byte(key))}}
}

// Guards against records that are lost because a refused repeat of an append makes its sequence number
// seem free: the log takes the next records under that number for a repeat of the first call.
func TestNumberOfUnansweredAppendIsNotUsedForOtherRecords(t *testing.T) {
	for _, failure := range []AppendFailure{AppendRefused, AppendFull, AppendInvalid} {
		t.Run((&AppendError{Failure: failure}).Error(), func(t *testing.T) {
			t.Parallel()
			log := newInterruptedLog(topicJobs, failure)
			w, _ := newStoringWriter(log)
			first := w.appendTo(within(resendInterval+400*time.Millisecond), 0, recordsOf("a"))
			assert.Assert(t, isUnanswered(first), "the append may have been carried out, but counts as %v", first)
			if failure == AppendInvalid { // the repeat must be refused too, after the first call has ended
				assert.Assert(t, w.appendTo(within(time.Second), 0, recordsOf("b")) != nil)
			}
			log.restored.Store(true)
			assert.NilError(t, w.appendTo(within(2*time.Second), 0, recordsOf("b")))
			assert.Assert(t, log.partition(topicJobs, 0).newest["b"] != nil, "the log answered the append of b as it answered that of a")
		})
	}
}

// Guards against an append that waits for its timeout, or counts as failed, although the first call was
// answered after a repeat was refused.
func TestAppendSucceedsThoughARepeatIsRefused(t *testing.T) {
	log := newInterruptedLog(topicJobs, AppendRefused)
	w, _ := newStoringWriter(log)
	time.AfterFunc(resendInterval+200*time.Millisecond, func() { log.release <- struct{}{} })
	start := time.Now()
	assert.NilError(t, w.appendTo(within(appendTimeout), 0, recordsOf("a")))
	assert.Assert(t, time.Since(start) < resendInterval+time.Second, "took %v", time.Since(start))
	assert.Equal(t, w.streams[0].nextSequence, int64(2))
}

// Guards against an accepted job that the next holder does not know: after an append whose repeat was
// refused, the writer went to another lane, returned, and used the number again.
func TestAcceptedJobSurvivesReturnToAnInterruptedLane(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(1)
	holder, follower := startPair(t, log, fleet)
	awaitQuietLog(t, holder, fleet)
	log.setOutage(topicJobs, 0, interrupted)
	// While the claims do not answer either, the writer stays in its lane and repeats the append.
	log.setOutage(topicClaims, 0, refuses)
	accepted := make(chan error, 1)
	go func() { accepted <- holder.Submit(within(4*time.Second), testJob(1)) }()
	eventually(t, "a repeat", func() bool { return log.interruptedAppends(topicJobs, 0) > 1 })
	log.setOutage(topicClaims, 0, noOutage)
	assert.NilError(t, <-accepted)

	log.setOutage(topicJobs, 0, noOutage)
	for lane := 1; lane < laneCount; lane++ {
		log.setOutage(laneTopic(lane), 0, refuses)
	}
	second := testJob(2)
	assert.NilError(t, holder.Submit(within(4*time.Second), second))
	for lane := 1; lane < laneCount; lane++ {
		log.setOutage(laneTopic(lane), 0, noOutage)
	}
	holder.stop()
	eventually(t, "a takeover", follower.holds)
	eventually(t, "the state of the accepted job", func() bool {
		_, err := follower.Status(within(time.Second), second.ID, cell.Caller{})
		return err == nil
	})
}

// forgetfulLog does not know repeats: it expects the next number once an append is carried out.
type forgetfulLog struct{ *interruptedLog }

func (l forgetfulLog) Append(ctx context.Context, a Append) (int64, error) {
	l.mu.Lock()
	carriedOut := len(a.Records) > 0 && a.Writer.Sequence <= l.partition(a.Topic, a.Partition).sequence
	expected := l.partition(a.Topic, a.Partition).sequence + 1
	l.mu.Unlock()
	if carriedOut {
		return 0, &AppendError{Failure: AppendOutOfOrder, Expected: expected}
	}
	return l.interruptedLog.Append(ctx, a)
}

// Guards against an unanswered append that is sent again for ever, and blocks its lane, because the log
// answers the repeat with the next sequence number.
func TestRepeatFollowsSequenceOfTheLog(t *testing.T) {
	log := forgetfulLog{newInterruptedLog(topicJobs, AppendRefused)}
	log.restored.Store(true)
	w, _ := newStoringWriter(log)
	assert.Assert(t, isUnanswered(w.appendTo(within(200*time.Millisecond), 0, recordsOf("a"))))
	eventually(t, "the next append", func() bool { return w.appendTo(within(time.Second), 0, recordsOf("b")) == nil })
	assert.Assert(t, log.partition(topicJobs, 0).newest["a"] != nil)
	assert.Assert(t, log.partition(topicJobs, 0).newest["b"] != nil)
}
