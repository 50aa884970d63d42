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
	// The histograms record microseconds up to a day with three significant digits.
	minLatency    = time.Microsecond
	maxLatency    = 24 * time.Hour
	latencyDigits = 3
	// maxWrongShown is the maximum number of wrong answers that a result describes.
	maxWrongShown = 20
	// totalName is the stream name of a class's row over all streams.
	totalName = "total"
)

// newHistogram returns a histogram in units of minLatency.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/minLatency), latencyDigits)
}

// record adds d, limited to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d, minLatency), maxLatency)
	_ = h.RecordValue(int64(value / minLatency)) // value is in range
}

// latency returns the summary of h in milliseconds.
func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(value float64) float64 { return value * float64(minLatency) / float64(time.Millisecond) }
	quantile := func(percent float64) float64 { return ms(float64(h.ValueAtQuantile(percent))) }
	return Latency{
		Count: uint64(h.TotalCount()),
		Mean:  ms(h.Mean()),
		P50:   quantile(50),
		P90:   quantile(90),
		P99:   quantile(99),
		P999:  quantile(99.9),
		Max:   ms(float64(h.Max())),
	}
}

// rowKey identifies a row of the result.
type rowKey struct{ stream, class string }

// counts accumulates the samples of one class in one stream.
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

// add adds a sample. The outcome decides which latencies it counts towards.
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

// collector collects the samples of a run from all its goroutines.
type collector struct {
	experiment         *Experiment
	mu                 sync.Mutex // guards the fields below
	rows               map[rowKey]*counts
	lag                *hdrhistogram.Histogram // from intended to actual send times
	highestOutstanding int                     // largest number of requests without an answer
	wrong              []string                // descriptions of the first wrong answers
}

func newCollector(e *Experiment) *collector {
	return &collector{experiment: e, rows: map[rowKey]*counts{}, lag: newHistogram(), wrong: []string{}}
}

// recordOutstanding updates the largest number of requests without an answer.
func (c *collector) recordOutstanding(outstanding int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highestOutstanding = max(c.highestOutstanding, outstanding)
}

// addNotSent counts an arrival that was not sent because too many requests were
// outstanding.
func (c *collector) addNotSent(a Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range c.rowsFor(a.Stream, c.experiment.Works[a.Work].Class) {
		row.offered++
		row.notSent++
	}
}

// add adds the sample of an answered request.
func (c *collector) add(s sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record(c.lag, s.lag)
	for _, row := range c.rowsFor(s.arrival.Stream, s.class) {
		row.add(s)
	}
	if s.wrong != "" && len(c.wrong) < maxWrongShown {
		c.wrong = append(c.wrong, s.wrong)
	}
}

// rowsFor returns the rows of a class in a stream and in total. c.mu must be held.
func (c *collector) rowsFor(stream, class string) [2]*counts {
	return [2]*counts{c.row(rowKey{stream, class}), c.row(rowKey{totalName, class})}
}

// row returns the row of a key and creates it if needed. c.mu must be held.
func (c *collector) row(key rowKey) *counts {
	if c.rows[key] == nil {
		c.rows[key] = newCounts()
	}
	return c.rows[key]
}

// result returns the result of all samples. The caller sets the times.
func (c *collector) result() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Result{Format: resultFormat, Experiment: c.experiment.withoutTokens(),
		HighestOutstanding: c.highestOutstanding, SendLagMS: latency(c.lag), Rows: []Row{}, Wrong: c.wrong}
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

// row returns the counts as a row of the result.
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

// windows returns how long each stream sends, by name, and the whole duration under
// totalName.
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
