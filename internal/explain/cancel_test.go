package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func causeOf(t *testing.T, log string) string {
	t.Helper()
	report, err := Read("5c0e7a21d94b36f8", strings.NewReader(log))
	assert.NilError(t, err)
	return report.Cause
}

// Guards against a run that goes on after its job's cancelling was answered and that the cause does not name.
func TestCauseNamesRunThatGoesOnAfterCancelling(t *testing.T) {
	cause := causeOf(t, `ts=1 event=job_taken job=5c0e7a21d94b36f8
ts=2 event=step_placed job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0
ts=2 event=starts_ordered entry=e3 token=9 job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0 runs=0:1@w1
ts=3 event=cancel_answered entry=e1 job=5c0e7a21d94b36f8 answer=not_found holder=e2 token=7
ts=9 event=job_completed job=5c0e7a21d94b36f8`)
	assert.Assert(t, strings.Contains(cause, "cancel"), cause)
}

// Guards against the cause "the logs do not show the end" of a job that was cancelled before its submission.
func TestCauseNamesCancellingBeforeSubmission(t *testing.T) {
	cause := causeOf(t, `ts=1 event=unknown_job_cancelled entry=e1 token=7 job=5c0e7a21d94b36f8 age_ms=0
ts=2 event=cancel_answered entry=e1 job=5c0e7a21d94b36f8 answer=not_found holder=e1 token=7`)
	assert.Assert(t, strings.Contains(cause, "cancel"), cause)
}

// Guards against a start that is counted as late only because the clock of its machine is ahead.
func TestStartBeforeCancellingByTokenOrderIsNotNamed(t *testing.T) {
	cause := causeOf(t, `ts=1 event=job_taken entry=e3 token=9 job=5c0e7a21d94b36f8
ts=2 event=cancel_answered entry=e1 job=5c0e7a21d94b36f8 answer=ok holder=e3 token=9
ts=2.1 event=starts_ordered entry=e3 token=9 job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0 runs=0:1@w1
ts=2.2 event=job_cancelled entry=e3 token=9 job=5c0e7a21d94b36f8`)
	assert.Equal(t, cause, "cancelled by its caller")
}

// Guards against a refused start that is named as a start although its job was cancelled.
func TestRefusedStartIsNotNamedAsStartAfterCancelling(t *testing.T) {
	cause := causeOf(t, `ts=1 event=job_taken entry=e3 token=9 job=5c0e7a21d94b36f8
ts=2 event=cancel_answered entry=e1 job=5c0e7a21d94b36f8 answer=ok holder=e3 token=9
ts=2 event=job_cancelled entry=e3 token=9 job=5c0e7a21d94b36f8
ts=3 event=starts_ordered entry=e2 token=7 job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0 runs=0:1@w1
ts=4 event=start_refused entry=e2 token=7 job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0.0 run=1 worker=w1 detail=fenced`)
	assert.Equal(t, cause, "cancelled by its caller")
}

// Guards against a start of a former holder after the answer that the cause does not name, although no worker refused it.
func TestStartOfFormerHolderAfterCancellingIsNamed(t *testing.T) {
	cause := causeOf(t, `ts=1 event=job_taken entry=e2 token=7 job=5c0e7a21d94b36f8
ts=2 event=cancel_answered entry=e1 job=5c0e7a21d94b36f8 answer=ok holder=e3 token=9
ts=2 event=job_cancelled entry=e3 token=9 job=5c0e7a21d94b36f8
ts=9 event=starts_ordered entry=e2 token=7 job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0 runs=0:1@w1`)
	assert.Assert(t, strings.Contains(cause, "although cancelled"), cause)
}

// Guards against a start that is not named because other runs of its step were refused later.
func TestStartAfterCancellingBesideRefusedOnesIsNamed(t *testing.T) {
	cause := causeOf(t, `ts=1 event=job_taken entry=e2 token=7 job=5c0e7a21d94b36f8
ts=2 event=cancel_answered entry=e1 job=5c0e7a21d94b36f8 answer=ok holder=e2 token=7
ts=3 event=starts_ordered entry=e3 token=9 job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0 runs=0:1@w1
ts=4 event=starts_ordered entry=e3 token=9 job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0 runs=1:1@w2
ts=5 event=start_refused entry=e3 token=9 job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0.0 run=1 worker=w1 detail=fenced`)
	assert.Assert(t, strings.Contains(cause, "although cancelled"), cause)
}
