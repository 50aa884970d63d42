package explain

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a cause that does not say that tasks ran twice after a takeover, and what the holder knew of the first worker.
func TestTaskStartedTwiceIsNamed(t *testing.T) {
	log, err := os.Open("testdata/started-twice.log")
	assert.NilError(t, err)
	defer func() { _ = log.Close() }() // read only
	report, err := Read("0000000000000001", log)
	assert.NilError(t, err)
	assert.Equal(t, report.Cause, "started twice: 16 runs, one of them of 0000000000000001.0.0.0 "+
		"as run 1 on i-0000 by e0 (token 1) at 2026-12-06T02:41:53.005Z, "+
		"then as run 1001 on i-0002 by e2 (token 2) at 2026-12-06T02:41:54.174Z, which had taken over at 2026-12-06T02:41:53.316Z; "+
		"e2 had logged of i-0000: listing_dropped 8/0 at 2026-12-06T02:41:54.173Z; "+
		"later stops_ordered of run 1 (unknown_run) at 2026-12-06T02:41:55.734Z; "+
		"completed; meanwhile claim_made (1); meanwhile records_read (1)")
	dropped := 0
	for _, l := range report.Lines {
		if l.Fields["event"] == "listing_dropped" {
			dropped++
		}
	}
	assert.Equal(t, dropped, 2, "the workers of the first runs")
}

// Guards against second starts with a wrong reason, and against those named although the first run had ended or not begun.
func TestReasonOfSecondStart(t *testing.T) {
	const (
		firstStart  = "ts=2 event=step_placed entry=e1 cell=0 token=7 job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0 runs=0:1@w1\n"
		takeover    = "ts=3 event=claim_made entry=e2 cell=0 token=9 term=2\n"
		secondStart = "ts=5 event=starts_ordered entry=e2 cell=0 token=9 job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0 runs=0:1001@w2\n" +
			"ts=6 event=worker_reconciled entry=e2 cell=0 token=9 worker=w1 detail=listed\n"
		completed = "ts=9 event=job_completed entry=e2 cell=0 token=9 job=5c0e7a21d94b36f8\n"
		ofFirst   = " job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0.0 run=1 worker=w1"
		stops     = "ts=7 event=stops_ordered entry=e2 token=9 job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0 "
		again     = "; started again after a takeover: 1 runs, one of them of 5c0e7a21d94b36f8.0.0.0 as run 1 on w1 by e1 (token 7) at 2, " +
			"then as run 1001 on w2 by e2 (token 9) at 5, which had taken over at 3; e2 had logged of w1: "
	)
	for _, test := range []struct{ name, between, later, want string }{
		{"lease expired", "ts=4 event=worker_reconciled entry=e2 cell=0 token=9 worker=w1 detail=lease_expired age_ms=3000\n", "", again + "worker_reconciled lease_expired at 4"},
		{"replaced", "ts=4 event=worker_reconciled entry=e2 token=9 worker=w1 detail=replaced\nts=4 event=worker_lapsed entry=e2 token=9 worker=w1 age_ms=1\n", "", again + "worker_reconciled replaced at 4, worker_lapsed at 4"},
		{"restarted", "ts=4 event=worker_restarted entry=e2 token=9 worker=w1 age_ms=1\n", "", again + "worker_restarted at 4"},
		{"another worker", "ts=4 event=worker_reconciled entry=e2 token=9 worker=w3 detail=waited\n", "", again + "nothing"},
		{"another holder", "ts=2 event=worker_lapsed entry=e1 token=7 worker=w1 age_ms=0\n", "", again + "nothing"},
		{"unanswered", "ts=4 event=start_refused entry=e1 token=7 detail=unanswered" + ofFirst + "\n", "", again},
		{"still running", "", stops + "runs=3:1@w3,0:1@w1 reason=unknown_run\n", "later stops_ordered of run 1 (unknown_run) at 7; completed"},
		{"done", "", stops + "runs=0:1001@w2 reason=copy_done\n", "later stops_ordered of run 1001 (copy_done) at 7; completed"},
		{"ended later", "", "ts=7 event=run_failed entry=e2 token=9" + ofFirst + "\n", "later run_failed of run 1 at 7; "},
		{"second one stopped", "", stops + "runs=0:1001@w2 reason=upkeep\n", again},
		{"refused", "ts=4 event=start_refused entry=e1 token=7 detail=fenced" + ofFirst + "\n", "", ""},
		{"reported late as not sent", "", "ts=8 event=start_refused entry=e1 token=7 detail=not_sent" + ofFirst + "\n", ""},
		{"lost", "ts=4 event=run_lost entry=e2 token=9 detail=lapsed" + ofFirst + "\n", "", ""},
		{"failed", "ts=4 event=run_failed entry=e2 token=9" + ofFirst + "\n", "", ""},
	} {
		cause := causeOf(t, firstStart+takeover+test.between+secondStart+test.later+completed)
		named := strings.Contains(cause, "started twice") || strings.Contains(cause, "started again")
		assert.Equal(t, named, test.want != "", "%s: %s", test.name, cause)
		assert.Assert(t, strings.Contains(cause, test.want), "%s: %s", test.name, cause)
	}
	former := causeOf(t, takeover+strings.Replace(secondStart, "ts=5", "ts=4", 1)+strings.Replace(firstStart, "ts=2", "ts=5", 1)+completed)
	assert.Assert(t, strings.Contains(former, "then as run 1 on w1 by e1 (token 7) at 5, a former holder; e1 had logged of w2: nothing"), former)
	sameHolder := causeOf(t, strings.ReplaceAll(firstStart+takeover+secondStart+completed, "token=9", "token=7"))
	assert.Assert(t, !strings.Contains(sameHolder, "started"), sameHolder)
}
