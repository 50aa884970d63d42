package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// reservoirSize and reservoirBias are the parameters of histogram samples. They give
// most weight to about the last five minutes.
const (
	reservoirSize = 1028
	reservoirBias = 0.015
)

// meters are the counters, gauges and latency metrics of a process.
type meters struct {
	registry                metrics.Registry
	submit, status, permits metrics.Timer
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		registry: r,
		submit:   metrics.GetOrRegisterTimer("submit", r),
		status:   metrics.GetOrRegisterTimer("status", r),
		permits:  metrics.GetOrRegisterTimer("permits", r),
	}
}

// record counts an event and, if its age is a latency, adds it to a histogram.
func (m *meters) record(e cell.LogEvent) {
	m.count(string(e.Event))
	switch e.Event {
	case cell.EventJobCompleted:
		m.sample("job_ms", e.AgeMS)
	case cell.EventStepPlaced, cell.EventStepPlacedLate:
		m.sample("step_wait_ms", e.AgeMS)
	}
}

func (m *meters) count(name string) {
	metrics.GetOrRegisterCounter("events."+name, m.registry).Inc(1)
}

func (m *meters) sample(name string, ms int64) {
	histogram := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirBias))
	})
	histogram.(metrics.Histogram).Update(ms)
}

// setGauges sets the gauges for the state of a held cell.
func (m *meters) setGauges(s cell.Summary) {
	for name, value := range map[string]int{
		"cell.jobs": s.Jobs, "cell.waiting": s.Waiting, "cell.late": s.Late, "cell.attempts": s.Attempts,
		"cell.workers": s.Workers, "cell.usable": s.Usable, "cell.probation": s.Probation, "cell.calls": s.Calls, "cell.limited": s.Limited,
		"cell.free_cpu_milli": int(s.FreeCPUMilli),
	} {
		metrics.GetOrRegisterGauge(name, m.registry).Update(int64(value))
	}
}

// recordSince records the time since start.
func recordSince(timer metrics.Timer, start time.Time) { timer.UpdateSince(start) }
