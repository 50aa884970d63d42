package load

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"
)

// Comparison compares two results row by row.
type Comparison struct {
	// Differences lists settings of the experiments that differ. Such a difference,
	// and not the system, may then be the cause of a ratio.
	Differences []string   `json:"differences"`
	Rows        []RowRatio `json:"rows"`
}

// RowRatio compares one class in one stream.
type RowRatio struct {
	Stream  string  `json:"stream"`
	Class   string  `json:"class"`
	Missing string  `json:"missing,omitempty"` // first or second, if that result has no such row; Ratios is nil then
	Ratios  []Ratio `json:"ratios"`
}

// Ratio compares one figure. Ratio is Second divided by First, or nil if First is 0.
type Ratio struct {
	Figure string   `json:"figure"`
	First  float64  `json:"first"`
	Second float64  `json:"second"`
	Ratio  *float64 `json:"ratio"`
}

// figures lists the values of a row that are compared.
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

// Compare compares two results row by row. Rows that only the second result has come
// last.
func Compare(first, second Result) Comparison {
	c := Comparison{Differences: differences(first, second), Rows: []RowRatio{}}
	unmatched := map[rowKey]Row{} // rows of second
	for _, row := range second.Rows {
		unmatched[rowKey{row.Stream, row.Class}] = row
	}
	for _, row := range first.Rows {
		key := rowKey{row.Stream, row.Class}
		other, ok := unmatched[key]
		if !ok {
			c.Rows = append(c.Rows, RowRatio{Stream: row.Stream, Class: row.Class, Missing: "second"})
			continue
		}
		delete(unmatched, key)
		c.Rows = append(c.Rows, compareRows(row, other))
	}
	for _, row := range second.Rows {
		if _, ok := unmatched[rowKey{row.Stream, row.Class}]; ok {
			c.Rows = append(c.Rows, RowRatio{Stream: row.Stream, Class: row.Class, Missing: "first"})
		}
	}
	return c
}

// compareRows returns the ratios of two rows of the same class and stream.
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

// differences returns the settings that differ, with both values where they are
// short.
func differences(first, second Result) []string {
	list := []string{}
	compare := func(name string, a, b any) {
		if a != b {
			list = append(list, fmt.Sprintf("%s: %v and %v", name, a, b))
		}
	}
	a, b := first.Experiment, second.Experiment
	compare("name", a.Name, b.Name)
	compare("seed", a.Seed, b.Seed)
	compare("entries", len(a.Entries), len(b.Entries))
	compare("entry_choice", a.EntryChoice, b.EntryChoice)
	compare("max_outstanding", a.MaxOutstanding, b.MaxOutstanding)
	compare("timeout_ms", a.TimeoutMS, b.TimeoutMS)
	compare("interrupted", first.Interrupted, second.Interrupted)
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

// Print writes the ratios as a table, with a dash where there is no ratio.
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

// text formats the ratio for the table.
func (r Ratio) text() string {
	if r.Ratio == nil {
		return "-"
	}
	return fmt.Sprintf("%.3f", *r.Ratio)
}
