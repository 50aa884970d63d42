package node

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/core"
	"github.com/fulmarlatch/fulmarlatch/internal/platformlog"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// openLog creates the tails of both streams and the appender to stream work.
func (n *Node) openLog() {
	n.logClient = platformlog.NewClient(n.settings.Log)
	n.workTail = platformlog.NewTail(n.logClient, streamWork, workReader{n})
	n.rollTail = platformlog.NewTail(n.logClient, streamRolls, rollReader{n})
	n.appender = platformlog.NewAppender(n.workTail, platformlog.DefaultAppendInterval, n.recordRefused)
}

// recordID returns the ID under which the appender tracks a record.
func recordID(r record.Record) string {
	return r.Writer.String() + "/" + strconv.FormatUint(r.Sequence, 10)
}

func (n *Node) recordRefused(id string, reason error) {
	n.log.Error("record_refused", zap.String("record", id), zap.Error(reason))
}

// workReader passes the records of stream work to the core.
type workReader struct{ n *Node }

// Record passes a record to the core. A malformed record is logged and skipped.
func (w workReader) Record(r platformlog.Record) {
	decoded, err := record.Decode(r.Data)
	if err != nil {
		w.n.log.Warn("record_malformed", zap.Uint64("offset", r.Offset), zap.Error(err))
		return
	}
	if decoded.Writer == w.n.self {
		w.n.appender.Seen(recordID(decoded))
	}
	w.n.post(coreEvent{core.RecordRead{Offset: r.Offset, Record: decoded}})
}

// Gap handles records that the log dropped before this process read them.
func (w workReader) Gap(from, oldest uint64) {
	w.n.log.Warn("work_stream_gap", zap.Uint64("from", from), zap.Uint64("oldest", oldest))
	w.n.post(coreEvent{core.LogGap{}})
	select {
	case w.n.recordsLost <- struct{}{}:
	default: // already signalled
	}
}

// CaughtUp reports to the core that the end of the stream was reached.
func (w workReader) CaughtUp() { w.n.post(coreEvent{core.LogCaughtUp{}}) }

// State reports to the core whether the log responds.
func (w workReader) State(up bool, err error) {
	w.n.log.Info("log_state", zap.Bool("up", up), zap.Error(err))
	w.n.post(coreEvent{core.LogState{Up: up}})
}

// Intervals at which the retention of the log is read.
const (
	retentionRetryDelay = 2 * time.Second
	// The roll in force is appended again after a quarter to a half of the
	// retention. Reading it every eighth leaves time to repeat a failed append.
	retentionDivisor     = 8
	minRetentionInterval = 200 * time.Millisecond
	maxRetentionInterval = 30 * time.Second
)

// pollRetention reads the retention of the log and passes it to the control
// goroutine until ctx ends.
func (n *Node) pollRetention(ctx context.Context) {
	for {
		delay := retentionRetryDelay
		response, err := n.logClient.Read(ctx, streamRolls, n.rollTail.Next(), 1, 0)
		if err == nil {
			retention := time.Duration(response.RetentionMS) * time.Millisecond
			delay = min(max(retention/retentionDivisor, minRetentionInterval), maxRetentionInterval)
			n.post(call(func(n *Node) { n.setRetention(retention) }))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// setRetention passes the retention to the core and refreshes the roll in force
// if necessary.
func (n *Node) setRetention(retention time.Duration) {
	n.handleCoreEvent(core.LogRetention{Retention: retention})
	n.refreshRoll(retention)
}
