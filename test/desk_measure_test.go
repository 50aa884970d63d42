package test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/load"
	"github.com/fulmarlatch/fulmarlatch/internal/measure"
)

const (
	deskEntries = 8
	// deskScaleDown divides the phase durations and answer sizes of the example
	// experiments, because one machine runs callers, entry processes and workers.
	deskScaleDown = 3
	// deskFloodFactor multiplies the request rates of the floods for the same reason.
	deskFloodFactor = 0.4
)

// TestMeasureDesks runs both example experiments, each with its own bundle and
// worker capacity, through eight entry processes.
func TestMeasureDesks(t *testing.T) {
	measure.Start(t)
	for _, desk := range []struct {
		name     string
		capacity api.Resources
	}{
		{"order-desk", api.Resources{CPUMilli: 64000, MemoryMB: 128 << 10, Slots: 8, Connections: 60}},
		{"enquiry-desk", api.Resources{CPUMilli: 16000, MemoryMB: 32 << 10, Slots: 8, Connections: 60}},
	} {
		o := cellOptions{entries: deskEntries, workers: measuredWorkers, capacity: desk.capacity}
		c := newCell(t, o)
		for i := range o.entries {
			c.startEntry(entryName(i))
		}
		c.roll(deskBundle(t, desk.name))
		c.awaitReady()
		c.awaitHeld(o.workers)
		result := c.runExperiment(desk.name)
		reportDesk(t, desk.name, result)
		assert.Equal(t, result.Failed(false), "")
		for _, row := range result.Rows {
			assert.Assert(t, row.InTime > 0, "%s, %s, %s: no request completed in time", desk.name, row.Stream, row.Class)
		}
		c.checkWorkers()
		c.close()
		c.entries = nil
	}
}

// deskBundle returns an example bundle, changed to admit callers without tokens.
func deskBundle(t *testing.T, name string) bundle.Bundle {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", name, "bundle.json"))
	assert.NilError(t, err)
	b, err := bundle.Parse(data)
	assert.NilError(t, err)
	for i := range b.Workspaces {
		b.Workspaces[i].TokenHash = ""
	}
	return b
}

// runExperiment runs an example experiment, scaled down.
func (c *cell) runExperiment(name string) load.Result {
	c.t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", "load", name+".json"))
	assert.NilError(c.t, err)
	e, err := load.Parse(data)
	assert.NilError(c.t, err)
	e.Entries = nil
	for _, entry := range sortedNames(c.entries) {
		e.Entries = append(e.Entries, "http://"+c.entries[entry].address.Caller)
	}
	for i := range e.Phases {
		e.Phases[i].DurationMS /= deskScaleDown
	}
	for i := range e.Floods {
		e.Floods[i].StartMS /= deskScaleDown
		e.Floods[i].DurationMS /= deskScaleDown
		e.Floods[i].Rate *= deskFloodFactor
	}
	for name, work := range e.Works {
		shrinkAnswers(&work)
		e.Works[name] = work
	}
	return load.Run(context.Background(), &e, load.NewSchedule(&e), load.DialHTTP)
}

// shrinkAnswers divides the answer sizes of w by deskScaleDown.
func shrinkAnswers(w *load.Work) {
	d := &w.AnswerBytes
	for _, amount := range []*float64{&d.Value, &d.Min, &d.Max, &d.Median} {
		*amount /= deskScaleDown
	}
}

// reportDesk writes the callers' results by class for each phase and flood.
func reportDesk(t *testing.T, desk string, r load.Result) {
	t.Helper()
	for _, row := range r.Rows {
		label := fmt.Sprintf("%s, %s, %s: ", strings.TrimSuffix(desk, "-desk"), row.Stream, row.Class)
		measure.Figure(t, label+"offered", float64(row.Offered), "requests")
		if row.Offered > 0 {
			measure.Figure(t, label+"completed in time", 100*float64(row.InTime)/float64(row.Offered), "%")
		}
		measure.Figure(t, label+"wait p50", row.WaitMS.P50, "ms")
		measure.Figure(t, label+"wait p99.9", row.WaitMS.P999, "ms")
		outcomes, err := json.Marshal(row.Outcomes)
		assert.NilError(t, err)
		errors, err := json.Marshal(row.Errors)
		assert.NilError(t, err)
		t.Logf("%s%s %s", label, outcomes, errors)
	}
}
