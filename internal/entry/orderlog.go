package entry

import (
	"strconv"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// maxRunsPerLine limits the runs that one line of an orderLog names, and thus its length
// to about 1 KB.
const maxRunsPerLine = 32

// orderLog logs the orders of one pass. Consecutive orders for a step share a line, because
// a line for each of up to 1,300 starts a second would fill the buffer of the logger. Starts
// that the scheduler reports as placed are named in the line of that event.
type orderLog struct {
	logger *zap.Logger
	key    orderKey
	runs   []byte // INDEX:RUN@WORKER for each order, separated by commas
	count  int
}

const startsOrdered = "starts_ordered"

// orderKey identifies the orders that share a line.
type orderKey struct {
	event, job, step, reason string
}

func (l *orderLog) start(a cell.Start) {
	l.add(orderKey{event: startsOrdered, job: a.Task.Job, step: a.Task.StepName()}, a.Task.Index, a.Run, a.Worker)
}

func (l *orderLog) stop(a cell.Stop) {
	l.add(orderKey{event: "stops_ordered", job: a.Task.Job, step: a.Task.StepName(), reason: a.Reason}, a.Task.Index, a.Run, a.Worker)
}

func (l *orderLog) add(key orderKey, index int, run uint32, worker string) {
	if l.count > 0 && (key != l.key || l.count == maxRunsPerLine) {
		l.flush()
	}
	if l.count > 0 {
		l.runs = append(l.runs, ',')
	}
	l.key = key
	l.count++
	l.runs = strconv.AppendInt(l.runs, int64(index), 10)
	l.runs = append(l.runs, ':')
	l.runs = strconv.AppendUint(l.runs, uint64(run), 10)
	l.runs = append(l.runs, '@')
	l.runs = append(l.runs, worker...)
}

// takeStarts returns the starts that a report of placed tasks is about, as far as they have
// not been logged, and counts them as logged.
func (l *orderLog) takeStarts(e cell.LogEvent) (runs string) {
	placed := e.Event == cell.EventStepPlaced || e.Event == cell.EventStepPlacedLate
	if !placed || l.count == 0 || l.key.event != startsOrdered || l.key.step != e.Task {
		return ""
	}
	runs = string(l.runs)
	l.runs, l.count = l.runs[:0], 0
	return runs
}

// flush logs the orders that have not been logged.
func (l *orderLog) flush() {
	if l.count == 0 {
		return
	}
	fields := []zap.Field{zap.String("job", l.key.job), zap.String("task", l.key.step), zap.String("runs", string(l.runs))}
	if l.key.reason != "" {
		fields = append(fields, zap.String("reason", l.key.reason))
	}
	l.logger.Info(l.key.event, fields...)
	l.runs, l.count = l.runs[:0], 0
}
