package explain

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// startEvents are the events whose lines name the runs that a holder has ordered.
var startEvents = []string{"starts_ordered", string(cell.EventStepPlaced), string(cell.EventStepPlacedLate)}

// afterCancel describes what the lines show of a job that started or completed after its
// cancelling was answered, or returns an empty string.
func afterCancel(lines []Line) string {
	at := slices.IndexFunc(lines, func(l Line) bool { return l.Fields["event"] == "cancel_answered" })
	if at < 0 {
		return ""
	}
	answer := &lines[at]
	text := fmt.Sprintf("the cancelling was answered with %s by %s (token %s)", answer.Fields["answer"], answer.Fields["holder"], answer.Fields["token"])
	for i := at + 1; i < len(lines); i++ {
		if l := &lines[i]; l.isStart() && !endsLater(lines[i:], l.token()) && !allRefused(lines[i:], l) {
			return fmt.Sprintf("started although cancelled: runs %s of %s were ordered by %s (token %s) after %s",
				l.Fields["runs"], l.Fields["task"], l.Fields["entry"], l.Fields["token"], text)
		}
	}
	for i := at + 1; i < len(lines); i++ {
		// The lines of one holder are in order, those of different processes may not be.
		if l := &lines[i]; l.Fields["event"] == string(cell.EventJobCompleted) && (l.token() == 0 || l.token() > answer.token()) {
			return fmt.Sprintf("completed although cancelled: by %s (token %s) after %s", l.Fields["entry"], l.Fields["token"], text)
		}
	}
	return ""
}

func (l *Line) isStart() bool {
	return slices.Contains(startEvents, l.Fields["event"]) && l.Fields["runs"] != ""
}

// token returns the token of the holder that the line is about, or 0 if it names none.
func (l *Line) token() int64 {
	token, _ := strconv.ParseInt(l.Fields["token"], 10, 64) // lines without a token count as 0
	return token
}

// endsLater reports whether the holder with the token cancels the job in a later line. Then
// it ordered its starts before, and the clock of the process that answered is behind.
func endsLater(lines []Line, token int64) bool {
	return slices.ContainsFunc(lines, func(l Line) bool {
		return l.Fields["event"] == string(cell.EventJobCancelled) && l.token() == token
	})
}

// allRefused reports whether workers have refused all runs of a line of starts.
func allRefused(lines []Line, start *Line) bool {
	for order := range strings.SplitSeq(start.Fields["runs"], ",") {
		index, rest, _ := strings.Cut(order, ":")
		run, _, _ := strings.Cut(rest, "@")
		if !isRefused(lines, start.token(), start.Fields["task"]+"."+index, run) {
			return false
		}
	}
	return true
}

// isRefused reports whether a worker has refused the start of a run of a task.
func isRefused(lines []Line, token int64, task, run string) bool {
	return slices.ContainsFunc(lines, func(l Line) bool {
		return l.Fields["event"] == string(cell.EventStartRefused) && l.Fields["detail"] != cell.StartUnanswered.String() &&
			l.token() == token && l.Fields["task"] == task && l.Fields["run"] == run
	})
}
