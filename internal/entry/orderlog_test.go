package entry

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/logging"
)

// Guards against orders that no line names, and against a line for each of many orders.
func TestOrderLog(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	orders := orderLog{logger: zap.New(core)}
	for i := range maxRunsPerLine + 1 {
		orders.start(cell.Start{Worker: "w1", Task: cell.TaskID{Job: "j", Step: 1, Index: i}, Run: 2})
	}
	orders.start(cell.Start{Worker: "w2", Task: cell.TaskID{Job: "j", Step: 2}, Run: 1})
	orders.stop(cell.Stop{Worker: "w2", Task: cell.TaskID{Job: "j", Step: 2}, Run: 1, Reason: "job_cancelled"})
	orders.stop(cell.Stop{Worker: "w3", Task: cell.TaskID{Job: "j", Step: 2, Index: 3}, Run: 4, Reason: "job_cancelled"})
	orders.flush()
	orders.flush()
	orders.start(cell.Start{Worker: "w4", Task: cell.TaskID{Job: "j", Step: 3}, Run: 1})
	assert.Equal(t, orders.takeStarts(cell.LogEvent{Event: cell.EventStepPlaced, Task: "j.0.2"}), "")
	assert.Equal(t, orders.takeStarts(cell.LogEvent{Event: cell.EventStepWaits, Task: "j.0.3"}), "")
	assert.Equal(t, orders.takeStarts(cell.LogEvent{Event: cell.EventStepPlaced, Task: "j.0.3"}), "0:1@w4")
	orders.flush()

	entries := logs.All()
	assert.Equal(t, len(entries), 4)
	runs := func(line int) string { return entries[line].ContextMap()["runs"].(string) }
	assert.Equal(t, strings.Count(runs(0), ","), maxRunsPerLine-1)
	assert.Equal(t, runs(1), "32:2@w1")
	assert.Equal(t, entries[1].ContextMap()["task"], "j.0.1")
	assert.Equal(t, runs(2), "0:1@w2")
	assert.Equal(t, entries[3].Message, "stops_ordered")
	assert.Equal(t, runs(3), "0:1@w2,3:4@w3")
	assert.Equal(t, entries[3].ContextMap()["reason"], "job_cancelled")
}

// Guards against runs that no line names because other lines have filled the buffer of a log that is not read.
func TestOrdersAreLoggedBesideLinesThatAreDropped(t *testing.T) {
	r, w := io.Pipe()
	logger, buffer, err := logging.NewBounded(w, "info")
	assert.NilError(t, err)
	h := &holder{logger: logger, node: &Node{meters: newMeters(metrics.NewRegistry())}, ctx: t.Context(), events: make(chan event, 2)}
	for range 50_000 {
		h.logEvent(cell.LogEvent{Event: cell.EventJobAccepted, Job: "other"}, "")
	}
	step := cell.TaskID{Job: "j", Step: 1}
	h.perform([]cell.Action{
		cell.Start{Worker: "w1", Task: step, Run: 1},
		cell.LogEvent{Event: cell.EventStepPlaced, Job: step.Job, Task: step.StepName()},
		cell.Stop{Worker: "w2", Task: step, Run: 2, Reason: "copy_done"},
		cell.Start{Worker: "w3", Task: step, Run: 3},
		cell.LogEvent{Event: cell.EventWorkerReconciled, Worker: "w2", Detail: "replaced"},
		cell.LogEvent{Event: cell.EventRunLost, Job: step.Job, Task: step.String(), Run: 2, Worker: "w2"},
	})
	go func() {
		buffer.Flush(5 * time.Second)
		_ = w.Close() // returns no error
	}()
	text, err := io.ReadAll(r)
	assert.NilError(t, err)
	log := string(text)
	for _, want := range []string{"runs=0:1@w1", "runs=0:2@w2", "runs=0:3@w3", "event=worker_reconciled", "event=run_lost", "event=log_lines_dropped"} {
		assert.Equal(t, strings.Count(log, want), 1, want)
	}
}
