package cell

// Workspace is a workspace as the configuration defines it.
type Workspace struct {
	Name string
	// Weight is the workspace's share relative to that of other workspaces, and the number of
	// jobs a second that it may submit, both when capacity is short.
	Weight float64
	// Limit is what the tasks of the workspace may use on all workers of the cell. An amount of 0
	// means no limit, and a negative one that the workspace may use none.
	Limit Resources
}

// Caller is who asks about a job.
type Caller struct {
	// Workspace is the caller's workspace; empty if the caller needed no key.
	Workspace string `cbor:"1,keyasint,omitempty"`
	// Checked is set if the deployment has workspaces. Otherwise a caller may access all jobs.
	Checked bool `cbor:"2,keyasint,omitempty"`
}

// MayAccess reports whether the caller may see and cancel the job with the ID, if one was
// submitted. A job that was submitted without a key may be accessed by all who know its ID.
func (s *Scheduler) MayAccess(id string, by Caller) bool {
	j := s.jobs[id]
	return !by.Checked || j == nil || j.unsubmitted || j.Workspace == "" || j.Workspace == by.Workspace
}

// isForeignTo reports whether the job, or the cancelling of one that is not submitted, belongs to
// others than the workspace.
func (j *job) isForeignTo(workspace string) bool {
	return j.Workspace != workspace && (j.Workspace != "" || j.keyless)
}
