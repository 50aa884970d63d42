package entry

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// countingLog counts the reads of a topic, and refuses appends to it if set so.
type countingLog struct {
	*fakeLog
	topic   string
	refuses bool
	reads   atomic.Int32
}

func (l *countingLog) Newest(ctx context.Context, topic string, partition int, splits ...string) ([]cell.Record, int64, error) {
	if topic == l.topic {
		l.reads.Add(1)
	}
	return l.fakeLog.Newest(ctx, topic, partition, splits...)
}

func (l *countingLog) Append(ctx context.Context, a Append) (int64, error) {
	if a.Topic == l.topic && l.refuses {
		return 0, &AppendError{Failure: AppendRefused}
	}
	return l.fakeLog.Append(ctx, a)
}

// runWith runs a process with a log for a time.
func runWith(t *testing.T, log Log, cfg Config, d time.Duration) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	cfg.Name, cfg.Incarnation, cfg.LinkAddress, cfg.LongestLeaseMS, cfg.Logger = "a", "second", ln.Addr().String(), 6000, zap.NewNop()
	fleet := newFakeFleet(1)
	n := NewNode(cfg, Platform{Log: log, Registry: fleet, Controller: fleet, Policy: fleet})
	n.Start(ln)
	time.Sleep(d)
	n.Close()
	n.tasks.Wait()
}

// Guards against a restarted process that reads the claims without a pause while it leaves the cell to larger VMs.
func TestFormerClaimIsReadWithPauses(t *testing.T) {
	log := &countingLog{fakeLog: newFakeLog(), topic: topicClaims}
	former := claim{Holder: "a", Incarnation: "first", Token: 1, Term: 1, BestCPUMilli: 800}
	_, err := log.Append(t.Context(), Append{Topic: topicClaims, Records: []cell.Record{{Key: claimKey, Value: mustMarshal(former)}}})
	assert.NilError(t, err)
	const d = time.Second // less than the process waits for larger VMs
	runWith(t, log, Config{Cells: 1, CPUShare: 0.1}, d)
	assert.Assert(t, log.reads.Load() <= int32(d/observeInterval)+2, "%d reads in %v", log.reads.Load(), d)
}

// Guards against a process that proposes the layout without a pause while the log refuses appends.
func TestRefusedLayoutIsProposedWithPauses(t *testing.T) {
	log := &countingLog{fakeLog: newFakeLog(), topic: topicLayout, refuses: true}
	const d = registrySettleTime + time.Second
	runWith(t, log, Config{}, d)
	assert.Assert(t, log.reads.Load() <= int32(d/layoutRetryDelay)+2, "%d reads in %v", log.reads.Load(), d)
}
