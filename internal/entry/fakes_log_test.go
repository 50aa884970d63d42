package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// fakeLog is an in-memory log. It can be slow or down, or lose its responses.
type fakeLog struct {
	mu         sync.Mutex
	partitions map[string]*fakePartition
	// down makes calls time out without effect.
	down bool
	// loseResponses makes appends time out after they were carried out.
	loseResponses bool
	// delay is the duration of each call.
	delay time.Duration
	// maxRecordBytes and maxAppendBytes limit a record's value and those of an append; 0 for
	// no limit.
	maxRecordBytes, maxAppendBytes int
	// outages holds the outage of each partition, by name.
	outages     map[string]outage
	interrupted map[string]int // number of appends to a partition with the outage interrupted
}

// outage is the way in which a partition is down.
type outage int

const (
	noOutage       outage = iota
	refuses               // calls are refused at once
	silent                // calls time out without effect
	losesResponses        // calls are carried out but time out
	interrupted           // the first append with records is carried out but times out; later calls are refused
)

func (l *fakeLog) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// wait blocks for the delay of a call.
func (l *fakeLog) wait(ctx context.Context) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		_ = clock.Sleep(ctx, delay)
	}
}

// setOutage sets the outage of a partition.
func (l *fakeLog) setOutage(topic string, partition int, o outage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outages[partitionName(topic, partition)] = o
	l.interrupted[partitionName(topic, partition)] = 0
}

// interruptedAppends returns the number of appends since the outage of a partition began.
func (l *fakeLog) interruptedAppends(topic string, partition int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interrupted[partitionName(topic, partition)]
}

func partitionName(topic string, partition int) string { return fmt.Sprintf("%s/%d", topic, partition) }

type fakePartition struct {
	newest   map[string][]byte
	end      int64
	epoch    int64
	sequence int64
}

var errSilentLog = errors.New("no response")

func newFakeLog() *fakeLog {
	return &fakeLog{partitions: map[string]*fakePartition{}, outages: map[string]outage{}, interrupted: map[string]int{}}
}

func (l *fakeLog) partition(topic string, index int) *fakePartition {
	name := partitionName(topic, index)
	p := l.partitions[name]
	if p == nil {
		p = &fakePartition{newest: map[string][]byte{}}
		l.partitions[name] = p
	}
	return p
}

func (l *fakeLog) setDown(down, loseResponses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.loseResponses = down, loseResponses
}

func (l *fakeLog) Append(ctx context.Context, a Append) (int64, error) {
	l.wait(ctx)
	l.mu.Lock()
	down, loseResponses := l.down, l.loseResponses
	outage := l.outages[partitionName(a.Topic, a.Partition)]
	if outage == interrupted && len(a.Records) > 0 {
		l.interrupted[partitionName(a.Topic, a.Partition)]++
		if l.interrupted[partitionName(a.Topic, a.Partition)] == 1 {
			outage = losesResponses
		}
	}
	switch outage {
	case refuses, interrupted:
		l.mu.Unlock()
		return 0, &AppendError{Failure: AppendRefused, Err: errSilentLog}
	case silent:
		down = true
	case losesResponses:
		loseResponses = true
	}
	end, err := int64(0), error(nil)
	if !down && !l.accepts(a) {
		l.mu.Unlock()
		return 0, &AppendError{Failure: AppendInvalid}
	}
	if !down {
		end, err = l.partition(a.Topic, a.Partition).append(a)
	}
	l.mu.Unlock()
	if down || loseResponses {
		<-ctx.Done()
		return 0, &AppendError{Failure: AppendUnanswered, Err: errSilentLog}
	}
	return end, err
}

// accepts reports whether the append is within the limits.
func (l *fakeLog) accepts(a Append) bool {
	sum := 0
	for _, r := range a.Records {
		if l.maxRecordBytes > 0 && len(r.Value) > l.maxRecordBytes {
			return false
		}
		sum += len(r.Value)
	}
	return l.maxAppendBytes == 0 || sum <= l.maxAppendBytes
}

func (p *fakePartition) append(a Append) (int64, error) {
	if a.ExpectedEnd != nil && *a.ExpectedEnd != p.end {
		return 0, &AppendError{Failure: AppendEndMismatch, End: p.end}
	}
	if w := a.Writer; w != nil {
		switch {
		case w.Epoch < p.epoch:
			return 0, &AppendError{Failure: AppendFenced}
		case len(a.Records) == 0: // sets the epoch
			if w.Epoch > p.epoch {
				p.epoch, p.sequence = w.Epoch, 0
			}
			return p.end, nil
		case w.Epoch == p.epoch && w.Sequence <= p.sequence:
			return p.end, nil // a repeated append
		case w.Epoch == p.epoch && p.sequence > 0 && w.Sequence != p.sequence+1:
			return 0, &AppendError{Failure: AppendOutOfOrder, Expected: p.sequence + 1}
		}
		p.epoch, p.sequence = w.Epoch, w.Sequence
	}
	for _, r := range a.Records {
		p.end++
		if r.Value == nil {
			delete(p.newest, r.Key)
		} else {
			p.newest[r.Key] = r.Value
		}
	}
	return p.end, nil
}

func (l *fakeLog) Newest(ctx context.Context, topic string, partition int, _ ...string) ([]cell.Record, int64, error) {
	l.wait(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.outages[partitionName(topic, partition)] != noOutage {
		return nil, 0, errSilentLog
	}
	p := l.partition(topic, partition)
	var records []cell.Record
	for key, value := range p.newest {
		records = append(records, cell.Record{Key: key, Value: value})
	}
	return records, p.end, nil
}

// clientLog is the fake log as seen by one process, which can be disconnected from it.
type clientLog struct {
	*fakeLog
	disconnected atomic.Bool
	// appendDelay is how long an append takes, in ns. One that takes longer than its caller
	// waits is carried out afterwards.
	appendDelay atomic.Int64
	// onRelease is called before a claim that releases a cell is appended, unless it is nil.
	onRelease atomic.Pointer[func()]
}

func (l *clientLog) Append(ctx context.Context, a Append) (int64, error) {
	if f := l.onRelease.Load(); f != nil && isRelease(a) {
		(*f)()
	}
	if l.disconnected.Load() {
		<-ctx.Done()
		return 0, &AppendError{Failure: AppendUnanswered, Err: errSilentLog}
	}
	if d := time.Duration(l.appendDelay.Load()); d > 0 {
		time.Sleep(d)
		end, err := l.fakeLog.Append(context.WithoutCancel(ctx), a)
		if ctx.Err() != nil {
			return 0, &AppendError{Failure: AppendUnanswered, Err: ctx.Err()}
		}
		return end, err
	}
	return l.fakeLog.Append(ctx, a)
}

// isRelease reports whether an append contains a claim without a holder.
func isRelease(a Append) bool {
	var c claim
	return a.Topic == topicClaims && cbor.Unmarshal(a.Records[0].Value, &c) == nil && c.Holder == ""
}

func (l *clientLog) Newest(ctx context.Context, topic string, partition int, _ ...string) ([]cell.Record, int64, error) {
	if l.disconnected.Load() {
		<-ctx.Done()
		return nil, 0, errSilentLog
	}
	return l.fakeLog.Newest(ctx, topic, partition)
}
