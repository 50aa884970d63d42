package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/measure"
)

// TestMeasureCell measures cells of several sizes: the time from submission to start,
// from an end to its acknowledgement and, on a full cell, from an end to the next start,
// the heap per running task, and the size of records.
func TestMeasureCell(t *testing.T) {
	measure.SkipUnlessEnabled(t)
	for _, workers := range []int{48, 175, 350, 700} {
		r := newRig(t, workers, Resources{CPUMilli: 64000, MemoryMB: 131072})
		r.allow = func(step, worker string) bool { return (len(step)+int(worker[1]))%2 == 0 }
		empty := measure.HeapBytes()
		filled := 7 * workers // running tasks at the design size
		for n := range filled {
			r.submit(measuredJob(n, 1, 8000))
		}
		full := measure.HeapBytes()
		measure.Report(t, fmt.Sprintf("%d workers, heap per running task", workers), (full-empty)/float64(filled), "B")
		var submitTimes, passTimes []time.Duration
		for n := range 200 {
			start := time.Now()
			r.submit(measuredJob(filled+n, 1, 1000))
			submitTimes = append(submitTimes, time.Since(start))
			last := r.starts[len(r.starts)-1]
			r.endRun(last.Worker, last.Task, last.Run, EndDone)
			start = time.Now()
			r.now++
			r.s.Tick(r.now, r.unixMS)
			r.sendListing(last.Worker)
			r.runActions()
			passTimes = append(passTimes, time.Since(start))
		}
		measure.Report(t, fmt.Sprintf("%d workers, job to start, p50", workers), float64(measure.Quantile(submitTimes, 0.5).Microseconds()), "us")
		measure.Report(t, fmt.Sprintf("%d workers, end to acknowledgement, p50", workers), float64(measure.Quantile(passTimes, 0.5).Microseconds()), "us")
	}
	measureFullCell(t)
	r := newRig(t, 8, Resources{CPUMilli: 64000, MemoryMB: 131072})
	job := measuredJob(0, 8, 1000)
	r.submit(job)
	measure.Report(t, "record of a job of one step, 500 bytes of spec", float64(len(r.log[job.ID])), "B")
	r.endLast(EndDone)
	measure.Report(t, "record of progress, 8 tasks", float64(len(r.log[job.ID+progressSuffix])), "B")
}

func measuredJob(n, tasks int, cpu int64) Job {
	return Job{
		ID: fmt.Sprintf("%016x", n), Spec: string(make([]byte, 500)),
		Queue: Queue{Name: "q", Service: "svc", MaxAttempts: 4, SlackFactor: 2, TargetLatencyMS: 1000},
		Steps: []Step{{Tasks: tasks, Resources: Resources{CPUMilli: cpu, MemoryMB: 100}, EstimateMS: 1000}},
	}
}

// measureFullCell measures a placement pass while steps wait on a full cell.
func measureFullCell(t *testing.T) {
	const workers, waiting = 350, 200
	r := newRig(t, workers, Resources{CPUMilli: 16000, MemoryMB: 32768})
	r.allow = func(step, worker string) bool { return (len(step)+int(worker[len(worker)-1]))%2 == 0 }
	for n := range 4*workers + waiting {
		job := measuredJob(n, 1, 4000)
		job.Queue.Policy = &PolicyCost{DecisionMS: 10, PerWorkerMS: 0.1}
		r.submit(job)
	}
	var passTimes []time.Duration
	for n := range 200 {
		ended := r.starts[n]
		r.endRun(ended.Worker, ended.Task, ended.Run, EndDone)
		r.now += 2
		r.s.Tick(r.now, r.unixMS)
		start := time.Now()
		r.sendListing(ended.Worker)
		r.runActions()
		passTimes = append(passTimes, time.Since(start))
	}
	measure.Report(t, fmt.Sprintf("%d workers, %d steps wait, end to next start, p50", workers, waiting), float64(measure.Quantile(passTimes, 0.5).Microseconds()), "us")
}
