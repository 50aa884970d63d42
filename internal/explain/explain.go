// Package explain reconstructs the history of one job from the logs of entry
// processes, and names the main cause of its outcome. Command fulmarlatchctl calls
// it. It keeps no state and starts no goroutines.
//
// Log lines are key=value pairs, as package logging writes them. The package
// imports cell for the names of events.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// Line is a line of a log.
type Line struct {
	Time   string            // value of ts, which sorts in order of time
	Fields map[string]string // by key
	Text   string            // from the first pair on
}

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Report is the history of a job.
type Report struct {
	// Lines are the lines about the job, and those of context events and of its workers
	// between the first and the last of them, in order of time.
	Lines []Line
	Cause string // main cause of the job's outcome, as text
}

// Read reports on the job with the given ID from the logs of several processes. It
// returns an error if a log cannot be read or has a line of more than 1 MiB.
func Read(job string, logs ...io.Reader) (Report, error) {
	var lines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			line, ok := parse(scanner.Text())
			event := line.Fields["event"]
			if ok && (line.isAbout(job) || contextEvents[event] || workerEvents[event]) {
				lines = append(lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return Report{}, err
		}
	}
	return report(job, lines), nil
}

// contextEvents are events that concern all jobs of a cell or process. Those in the
// lifetime of the job are reported with it.
var contextEvents = map[string]bool{
	"log_lost": true, "log_regained": true, "claim_made": true, "holder_lost": true, "holder_ended": true,
	"holder_too_slow": true, "holder_yields": true, "panic": true, "holder_without_log": true, "stopping": true,
	"records_read": true, "record_skipped": true, "lane_changed": true, "log_lines_dropped": true,
}

// report puts the lines in order of time, leaves out those that the job does not depend on, and
// determines the cause. Lines of one log with the same time stay in order.
func report(job string, lines []Line) Report {
	slices.SortStableFunc(lines, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	var first, last string
	workers := map[string]bool{}
	for i := range lines {
		if !lines[i].isAbout(job) {
			continue
		}
		if last = lines[i].Time; first == "" {
			first = last
		}
		for _, r := range orderedRuns(lines[i : i+1]) {
			workers[r.worker] = true
		}
	}
	if first == "" {
		return Report{Cause: "no log line mentions the job: no process received it, or its lines were dropped"}
	}
	lines = slices.DeleteFunc(lines, func(l Line) bool {
		isContext := l.Time >= first && l.Time <= last && (contextEvents[l.Fields["event"]] || workers[l.Fields["worker"]])
		return !l.isAbout(job) && !isContext
	})
	text := cause(lines)
	switch twice, certain := startedTwice(lines); {
	case certain:
		text = twice + "; " + text
	case twice != "":
		text += "; " + twice
	}
	return Report{Lines: lines, Cause: text}
}

// cause describes the main cause of the job's outcome: the first of a start after an answered
// cancelling, failure, cancellation, refusal, late placement and repeated runs that the lines show.
func cause(lines []Line) string {
	count := map[string]int{}
	var lastRefusal, lastFailure, givenUp, lateDetail, lastWait string
	var longestWait, longestWaitMS = "", int64(0)
	withdrawn := false // refused after it was submitted, because its record was not sent
	for _, l := range lines {
		event := l.Fields["event"]
		count[event]++
		age, _ := strconv.ParseInt(l.Fields["age_ms"], 10, 64)
		switch cell.Event(event) {
		case cell.EventRunFailed:
			lastFailure = fmt.Sprintf("run %s of %s failed on worker %s", l.Fields["run"], l.Fields["task"], l.Fields["worker"])
		case cell.EventStepWaits:
			lastWait = fmt.Sprintf("%s waited %d ms, held by: %s", l.Fields["task"], age, l.Fields["detail"])
		case cell.EventTaskGivenUp:
			givenUp = fmt.Sprintf("%s crashed its workers, %s last", l.Fields["task"], l.Fields["worker"])
		case cell.EventStepPlaced, cell.EventStepPlacedLate, cell.EventPermitsGiven:
			if age > longestWaitMS {
				longestWait, longestWaitMS = fmt.Sprintf("%s of %s after %d ms", event, l.Fields["task"], age), age
			}
			if cell.Event(event) == cell.EventStepPlacedLate && lateDetail == "" {
				lateDetail = fmt.Sprintf("step %s waited %d ms for capacity or permits", l.Fields["task"], age)
			}
		}
		switch event {
		case string(cell.EventJobAccepted):
			withdrawn = false
		case "request_refused":
			withdrawn, lastRefusal = true, l.Fields["error"]
		case "request_unanswered":
			lastRefusal = l.Fields["error"]
		case "key_refused":
			lastRefusal = fmt.Sprintf("the key of a %s was %s", l.Fields["method"], l.Fields["key"])
		}
	}
	meanwhile := ""
	for _, event := range slices.Sorted(maps.Keys(contextEvents)) {
		if count[event] > 0 {
			meanwhile += fmt.Sprintf("; meanwhile %s (%d)", event, count[event])
		}
	}
	placed := count[string(cell.EventStepPlaced)] + count[string(cell.EventStepPlacedLate)]
	switch {
	case afterCancel(lines) != "":
		return afterCancel(lines) + meanwhile
	case givenUp != "":
		return "failed: " + givenUp
	case count[string(cell.EventJobFailed)] > 0:
		return "failed: " + lastFailure + ", which exhausted the attempts that the queue allows"
	case count[string(cell.EventJobCancelled)] > 0:
		return "cancelled by its caller"
	case count["unknown_job_cancelled"] > 0 && count[string(cell.EventJobAccepted)] == 0:
		return "cancelled by its caller before it was submitted"
	case lastRefusal != "" && (count[string(cell.EventJobAccepted)] == 0 || withdrawn && placed == 0):
		return "not accepted: " + lastRefusal + meanwhile
	case lateDetail != "":
		return "placed late: " + lateDetail + meanwhile
	case count[string(cell.EventCrashSuspected)] > 0:
		return fmt.Sprintf("delayed by %d crashes of workers soon after the start of a task%s", count[string(cell.EventCrashSuspected)], meanwhile)
	case count[string(cell.EventRunHung)]+count[string(cell.EventStartRefused)]+count[string(cell.EventRunFailed)] > 0:
		return fmt.Sprintf("delayed by %d hung runs, %d refused starts, %d failed runs%s", count[string(cell.EventRunHung)], count[string(cell.EventStartRefused)], count[string(cell.EventRunFailed)], meanwhile)
	case count[string(cell.EventJobCompleted)] == 0 && lastWait != "":
		return "not ended: " + lastWait + meanwhile
	case count[string(cell.EventJobCompleted)] == 0:
		return "the logs do not show the end of the job" + meanwhile
	case meanwhile != "":
		return "completed" + meanwhile
	}
	return "completed; longest wait: " + longestWait
}

// isAbout reports whether the line is about the job or one of its tasks.
func (l *Line) isAbout(job string) bool {
	return l.Fields["job"] == job || strings.HasPrefix(l.Fields["task"], job+".")
}

// parse decodes a line of key=value pairs. Text before the ts pair, such as the
// prefix of a log collector, is skipped. It returns false for lines without ts or
// event.
func parse(text string) (Line, bool) {
	start := strings.Index(text, "ts=")
	if start < 0 {
		return Line{}, false
	}
	line := Line{Fields: map[string]string{}, Text: text[start:]}
	rest := line.Text
	for rest != "" {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		var value string
		value, rest = cutValue(after)
		line.Fields[strings.TrimSpace(key)] = value
	}
	line.Time = line.Fields["ts"]
	return line, line.Fields["event"] != ""
}

// cutValue splits text after its first value, which is quoted if it contains spaces.
func cutValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil && strings.HasPrefix(text, `"`) {
		if value, err = strconv.Unquote(quoted); err == nil {
			return value, strings.TrimPrefix(text[len(quoted):], " ")
		}
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}
