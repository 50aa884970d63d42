package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// TestRead guards against lines of the job that are missed or out of order when they
// are spread over the logs of several processes, and against a wrong cause.
func TestRead(t *testing.T) {
	const id = "00000000000000a1"
	for _, test := range []struct {
		name, a, b, cause string
		lines             int
	}{
		{"failed", "ts=2 level=warn event=run_failed job=" + id + " task=" + id + ".0.0.1 run=2 worker=w1 age_ms=2\nts=3 event=job_failed job=" + id, "ts=1 event=job_taken job=" + id, "failed: run 2 of " + id + ".0.0.1 failed on worker w1", 3},
		{"crashes", "ts=2 event=crash_suspected job=" + id + " task=" + id + ".0.0.1 worker=w1 age_ms=1\nts=3 event=task_given_up job=" + id + " task=" + id + ".0.0.1 worker=w2 age_ms=2\nts=3 event=job_failed job=" + id, "ts=1 event=job_taken job=" + id, "failed: " + id + ".0.0.1 crashed its workers, w2 last", 4},
		{"crash", "ts=2 event=crash_suspected job=" + id + " task=" + id + ".0.0.1 worker=w1 age_ms=1\nts=3 event=job_completed job=" + id, "ts=1 event=job_taken job=" + id, "delayed by 1 crashes of workers soon after the start of a task", 3},
		{"refused", `12.3 edge-1 ts=1 event=request_refused job=` + id + ` error="log_unavailable: the log has not responded for 1200 ms (send the job again after the retry delay)"`, "ts=2 event=job_taken job=other", "not accepted: log_unavailable: the log has not responded for 1200 ms (send the job again after the retry delay)", 1},
		{"late", "ts=1 event=job_taken job=" + id + "\nts=5 event=step_placed_late job=" + id + " task=" + id + ".0.0 age_ms=4000\nts=6 event=job_completed job=" + id, "ts=2 event=log_lost cell=0\nts=9 event=log_lost cell=0", "placed late: step " + id + ".0.0 waited 4000 ms for capacity or permits; meanwhile log_lost (1)", 4},
		{"waits", "ts=1 event=job_taken job=" + id + "\nts=5 event=step_waits job=" + id + " task=" + id + `.0.0 detail="label need=1 registered=9/9 label=0/0" age_ms=10000`, "", "not ended: " + id + ".0.0 waited 10000 ms, held by: label need=1 registered=9/9 label=0/0", 2},
		{"without a key", `ts=1 event=key_refused key=unknown method=POST job=` + id, "ts=2 event=job_taken job=other", "not accepted: the key of a POST was unknown", 1},
		{"withdrawn", "ts=1 event=job_taken job=" + id + "\nts=2 event=request_refused job=" + id + " error=log_unavailable", "ts=3 event=request_refused job=" + id + " error=log_unavailable", "not accepted: log_unavailable", 3},
		{"accepted in the end", "ts=1 event=job_taken job=" + id + "\nts=2 event=request_refused job=" + id + " error=log_unavailable\nts=3 event=job_taken job=" + id, "ts=4 event=job_completed job=" + id, "completed", 4},
		{"started after the cancelling", "ts=2 event=cancel_answered entry=e1 job=" + id + " answer=not_found holder=e2 token=7", "ts=1 event=job_taken job=" + id + "\nts=3 event=step_placed entry=e3 token=9 job=" + id + " task=" + id + ".0.0 runs=0:1@w1", "started although cancelled: runs 0:1@w1 of " + id + ".0.0 were ordered by e3 (token 9) after the cancelling was answered with not_found by e2 (token 7)", 3},
		{"cancelled after the start", "ts=3 event=cancel_answered job=" + id + " answer=ok\nts=2 event=starts_ordered job=" + id + " runs=0:1@w1", "ts=3 event=job_cancelled job=" + id, "cancelled by its caller", 3},
		{"order of events", "ts=1 event=job_taken job=" + id + "\nts=9 event=job_completed job=" + id, "ts=2 event=stopping\nts=3 event=claim_made\nts=4 event=log_lost", "completed; meanwhile claim_made (1); meanwhile log_lost (1); meanwhile stopping (1)", 5},
		{"unknown", "ts=1 event=job_taken job=other", "no pairs here", "no log line mentions the job", 0},
	} {
		r, err := Read(id, strings.NewReader(test.a), strings.NewReader(test.b))
		assert.NilError(t, err)
		assert.Assert(t, cmp.Contains(r.Cause, test.cause), test.name)
		assert.Equal(t, len(r.Lines), test.lines, test.name)
		for i := 1; i < len(r.Lines); i++ {
			assert.Assert(t, r.Lines[i-1].Time <= r.Lines[i].Time, test.name)
		}
	}
}
