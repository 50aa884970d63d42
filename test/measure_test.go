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
	// settleDuration lets the processes that started first hand workers over to
	// those that started later.
	settleDuration = 6 * time.Second
	idleDuration   = 5 * time.Second
	loadDuration   = 4 * time.Second
	loadSeed       = 5
	// entryCPUs is the number of CPUs of a small entry VM. With all CPUs of a
	// large machine, the scheduler of the Go runtime uses more time in an idle
	// process.
	entryCPUs = 2
)

// enquiryCapacity is the worker capacity of the enquiry-desk example.
var enquiryCapacity = api.Resources{CPUMilli: 16000, MemoryMB: 32000, Slots: 8, Connections: 60}

// domainOf returns the failure domain of an entry process, by the last digit of its
// name.
func (c *cell) domainOf(name string) string {
	number := int(name[len(name)-1] - '0')
	if c.domains > 0 {
		number %= c.domains
	}
	return string(rune('a' + number))
}

// usage sums the resource usage and the counters of all entry processes.
type usage struct {
	cpu                        time.Duration
	written, read              float64 // bytes written and read on all sockets and files
	linkBytes, linkMessages    float64 // sent to peers; linkMessages excludes heartbeats
	resident, largestResident  float64 // bytes
	tasks, processes, appended float64
}

// usage reads the present usage of all entry processes.
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
	for _, e := range c.entries { // after the readings, because a dump uses CPU time
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

// report writes figures between two readings: means per process and second, and the
// cost per started task if any task was started.
func (c *cell) report(label string, before, after usage, elapsed time.Duration) {
	per := after.processes * elapsed.Seconds()
	measure.Report(c.t, label+"processor time", float64((after.cpu-before.cpu).Milliseconds())/per, "ms/s per process")
	measure.Report(c.t, label+"written to sockets and the log file", (after.written-before.written)/per, "bytes/s per process")
	measure.Report(c.t, label+"read from sockets", (after.read-before.read)/per, "bytes/s per process")
	measure.Report(c.t, label+"sent on links", (after.linkBytes-before.linkBytes)/per, "bytes/s per process")
	measure.Report(c.t, label+"messages on links", (after.linkMessages-before.linkMessages)/per, "messages/s per process")
	measure.Report(c.t, label+"resident memory, mean", after.resident/after.processes/(1<<20), "MiB")
	starts := after.tasks - before.tasks
	if starts == 0 {
		return
	}
	measure.Report(c.t, label+"starts reached", starts/elapsed.Seconds(), "1/s")
	measure.Report(c.t, label+"processor time per start, whole cell", float64((after.cpu-before.cpu).Microseconds())/starts, "us")
	measure.Report(c.t, label+"written per start, whole cell", (after.written-before.written)/starts, "bytes")
	measure.Report(c.t, label+"link messages per start", (after.linkMessages-before.linkMessages)/starts, "messages")
}

// latencies collects the times from submission to the answer of completed requests,
// and counts the others.
type latencies struct {
	mu     sync.Mutex // guards list
	list   []time.Duration
	failed int
}

func (l *latencies) record(d time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failed++
		return
	}
	l.list = append(l.list, d)
}

// reportLatency writes the quantiles of the latency and the number of failures.
func (c *cell) reportLatency(label string, l *latencies) {
	for _, q := range []float64{0.5, 0.99, 0.999} {
		measure.Report(c.t, fmt.Sprintf("%slatency p%g", label, 100*q), float64(measure.Quantile(l.list, q).Microseconds())/1000, "ms")
	}
	measure.Report(c.t, label+"failed", float64(l.failed), "requests")
}

// sendAtRate sends requests as an open-loop Poisson process at rate per second.
// Latency counts from the time at which a request was due, so that a slow cell cannot
// hide its delays by slowing the sender down.
func (c *cell) sendAtRate(rate float64, run time.Duration) *latencies {
	l := &latencies{}
	rng := rand.New(rand.NewPCG(loadSeed, uint64(rate)))
	var group conc.WaitGroup
	names := sortedNames(c.entries)
	due, end := time.Now(), time.Now().Add(loadDuration)
	for i := 0; due.Before(end); i++ {
		time.Sleep(time.Until(due))
		client, began := c.measureClients[names[i%len(names)]], due
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			answer := client.Submit(ctx, request(run, 100))
			l.record(time.Since(began), answer.Outcome == api.OutcomeCompleted)
		})
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
	}
	group.Wait()
	return l
}

// saturate runs the given number of closed-loop callers at each entry process.
func (c *cell) saturate(callers int) *latencies {
	l := &latencies{}
	var group conc.WaitGroup
	end := time.Now().Add(loadDuration)
	for _, name := range sortedNames(c.entries) {
		for range callers {
			group.Go(func() {
				for time.Now().Before(end) {
					began := time.Now()
					answer := c.measureClients[name].Submit(context.Background(), request(0, 100))
					l.record(time.Since(began), answer.Outcome == api.OutcomeCompleted)
				}
			})
		}
	}
	group.Wait()
	return l
}

// measuredBundle returns a bundle with long queues and without preemption.
func measuredBundle() bundle.Bundle {
	b := testBundle()
	b.Classes = []bundle.Class{{Name: "urgent", Rank: 1, Ceiling: 1, QueueBound: 5000, DeadlineMS: 10000, RetryBudget: 0.1, MaxAttempts: 2},
		{Name: "bulk", Rank: 5, Ceiling: 1, QueueBound: 5000, RetryBudget: 0.1, MaxAttempts: 2}}
	return b
}

// startMeasuredCell starts a cell with workers of enquiryCapacity and entry processes
// in three failure domains, and a client for each entry process.
func startMeasuredCell(t *testing.T, entries, workers int, b bundle.Bundle) *cell {
	o := defaultOptions()
	o.entries, o.workers, o.capacity, o.domains = entries, workers, enquiryCapacity, 3
	o.maxProcs = entryCPUs
	c := newCell(t, o)
	for i := range o.entries {
		c.startEntry(entryName(i))
	}
	c.roll(b)
	c.awaitReady()
	c.awaitHeld(o.workers)
	for name := range c.entries {
		c.measureClients[name] = c.client(name)
	}
	return c
}

func sortedNames(entries map[string]*entry) []string {
	return slices.Sorted(maps.Keys(entries))
}

// TestMeasureProcesses measures idle and loaded entry processes with measuredWorkers
// workers, and calls to a worker without an entry process for comparison.
func TestMeasureProcesses(t *testing.T) {
	measure.SkipUnlessEnabled(t)
	for _, entries := range []int{3, 6, 9} {
		c := startMeasuredCell(t, entries, measuredWorkers, measuredBundle())
		label := fmt.Sprintf("%d processes, ", entries)
		time.Sleep(settleDuration)
		before, began := c.usage(), time.Now()
		time.Sleep(idleDuration)
		c.report(label+"at rest: ", before, c.usage(), time.Since(began))
		for _, rate := range []float64{50, 200, 600} {
			before, began = c.usage(), time.Now()
			l := c.sendAtRate(rate, 20*time.Millisecond)
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

// TestMeasureRest measures the idle cost of a held worker, as the slope of the cost of
// three processes over the number of their workers.
func TestMeasureRest(t *testing.T) {
	measure.SkipUnlessEnabled(t)
	for _, renew := range []int64{1000, 5000} {
		measureIdleWorkers(t, renew)
	}
}

// measureIdleWorkers measures the idle cost of a held worker whose lease is renewed
// every renew milliseconds and lasts three times as long.
func measureIdleWorkers(t *testing.T, renew int64) {
	var held, cpu, written, read, resident []float64
	for _, workers := range []int{30, 150, 300} {
		b := measuredBundle()
		b.Timing.LeaseRenewMS, b.Timing.WorkerLeaseMS = renew, 3*renew
		c := startMeasuredCell(t, 3, workers, b)
		time.Sleep(settleDuration)
		before, began := c.usage(), time.Now()
		time.Sleep(2 * idleDuration)
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
	measure.Report(t, label+"processor time", measure.Slope(held, cpu), "us/s")
	measure.Report(t, label+"written", measure.Slope(held, written), "bytes/s")
	measure.Report(t, label+"read", measure.Slope(held, read), "bytes/s")
	measure.Report(t, label+"resident memory", measure.Slope(held, resident), "bytes")
}

// TestMeasureRollTime measures the time from the append of a roll until it is in
// force at nine processes.
func TestMeasureRollTime(t *testing.T) {
	measure.SkipUnlessEnabled(t)
	c := startMeasuredCell(t, 9, measuredWorkers, measuredBundle())
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
	measure.Report(t, "9 processes: roll in force everywhere, p50", float64(measure.Quantile(times, 0.5).Milliseconds()), "ms")
	measure.Report(t, "9 processes: roll in force everywhere, longest of 20", float64(measure.Quantile(times, 1).Milliseconds()), "ms")
}

// awaitRoll waits until a roll is in force at every entry process.
func (c *cell) awaitRoll(number uint64) {
	for _, e := range c.entries {
		for e.readiness().Roll < number {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// directSink receives the events of a session and signals the end of each attempt.
type directSink struct{ ended chan struct{} }

func (directSink) Granted(api.Grant)                                     {}
func (directSink) Lost(string, uint64)                                   {}
func (directSink) Released(string, uint64)                               {}
func (directSink) Started(string, uint64, api.AttemptID)                 {}
func (directSink) StartRefused(string, uint64, api.AttemptID, error)     {}
func (s directSink) Ended(string, uint64, api.TaskReport)                { s.ended <- struct{}{} }
func (directSink) Usage(string, uint64, map[api.AttemptID]api.Resources) {}

// measureDirect measures the latency of tasks on a stand-in worker without an entry
// process.
func measureDirect(t *testing.T) {
	platform, err := standin.Start(standin.Config{Workers: []standin.WorkerGroup{{Prefix: "worker", Count: 1, Capacity: enquiryCapacity}}})
	assert.NilError(t, err)
	defer func() { _ = platform.Close() }()
	client := upstream.NewClient(platform.Addresses().Workers["worker-000"])
	defer client.Close()
	granted, err := client.Lease(context.Background(), "direct", 3*time.Second, time.Minute)
	assert.NilError(t, err)
	sink := directSink{ended: make(chan struct{}, 1)}
	session := upstream.NewSession(client, upstream.Config{Lease: 3 * time.Second, TaskLease: time.Minute, RenewInterval: time.Second}, granted, sink)
	var group conc.WaitGroup
	group.Go(func() { _ = session.Run(context.Background()) })
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
			measure.Report(t, fmt.Sprintf("direct call, %v of work: latency p%g", run, 100*q), float64(measure.Quantile(list, q).Microseconds())/1000, "ms")
		}
	}
	session.Release()
	group.Wait()
}
