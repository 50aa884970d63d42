package cell

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A step that waits for long must name the constraint that holds it. Without that, the
// logs of accepted jobs that never started did not tell why.
func TestWaitNamesConstraint(t *testing.T) {
	for _, test := range []struct {
		name, want string
		step       Step
		policy     bool
	}{
		{"full worker", "free need=1 registered=2/2 label=2/2 usable=2/2 asked=2/2 allowed=2/2 not_avoided=2/2 free=0/0 unreserved=0/0 permit=0/0", Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}}, false},
		{"label", "label need=1 registered=2/20 label=0/0", Step{Tasks: 20, Resources: Resources{CPUMilli: 100}, Label: "none"}, false},
		{"gang too wide", "registered need=9 registered=2/8", Step{Tasks: 9, Resources: Resources{CPUMilli: 250}, Gang: true}, false},
		{"label before no answer", "label need=1 registered=2/2 label=0/0", Step{Tasks: 1, Resources: Resources{CPUMilli: 600}, Label: "none"}, true},
		{"no answer", "policy_call need=1 registered=2/2 label=2/2 usable=2/2 asked=0/0", Step{Tasks: 1, Resources: Resources{CPUMilli: 600}}, true},
	} {
		r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
		r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 600}, EstimateMS: 60_000}))
		job := oneStep(jobID(2), test.step)
		if test.policy {
			job.Queue = permitQueue()
		}
		r.submit(job)
		var details []string
		for range 2*waitReportMS/checkIntervalMS + 1 {
			r.now += checkIntervalMS
			r.s.Tick(r.now, r.unixMS)
			for _, action := range r.s.Actions() {
				if e, ok := action.(LogEvent); ok && e.Event == EventStepWaits {
					details = append(details, e.Detail)
				}
			}
		}
		assert.Equal(t, len(details), 2, "%s: one report per waitReportMS", test.name)
		assert.Assert(t, strings.HasPrefix(details[0], test.want), "%s: %s", test.name, details[0])
	}
}
