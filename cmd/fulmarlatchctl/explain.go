package main

import (
	"fmt"
	"io"
	"os"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/explain"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// explainCmd implements the explain command.
type explainCmd struct {
	Job string   `arg:"" help:"ID of the job."`
	Log []string `arg:"" optional:"" type:"existingfile" help:"Files with the logs of entry processes; standard input if there are none."`
}

// Run prints the events of the job in time order, then the cause of its outcome.
func (c *explainCmd) Run(t *tool) error {
	logs := []io.Reader{os.Stdin}
	if len(c.Log) > 0 {
		logs = nil
	}
	for _, name := range c.Log {
		f, err := os.Open(name)
		if err != nil {
			return fault.Wrap(fault.Invalid, err, "a log file cannot be opened", "give the paths of readable files")
		}
		defer func() { _ = f.Close() }() // read only
		logs = append(logs, f)
	}
	r, err := explain.Read(c.Job, logs...)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "a log file cannot be read", "check that the files are logs of entry processes")
	}
	for _, line := range r.Lines {
		fmt.Fprintln(t.out, line.Text)
	}
	_, err = fmt.Fprintln(t.out, "cause:", r.Cause)
	return err
}

// eventsCmd implements the events command.
type eventsCmd struct{}

// Run prints the events of the cell scheduler and their meanings as a Markdown
// table.
func (eventsCmd) Run(t *tool) error {
	fmt.Fprintln(t.out, "| event | meaning | `age_ms` | `detail` |\n|---|---|---|---|")
	for _, e := range cell.Events {
		fmt.Fprintf(t.out, "| `%s` | %s | %s | %s |\n", e.Event, e.Meaning, e.Age, e.Detail)
	}
	return nil
}
