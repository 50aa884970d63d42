package load

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"
)

// Comparison sets two results against each other. Each ratio is the second value
// over the first; nil if the first is 0 or one side has no such row.
type Comparison struct {
	// Differences name settings that differ, so that the ratios may have other
	// causes than the system.
	Differences []string   `json:"differences"`
	Rows        []RowRatio `json:"rows"`
}

// RowRatio compares one class in one stream.
type RowRatio struct {
	Stream  string  `json:"stream"`
	Class   string  `json:"class"`
	Missing string  `json:"missing,omitempty"` // first or second, if one side has no such row
	Ratios  []Ratio `json:"ratios"`
}

// Ratio compares one figure.
type Ratio struct {
	Figure string   `json:"figure"`
	First  float64  `json:"first"`
	Second float64  `json:"second"`
	Ratio  *float64 `json:"ratio"`
}

// figures are the compared values of a row.
var figures = []struct {
	name  string
	value func(r Row) float64
}{
	{"offered", func(r Row) float64 { return float64(r.Offered) }},
	{"goodput/s", func(r Row) float64 { return r.GoodputPerSecond }},
	{"in time share", func(r Row) float64 { return float64(r.InTime) / float64(max(r.Offered, 1)) }},
	{"wait p50", func(r Row) float64 { return r.WaitMS.P50 }},
	{"wait p99", func(r Row) float64 { return r.WaitMS.P99 }},
	{"wait p99.9", func(r Row) float64 { return r.WaitMS.P999 }},
	{"response p50", func(r Row) float64 { return r.ResponseMS.P50 }},
	{"response p99", func(r Row) float64 { return r.ResponseMS.P99 }},
	{"response p99.9", func(r Row) float64 { return r.ResponseMS.P999 }},
}

// Compare sets two results against each other, row by row.
func Compare(first, second Result) Comparison {
	c := Comparison{Differences: differences(first, second), Rows: []RowRatio{}}
	others := map[rowKey]Row{}
	for _, row := range second.Rows {
		others[rowKey{row.Stream, row.Class}] = row
	}
	for _, row := range first.Rows {
		key := rowKey{row.Stream, row.Class}
		other, ok := others[key]
		if !ok {
			c.Rows = append(c.Rows, RowRatio{Stream: row.Stream, Class: row.Class, Missing: "second"})
			continue
		}
		delete(others, key)
		c.Rows = append(c.Rows, compareRows(row, other))
	}
	for _, row := range second.Rows {
		if _, left := others[rowKey{row.Stream, row.Class}]; left {
			c.Rows = append(c.Rows, RowRatio{Stream: row.Stream, Class: row.Class, Missing: "first"})
		}
	}
	return c
}

func compareRows(first, second Row) RowRatio {
	r := RowRatio{Stream: first.Stream, Class: first.Class}
	for _, f := range figures {
		ratio := Ratio{Figure: f.name, First: f.value(first), Second: f.value(second)}
		if ratio.First != 0 {
			value := ratio.Second / ratio.First
			ratio.Ratio = &value
		}
		r.Ratios = append(r.Ratios, ratio)
	}
	return r
}

func differences(first, second Result) []string {
	list := []string{}
	note := func(name string, a, b any) {
		if a != b {
			list = append(list, fmt.Sprintf("%s: %v and %v", name, a, b))
		}
	}
	a, b := first.Experiment, second.Experiment
	note("name", a.Name, b.Name)
	note("seed", a.Seed, b.Seed)
	note("entries", len(a.Entries), len(b.Entries))
	note("entry_choice", a.EntryChoice, b.EntryChoice)
	note("max_outstanding", a.MaxOutstanding, b.MaxOutstanding)
	note("timeout_ms", a.TimeoutMS, b.TimeoutMS)
	note("interrupted", first.Interrupted, second.Interrupted)
	for _, f := range []struct {
		name string
		a, b any
	}{{"workspaces", a.Workspaces, b.Workspaces}, {"works", a.Works, b.Works}, {"phases", a.Phases, b.Phases}, {"floods", a.Floods, b.Floods}} {
		if !reflect.DeepEqual(f.a, f.b) {
			list = append(list, f.name)
		}
	}
	return list
}

// Print writes the ratios as a table; a dash stands for no ratio.
func (c Comparison) Print(w io.Writer) error {
	for _, d := range c.Differences {
		fmt.Fprintln(w, "settings differ in", d)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := []string{"class", "stream"}
	for _, f := range figures {
		header = append(header, f.name)
	}
	fmt.Fprintln(table, strings.Join(header, "\t")+"\t")
	for _, row := range c.Rows {
		cells := []string{row.Class, row.Stream}
		if row.Missing != "" {
			cells = append(cells, "not in the "+row.Missing+" result")
		}
		for _, r := range row.Ratios {
			cells = append(cells, r.text())
		}
		fmt.Fprintln(table, strings.Join(cells, "\t")+"\t")
	}
	return table.Flush()
}

func (r Ratio) text() string {
	if r.Ratio == nil {
		return "-"
	}
	return fmt.Sprintf("%.3f", *r.Ratio)
}
