package entry

import (
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
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
