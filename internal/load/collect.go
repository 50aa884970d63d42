package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

const (
	// The histograms count microseconds up to a day with three digits.
	leastLatency  = time.Microsecond
	mostLatency   = 24 * time.Hour
	latencyDigits = 3
	// maxWrongShown bounds the descriptions of wrong answers in a result.
	maxWrongShown = 20
	// totalName is the stream under which a class is counted over all streams.
	totalName = "total"
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(mostLatency/leastLatency), latencyDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d, leastLatency), mostLatency)
	_ = h.RecordValue(int64(value / leastLatency)) // always in range
}

// latency returns the quantiles of h in milliseconds.
func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(value float64) float64 { return value * float64(leastLatency) / float64(time.Millisecond) }
	at := func(quantile float64) float64 { return ms(float64(h.ValueAtQuantile(quantile))) }
	return Latency{
		Count: uint64(h.TotalCount()),
		Mean:  ms(h.Mean()),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   ms(float64(h.Max())),
	}
}

type rowKey struct{ stream, class string }

// counts is the row of one class in one stream.
type counts struct {
	offered, notSent, wrong, inTime uint64
	outcomes                        map[api.Outcome]uint64
	errors                          map[string]uint64
	wait, response, refusal         *hdrhistogram.Histogram
}

func newCounts() *counts {
	return &counts{outcomes: map[api.Outcome]uint64{}, errors: map[string]uint64{},
		wait: newHistogram(), response: newHistogram(), refusal: newHistogram()}
}

func (c *counts) add(s sample) {
	c.offered++
	c.outcomes[s.outcome]++
	for _, kind := range s.errors {
		c.errors[kind]++
	}
	if s.inTime {
		c.inTime++
	}
	if s.wrong != "" {
		c.wrong++
	}
	switch s.outcome {
	case api.OutcomeCompleted, api.OutcomeFailed:
		record(c.wait, s.wait)
		record(c.response, s.response)
	case api.OutcomeAccepted:
		record(c.response, s.response)
	case api.OutcomeNotRun:
		record(c.refusal, s.response)
	}
}

// collector gathers samples from all goroutines of a run.
type collector struct {
	experiment *Experiment
	mu         sync.Mutex // guards all below
	rows       map[rowKey]*counts
	lag        *hdrhistogram.Histogram
	highest    int // of outstanding requests
	wrong      []string
}

func newCollector(e *Experiment) *collector {
	return &collector{experiment: e, rows: map[rowKey]*counts{}, lag: newHistogram(), wrong: []string{}}
}

func (c *collector) sending(outstanding int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highest = max(c.highest, outstanding)
}

func (c *collector) notSent(a Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range c.of(a.Stream, c.experiment.Works[a.Work].Class) {
		row.offered++
		row.notSent++
	}
}

func (c *collector) add(s sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record(c.lag, s.lag)
	for _, row := range c.of(s.arrival.Stream, s.class) {
		row.add(s)
	}
	if s.wrong != "" && len(c.wrong) < maxWrongShown {
		c.wrong = append(c.wrong, s.wrong)
	}
}

// of returns the rows of a class in a stream and in total.
func (c *collector) of(stream, class string) [2]*counts {
	return [2]*counts{c.row(rowKey{stream, class}), c.row(rowKey{totalName, class})}
}

func (c *collector) row(key rowKey) *counts {
	if c.rows[key] == nil {
		c.rows[key] = newCounts()
	}
	return c.rows[key]
}

func (c *collector) result() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Result{Format: resultFormat, Experiment: c.experiment.withoutTokens(),
		HighestOutstanding: c.highest, SendLagMS: latency(c.lag), Rows: []Row{}, Wrong: c.wrong}
	windows := c.experiment.windows()
	for key, row := range c.rows {
		r.Rows = append(r.Rows, row.row(key, windows[key.stream]))
		if key.stream == totalName {
			r.Offered += row.offered
			r.NotSent += row.notSent
		}
	}
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Stream, b.Stream))
	})
	return r
}

func (c *counts) row(key rowKey, window time.Duration) Row {
	return Row{
		Stream:           key.stream,
		Class:            key.class,
		WindowMS:         window.Milliseconds(),
		Offered:          c.offered,
		NotSent:          c.notSent,
		Outcomes:         c.outcomes,
		Errors:           c.errors,
		Wrong:            c.wrong,
		InTime:           c.inTime,
		GoodputPerSecond: float64(c.inTime) / window.Seconds(),
		WaitMS:           latency(c.wait),
		ResponseMS:       latency(c.response),
		RefusalMS:        latency(c.refusal),
	}
}

// windows returns the time in which each stream sends.
func (e *Experiment) windows() map[string]time.Duration {
	windows := map[string]time.Duration{totalName: e.Duration()}
	for _, p := range e.Phases {
		windows[p.Name] = milliseconds(p.DurationMS)
	}
	for _, f := range e.Floods {
		windows[f.Name] = milliseconds(f.DurationMS)
	}
	return windows
}
