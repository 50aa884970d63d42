package test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/measure"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
	"github.com/fulmarlatch/fulmarlatch/internal/upstream"
)

const (
	measuredWorkers = 50
	// settleLength lets the processes that started first hand workers over.
	settleLength = 6 * time.Second
	restLength   = 5 * time.Second
	loadLength   = 4 * time.Second
	loadSeed     = 5
	// entryProcessors is the size of a small entry VM. With all processors of a
	// large machine the Go runtime spends more on looking for work at rest.
	entryProcessors = 2
)

// enquiryShape is the worker of the enquiry desk.
var enquiryShape = api.Resources{CPUMilli: 16000, MemoryMB: 32000, Slots: 8, Connections: 60}

// domainOf returns the failure domain of an entry process.
func (c *cell) domainOf(name string) string {
	number := int(name[len(name)-1] - '0')
	if c.domains > 0 {
		number %= c.domains
	}
	return string(rune('a' + number))
}

// usage sums what all entry processes have used.
type usage struct {
	cpu                        time.Duration
	written, read              float64 // bytes by calls on all sockets and files
	linkBytes, linkMessages    float64 // sent between entry processes, without heartbeats in the messages
	resident, largestResident  float64 // bytes
	tasks, processes, appended float64
}

func (c *cell) usage() usage {
	var u usage
	for _, e := range c.entries {
		pid := e.command.Process.Pid
		u.cpu += measure.CPUTime(c.t, pid)
		u.written += measure.ProcValue(c.t, pid, "io", "wchar:")
		u.read += measure.ProcValue(c.t, pid, "io", "rchar:")
		resident := 1024 * measure.ProcValue(c.t, pid, "status", "VmRSS:")
		u.resident += resident
		u.largestResident = max(u.largestResident, resident)
	}
	for _, e := range c.entries { // after the readings, because a dump costs time
		d := e.dump()
		for _, l := range d.Links {
			u.linkBytes += float64(l.BytesSent)
			u.linkMessages += float64(l.MessagesSent)
		}
		u.tasks += float64(d.Core.Counters.Commits)
		u.appended += float64(d.Core.Counters.Appends)
		u.processes++
	}
	return u
}

// report writes the mean per process and second between two readings.
func (c *cell) report(label string, before, after usage, elapsed time.Duration) {
	per := after.processes * elapsed.Seconds()
	measure.Figure(c.t, label+"processor time", float64((after.cpu-before.cpu).Milliseconds())/per, "ms/s per process")
	measure.Figure(c.t, label+"written to sockets and the log file", (after.written-before.written)/per, "bytes/s per process")
	measure.Figure(c.t, label+"read from sockets", (after.read-before.read)/per, "bytes/s per process")
	measure.Figure(c.t, label+"sent on links", (after.linkBytes-before.linkBytes)/per, "bytes/s per process")
	measure.Figure(c.t, label+"messages on links", (after.linkMessages-before.linkMessages)/per, "messages/s per process")
	measure.Figure(c.t, label+"resident memory, mean", after.resident/after.processes/(1<<20), "MiB")
	starts := after.tasks - before.tasks
	if starts == 0 {
		return
	}
	measure.Figure(c.t, label+"starts reached", starts/elapsed.Seconds(), "1/s")
	measure.Figure(c.t, label+"processor time per start, whole cell", float64((after.cpu-before.cpu).Microseconds())/starts, "us")
	measure.Figure(c.t, label+"written per start, whole cell", (after.written-before.written)/starts, "bytes")
	measure.Figure(c.t, label+"link messages per start", (after.linkMessages-before.linkMessages)/starts, "messages")
}

// latencies are the times from submission to the answer.
type latencies struct {
	mu     sync.Mutex // guards list
	list   []time.Duration
	failed int
}

func (l *latencies) note(d time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failed++
		return
	}
	l.list = append(l.list, d)
}

func (c *cell) reportLatency(label string, l *latencies) {
	for _, q := range []float64{0.5, 0.99, 0.999} {
		measure.Figure(c.t, fmt.Sprintf("%slatency p%g", label, 100*q), float64(measure.Quantile(l.list, q).Microseconds())/1000, "ms")
	}
	measure.Figure(c.t, label+"failed", float64(l.failed), "requests")
}

// offer sends requests at a rate, counted from when they were due, so that a slow
// cell does not hide its own delays.
func (c *cell) offer(rate float64, run time.Duration) *latencies {
	l := &latencies{}
	rng := rand.New(rand.NewPCG(loadSeed, uint64(rate)))
	var group conc.WaitGroup
	names := sortedNames(c.entries)
	due, end := time.Now(), time.Now().Add(loadLength)
	for i := 0; due.Before(end); i++ {
		time.Sleep(time.Until(due))
		client, began := c.measuring[names[i%len(names)]], due
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			answer := client.Submit(ctx, request(run, 100))
			l.note(time.Since(began), answer.Outcome == api.OutcomeCompleted)
		})
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
	}
	group.Wait()
	return l
}

// saturate keeps a number of requests in progress at each entry process.
func (c *cell) saturate(callers int) *latencies {
	l := &latencies{}
	var group conc.WaitGroup
	end := time.Now().Add(loadLength)
	for _, name := range sortedNames(c.entries) {
		for range callers {
			group.Go(func() {
				for time.Now().Before(end) {
					began := time.Now()
					answer := c.measuring[name].Submit(context.Background(), request(0, 100))
					l.note(time.Since(began), answer.Outcome == api.OutcomeCompleted)
				}
			})
		}
	}
	group.Wait()
	return l
}

func measuredBundle() bundle.Bundle {
	b := testBundle()
	b.Classes = []bundle.Class{{Name: "urgent", Rank: 1, Ceiling: 1, QueueBound: 5000, DeadlineMS: 10000, RetryBudget: 0.1, MaxAttempts: 2},
		{Name: "bulk", Rank: 5, Ceiling: 1, QueueBound: 5000, RetryBudget: 0.1, MaxAttempts: 2}}
	return b
}

// startCellOf starts a cell of the enquiry desk's size, with entry processes in
// three failure domains.
func startCellOf(t *testing.T, entries, workers int, b bundle.Bundle) *cell {
	o := defaultOptions()
	o.entries, o.workers, o.capacity, o.domains = entries, workers, enquiryShape, 3
	o.processors = entryProcessors
	c := newCell(t, o)
	for i := range o.entries {
		c.startEntry(entryName(i))
	}
	c.roll(b)
	c.awaitReady()
	c.awaitHeld(o.workers)
	for name := range c.entries {
		c.measuring[name] = c.client(name)
	}
	return c
}

func sortedNames(entries map[string]*entry) []string {
	return slices.Sorted(maps.Keys(entries))
}

// TestMeasureProcesses measures entry processes at rest and under load with 50
// workers.
func TestMeasureProcesses(t *testing.T) {
	measure.Start(t)
	for _, entries := range []int{3, 6, 9} {
		c := startCellOf(t, entries, measuredWorkers, measuredBundle())
		label := fmt.Sprintf("%d processes, ", entries)
		time.Sleep(settleLength)
		before, began := c.usage(), time.Now()
		time.Sleep(restLength)
		c.report(label+"at rest: ", before, c.usage(), time.Since(began))
		for _, rate := range []float64{50, 200, 600} {
			before, began = c.usage(), time.Now()
			l := c.offer(rate, 20*time.Millisecond)
			elapsed := time.Since(began)
			c.report(fmt.Sprintf("%s%.0f/s: ", label, rate), before, c.usage(), elapsed)
			c.reportLatency(fmt.Sprintf("%s%.0f/s, 20 ms of work: ", label, rate), l)
		}
		before, began = c.usage(), time.Now()
		l := c.saturate(64)
		c.report(label+"64 callers each: ", before, c.usage(), time.Since(began))
		c.reportLatency(label+"64 callers each, no work: ", l)
		c.checkWorkers()
		c.close()
		c.entries = nil
	}
	measureDirect(t)
}

// TestMeasureRest measures what a held worker costs at rest, as the slope over the
// number of workers of three processes.
func TestMeasureRest(t *testing.T) {
	measure.Start(t)
	for _, renew := range []int64{1000, 5000} {
		measureHeld(t, renew)
	}
}

// measureHeld measures with a renewal every so many milliseconds and leases of
// three times as long.
func measureHeld(t *testing.T, renew int64) {
	var held, cpu, written, read, resident []float64
	for _, workers := range []int{30, 150, 300} {
		b := measuredBundle()
		b.Timing.LeaseRenewMS, b.Timing.WorkerLeaseMS = renew, 3*renew
		c := startCellOf(t, 3, workers, b)
		time.Sleep(settleLength)
		before, began := c.usage(), time.Now()
		time.Sleep(2 * restLength)
		after, seconds := c.usage(), time.Since(began).Seconds()
		held = append(held, float64(workers))
		cpu = append(cpu, float64((after.cpu-before.cpu).Microseconds())/seconds)
		written = append(written, (after.written-before.written)/seconds)
		read = append(read, (after.read-before.read)/seconds)
		resident = append(resident, after.resident)
		c.report(fmt.Sprintf("3 processes, %d workers, renewal %d ms, at rest: ", workers, renew), before, after, time.Since(began))
		c.close()
		c.entries = nil
	}
	label := fmt.Sprintf("per held worker, renewal %d ms: ", renew)
	measure.Figure(t, label+"processor time", measure.Slope(held, cpu), "us/s")
	measure.Figure(t, label+"written", measure.Slope(held, written), "bytes/s")
	measure.Figure(t, label+"read", measure.Slope(held, read), "bytes/s")
	measure.Figure(t, label+"resident memory", measure.Slope(held, resident), "bytes")
}

// TestMeasureRollTime measures the time from the append of a roll until it is in
// force at nine processes.
func TestMeasureRollTime(t *testing.T) {
	measure.Start(t)
	c := startCellOf(t, 9, measuredWorkers, measuredBundle())
	var times []time.Duration
	for i := range 20 {
		b := measuredBundle()
		b.Comment = fmt.Sprint("change ", i)
		b.Classes[0].QueueBound += i
		began := time.Now()
		number := c.roll(b)
		c.awaitRoll(number)
		times = append(times, time.Since(began))
	}
	measure.Figure(t, "9 processes: roll in force everywhere, p50", float64(measure.Quantile(times, 0.5).Milliseconds()), "ms")
	measure.Figure(t, "9 processes: roll in force everywhere, longest of 20", float64(measure.Quantile(times, 1).Milliseconds()), "ms")
}

func (c *cell) awaitRoll(number uint64) {
	for _, e := range c.entries {
		for e.readiness().Roll < number {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// directSink waits for the end of one attempt at a time.
type directSink struct{ ended chan struct{} }

func (directSink) Granted(api.Grant)                                     {}
func (directSink) Lost(string, uint64)                                   {}
func (directSink) Released(string, uint64)                               {}
func (directSink) Started(string, uint64, api.AttemptID)                 {}
func (directSink) StartRefused(string, uint64, api.AttemptID, error)     {}
func (s directSink) Ended(string, uint64, api.TaskReport)                { s.ended <- struct{}{} }
func (directSink) Usage(string, uint64, map[api.AttemptID]api.Resources) {}

// measureDirect measures calls to a stand-in worker without an entry process.
func measureDirect(t *testing.T) {
	platform, err := standin.Start(standin.Config{Workers: []standin.WorkerGroup{{Prefix: "worker", Count: 1, Capacity: enquiryShape}}})
	assert.NilError(t, err)
	defer func() { _ = platform.Close() }()
	client := upstream.NewClient(platform.Addresses().Workers["worker-000"])
	defer client.Close()
	held, err := client.Lease(context.Background(), "direct", 3*time.Second, time.Minute)
	assert.NilError(t, err)
	sink := directSink{ended: make(chan struct{}, 1)}
	session := upstream.NewSession(client, upstream.Config{Lease: 3 * time.Second, TaskLease: time.Minute, Renew: time.Second}, held, sink)
	var group conc.WaitGroup
	group.Go(func() { _ = session.Hold(context.Background()) })
	for _, run := range []time.Duration{0, 20 * time.Millisecond} {
		var list []time.Duration
		for i := range 100 {
			j := request(run, 100)
			id := api.AttemptID{Job: fmt.Sprintf("direct.1.%d-%v", i, run), Number: 1}
			began := time.Now()
			session.Start(api.TaskSpec{Attempt: id, Class: "urgent", Kind: j.Kind, Resources: j.Resources, Payload: j.Payload})
			<-sink.ended
			list = append(list, time.Since(began))
			session.Acknowledge([]api.AttemptID{id})
		}
		for _, q := range []float64{0.5, 0.99} {
			measure.Figure(t, fmt.Sprintf("direct call, %v of work: latency p%g", run, 100*q), float64(measure.Quantile(list, q).Microseconds())/1000, "ms")
		}
	}
	session.Release()
	group.Wait()
}
