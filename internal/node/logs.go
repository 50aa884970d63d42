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

// openLog prepares the tails of both streams and the appender of stream work.
func (n *Node) openLog() {
	n.logClient = platformlog.NewClient(n.settings.Log)
	n.workTail = platformlog.NewTail(n.logClient, streamWork, workReader{n})
	n.rollTail = platformlog.NewTail(n.logClient, streamRolls, rollReader{n})
	n.appender = platformlog.NewAppender(n.workTail, platformlog.DefaultPause, n.recordRefused)
}

func recordID(r record.Record) string {
	return r.Writer.String() + "/" + strconv.FormatUint(r.Sequence, 10)
}

func (n *Node) recordRefused(id string, reason error) {
	n.log.Error("record_refused", zap.String("record", id), zap.Error(reason))
}

// workReader passes the records of stream work to the core.
type workReader struct{ n *Node }

// Record passes a record on. A record that cannot be read changes nothing.
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

// Gap reports records that the log dropped before this process read them.
func (w workReader) Gap(from, oldest uint64) {
	w.n.log.Warn("work_stream_gap", zap.Uint64("from", from), zap.Uint64("oldest", oldest))
	w.n.post(coreEvent{core.LogGap{}})
	select {
	case w.n.logLost <- struct{}{}:
	default: // signalled before
	}
}

// CaughtUp reports that the end of the stream was reached once.
func (w workReader) CaughtUp() { w.n.post(coreEvent{core.LogCaughtUp{}}) }

// State reports whether the log answers.
func (w workReader) State(up bool, err error) {
	w.n.log.Info("log_state", zap.Bool("up", up), zap.Error(err))
	w.n.post(coreEvent{core.LogState{Up: up}})
}

// Intervals at which the log is asked for its retention.
const (
	retentionRetry = 2 * time.Second
	// The roll in force is appended again at a quarter to a half of the retention,
	// so an eighth of it leaves room for an append that fails.
	retentionShare = 8
	retentionMin   = 200 * time.Millisecond
	retentionMax   = 30 * time.Second
)

// watchRetention tells the control goroutine how long the log keeps records.
func (n *Node) watchRetention(ctx context.Context) {
	for {
		pause := retentionRetry
		answer, err := n.logClient.Read(ctx, streamRolls, n.rollTail.Next(), 1, 0)
		if err == nil {
			retention := time.Duration(answer.RetentionMS) * time.Millisecond
			pause = min(max(retention/retentionShare, retentionMin), retentionMax)
			n.post(call(func(n *Node) { n.retentionKnown(retention) }))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (n *Node) retentionKnown(retention time.Duration) {
	n.step(core.LogRetention{Retention: retention})
	n.refreshRoll(retention)
}
