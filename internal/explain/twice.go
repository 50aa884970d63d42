package explain

import (
	"fmt"
	"strings"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// workerEvents say what a holder knows of the runs of a worker that it has not heard of all
// the time.
var workerEvents = map[string]bool{
	string(cell.EventWorkerReconciled):   true,
	string(cell.EventListingDropped):     true,
	string(cell.EventWorkerLeaseExpired): true,
	string(cell.EventWorkerRestarted):    true,
}

// orderedRun is a run that a holder has ordered a worker to start.
type orderedRun struct {
	task, run, worker string
	line              int // index of the line that names the order
}

// namedRuns returns the runs that the line of an order names.
func (l *Line) namedRuns() []orderedRun {
	var runs []orderedRun
	for order := range strings.SplitSeq(l.Fields["runs"], ",") {
		index, rest, _ := strings.Cut(order, ":")
		run, worker, _ := strings.Cut(rest, "@")
		runs = append(runs, orderedRun{task: l.Fields["task"] + "." + index, run: run, worker: worker})
	}
	return runs
}

// orderedRuns returns the runs that the lines of starts name, in order.
func orderedRuns(lines []Line) []orderedRun {
	var runs []orderedRun
	for i := range lines {
		if !lines[i].isStart() {
			continue
		}
		for _, r := range lines[i].namedRuns() {
			r.line = i
			runs = append(runs, r)
		}
	}
	return runs
}

// restart is a task that a holder has started although no line before shows the end of the run
// that another holder had started.
type restart struct {
	first, second orderedRun
	sign          string // line that shows that the first run had not been lost; empty if none does
}

// startedTwice describes one of the tasks that were started again by another holder, or returns
// an empty string. certain reports whether a line shows that the first run had not been lost.
func startedTwice(lines []Line) (text string, certain bool) {
	latest := map[string]orderedRun{}
	var signed, unsigned []restart
	for _, second := range orderedRuns(lines) {
		first, ok := latest[second.task]
		latest[second.task] = second
		if !ok || lines[first.line].token() == lines[second.line].token() || hasEnded(lines, first, second.line) {
			continue
		}
		r := restart{first, second, signOfRun(lines, first, second)}
		if r.sign != "" {
			signed = append(signed, r)
		} else {
			unsigned = append(unsigned, r)
		}
	}
	switch {
	case len(signed) > 0:
		return fmt.Sprintf("started twice: %d runs, one of them of %s", len(signed), signed[0].describe(lines)), true
	case len(unsigned) > 0:
		return fmt.Sprintf("started again after a takeover: %d runs, one of them of %s", len(unsigned), unsigned[0].describe(lines)), false
	}
	return "", false
}

// names reports whether the line reports the event for the run.
func (l *Line) names(event cell.Event, r orderedRun) bool {
	return l.Fields["event"] == string(event) && l.Fields["task"] == r.task && l.Fields["run"] == r.run
}

// hasEnded reports whether one of the lines before the given one shows that a run has ended, or
// any line that it has not begun.
func hasEnded(lines []Line, r orderedRun, before int) bool {
	for i := range lines {
		l := &lines[i]
		if i < before && (l.names(cell.EventRunFailed, r) || l.names(cell.EventRunLost, r)) ||
			l.names(cell.EventStartRefused, r) && l.Fields["detail"] != cell.StartUnanswered.String() {
			return true
		}
	}
	return false
}

// signOfRun describes the line in which the second run's holder, after it ordered that run, stops
// the first one, learns of its end, or stops the second one because the first one is done.
func signOfRun(lines []Line, first, second orderedRun) string {
	for _, l := range lines[second.line+1:] {
		if l.token() != lines[second.line].token() {
			continue
		}
		if l.names(cell.EventRunLost, first) || l.names(cell.EventRunFailed, first) {
			return fmt.Sprintf("%s of run %s at %s", l.Fields["event"], first.run, l.Time)
		}
		if l.Fields["event"] != "stops_ordered" {
			continue
		}
		reason := l.Fields["reason"]
		for _, stopped := range l.namedRuns() {
			if stopped.task == first.task && (stopped.run == first.run || stopped.run == second.run && reason == "copy_done") {
				return fmt.Sprintf("stops_ordered of run %s (%s) at %s", stopped.run, reason, l.Time)
			}
		}
	}
	return ""
}

// describe names both runs of the task, the takeover of the second one's holder, and what that
// holder had logged of the first one's worker.
func (r *restart) describe(lines []Line) string {
	holder := lines[r.second.line].Fields["entry"]
	takeover, known := "", ""
	if lines[r.second.line].token() < lines[r.first.line].token() {
		takeover = ", a former holder"
	}
	for _, l := range lines[:r.second.line] {
		if l.Fields["entry"] != holder || l.token() != lines[r.second.line].token() {
			continue
		}
		switch event := l.Fields["event"]; {
		case event == "claim_made" && takeover == "":
			takeover = ", which had taken over at " + l.Time
		case workerEvents[event] && l.Fields["worker"] == r.first.worker:
			known += strings.TrimRight(", "+event+" "+l.Fields["detail"], " ") + " at " + l.Time
		}
	}
	if known == "" {
		known = ", nothing (it logs no worker that lists its tasks within 1 s of the takeover)"
	}
	text := fmt.Sprintf("%s as %s, then as %s%s; %s had logged of %s: %s",
		r.first.task, r.first.describe(lines), r.second.describe(lines), takeover, holder, r.first.worker, known[2:])
	if r.sign != "" {
		text += "; later " + r.sign
	}
	return text
}

func (r *orderedRun) describe(lines []Line) string {
	l := &lines[r.line]
	return fmt.Sprintf("run %s on %s by %s (token %s) at %s", r.run, r.worker, l.Fields["entry"], l.Fields["token"], l.Time)
}
