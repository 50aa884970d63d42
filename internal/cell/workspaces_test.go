package cell

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// keyedCaller returns a caller of a deployment with workspaces; workspace is empty for one without a key.
func keyedCaller(workspace string) Caller { return Caller{Workspace: workspace, Checked: true} }

func jobOfWorkspace(workspace string) *Job {
	j := cancelTestJob()
	j.Workspace = workspace
	return j
}

// Guards against a job that another workspace sees or cancels, also once it has ended and after a takeover.
func TestJobIsAccessibleToItsWorkspaceOnly(t *testing.T) {
	check := func(r *rig, when string) {
		t.Helper()
		for by, want := range map[Caller]bool{keyedCaller("a"): true, keyedCaller("b"): false, keyedCaller(""): false, {}: true} {
			assert.Equal(t, r.s.MayAccess(jobID(1), by), want, "%s, by %+v", when, by)
			assert.Assert(t, r.s.MayAccess(jobID(2), by), "%s: an unknown job is denied, not its caller", when)
		}
	}
	r := newRig(t, 1, Resources{CPUMilli: 8000, MemoryMB: 8000})
	r.s.Submit(jobOfWorkspace("a"))
	r.runActions()
	check(r, "running")
	r.takeOver(2)
	check(r, "running, after a takeover")
	r.s.Cancel(jobID(1), keyedCaller("a"))
	r.runActions()
	check(r, "ended")
	r.takeOver(3)
	check(r, "ended, after a takeover")
}

// Guards against a job that a caller believes to be accepted although another workspace's job has its ID.
func TestJobUnderIDOfAnotherWorkspaceIsRefused(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 8000, MemoryMB: 8000})
	r.s.Submit(jobOfWorkspace("a"))
	r.runActions()
	assert.NilError(t, r.s.Admit(jobOfWorkspace("a")))
	for _, other := range []string{"b", ""} {
		assert.Equal(t, fault.KindOf(r.s.Admit(jobOfWorkspace(other))), fault.Conflict, "workspace %q", other)
	}
}

// Guards against a job that does not run because others have cancelled its ID before it was submitted,
// and against one that runs although its own workspace has.
func TestCancellingBeforeSubmissionAppliesToItsWorkspace(t *testing.T) {
	for _, test := range []struct {
		name      string
		cancelled []Caller
		want      State
	}{
		{"own", []Caller{keyedCaller("a")}, Cancelled}, {"other", []Caller{keyedCaller("b")}, Running}, {"without a key", []Caller{keyedCaller("")}, Running},
		{"unchecked", []Caller{{}}, Cancelled}, {"other, then own", []Caller{keyedCaller("b"), keyedCaller("a")}, Cancelled},
		{"own, then other", []Caller{keyedCaller("a"), keyedCaller("b")}, Cancelled}, {"own, then without a key", []Caller{keyedCaller("a"), keyedCaller("")}, Cancelled},
	} {
		for _, takeOver := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				r := newRig(t, 1, Resources{CPUMilli: 8000, MemoryMB: 8000})
				for _, by := range test.cancelled {
					_, known := r.s.Cancel(jobID(1), by)
					assert.Assert(t, !known)
					r.runActions()
				}
				if takeOver {
					r.takeOver(2)
				}
				assert.NilError(t, r.s.Admit(jobOfWorkspace("a")))
				r.s.Submit(jobOfWorkspace("a"))
				r.runActions()
				assert.Equal(t, r.state(jobID(1)), test.want)
				r.takeOver(3)
				assert.Assert(t, r.s.MayAccess(jobID(1), keyedCaller("a")))
				r.advance(121_000)
				assert.Equal(t, r.s.HasJob(jobID(1)), test.want == Running, "the cancelling drops the job, or is kept for ever")
			})
		}
	}
}
