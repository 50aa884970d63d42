package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/strictjson"
)

// resultFormat is the version of the JSON form of Result.
const resultFormat = 1

// Result is what the callers of a run observed. Times are in milliseconds.
type Result struct {
	Format  int    `json:"format"`
	Started string `json:"started"` // RFC 3339, UTC
	// Experiment holds the seed and all settings that were used, without tokens.
	Experiment  Experiment `json:"experiment"`
	ElapsedMS   int64      `json:"elapsed_ms"`
	Interrupted bool       `json:"interrupted"`
	Offered     uint64     `json:"offered"`
	NotSent     uint64     `json:"not_sent"` // because max_outstanding was reached
	// HighestOutstanding is the largest number of requests without an answer that
	// counted towards the same limit (see Experiment.MaxOutstanding).
	HighestOutstanding int `json:"highest_outstanding"`
	// SendLagMS is the delay from the intended to the actual send time. If it is not
	// far below the other latencies, the generator was too slow.
	SendLagMS Latency  `json:"send_lag_ms"`
	Rows      []Row    `json:"rows"`
	Wrong     []string `json:"wrong"` // descriptions of the first wrong answers
}

// Row holds the figures of one class in one phase or flood, or in total.
type Row struct {
	Stream   string                 `json:"stream"`
	Class    string                 `json:"class"`
	WindowMS int64                  `json:"window_ms"` // how long the stream sends
	Offered  uint64                 `json:"offered"`
	NotSent  uint64                 `json:"not_sent"`
	Outcomes map[api.Outcome]uint64 `json:"outcomes"`
	Errors   map[string]uint64      `json:"errors"`  // by kind
	Wrong    uint64                 `json:"wrong"`   // wrong answers
	InTime   uint64                 `json:"in_time"` // responses that count as goodput
	// GoodputPerSecond is InTime divided by the window.
	GoodputPerSecond float64 `json:"goodput_per_second"`
	// WaitMS is the time from the intended send time to the start of requests that
	// ran, without the network time to the entry process.
	WaitMS Latency `json:"wait_ms"`
	// ResponseMS is the time from the intended send time to the complete answer, for
	// requests that ran or were accepted. RefusalMS is the same for requests that did
	// not run.
	ResponseMS Latency `json:"response_ms"`
	RefusalMS  Latency `json:"refusal_ms"`
}

// Latency summarizes a latency histogram, in milliseconds.
type Latency struct {
	Count uint64  `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99_9"`
	Max   float64 `json:"max"`
}

// LoadResult reads a result in JSON from the file at path. The error holds one
// *fault.Error of kind Invalid for each problem.
func LoadResult(path string) (Result, error) {
	data, err := readFile(path)
	if err != nil {
		return Result{}, err
	}
	r, problems := strictjson.Decode(data, func(r *Result) strictjson.Problems {
		var p strictjson.Problems
		if r.Format != resultFormat {
			p.Add("format", fmt.Sprintf("is %d", r.Format), fmt.Sprintf("give a result of format %d", resultFormat))
		}
		return p
	})
	return r, problems.Err()
}

// FailureReason returns why the checks of the run failed, or "" if they passed. With
// strict, an unknown outcome is a failure too.
func (r *Result) FailureReason(strict bool) string {
	wrong, unknown := uint64(0), uint64(0)
	for _, row := range r.Rows {
		if row.Stream == totalName {
			wrong += row.Wrong
			unknown += row.Outcomes[api.OutcomeUnknown]
		}
	}
	var reasons []string
	if wrong > 0 {
		reasons = append(reasons, fmt.Sprintf("%d wrong answers", wrong))
	}
	if strict && unknown > 0 {
		reasons = append(reasons, fmt.Sprintf("%d unknown outcomes", unknown))
	}
	return strings.Join(reasons, ", ")
}

// outcomes lists the outcomes that have a column in the table.
var outcomes = []api.Outcome{api.OutcomeCompleted, api.OutcomeAccepted, api.OutcomeFailed, api.OutcomeNotRun, api.OutcomeUnknown}

// Print writes the result as a table. Times are in milliseconds.
func (r *Result) Print(w io.Writer) error {
	fmt.Fprintf(w, "experiment=%q seed=%d elapsed_ms=%d interrupted=%t offered=%d not_sent=%d highest_outstanding=%d send_lag_p99_ms=%.3f\n",
		r.Experiment.Name, r.Experiment.Seed, r.ElapsedMS, r.Interrupted, r.Offered, r.NotSent, r.HighestOutstanding, r.SendLagMS.P99)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tstream\toffered\tnot sent\tcompleted\taccepted\tfailed\tnot run\tunknown\twrong\tin time\tgoodput/s\twait p50\tp99\tp99.9\tresponse p50\tp99\tp99.9\tmax\t")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t", row.Class, row.Stream, row.Offered, row.NotSent)
		for _, o := range outcomes {
			fmt.Fprintf(table, "%d\t", row.Outcomes[o])
		}
		fmt.Fprintf(table, "%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", row.Wrong, row.InTime, row.GoodputPerSecond,
			row.WaitMS.P50, row.WaitMS.P99, row.WaitMS.P999,
			row.ResponseMS.P50, row.ResponseMS.P99, row.ResponseMS.P999, row.ResponseMS.Max)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.printErrors(w)
}

// printErrors writes the error counts and the wrong answers.
func (r *Result) printErrors(w io.Writer) error {
	for _, row := range r.Rows {
		if row.Stream != totalName {
			continue
		}
		for _, kind := range slices.Sorted(maps.Keys(row.Errors)) {
			fmt.Fprintf(w, "error class=%s kind=%s count=%d\n", row.Class, kind, row.Errors[kind])
		}
	}
	for _, wrong := range r.Wrong {
		if _, err := fmt.Fprintf(w, "wrong answer: %s\n", wrong); err != nil {
			return err
		}
	}
	return nil
}
