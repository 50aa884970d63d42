package load

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// validExperiment is an experiment file without its closing brace, so that tests can
// append floods.
const validExperiment = `{"name":"n","seed":7,"entries":["http://127.0.0.1:1","http://127.0.0.1:2"],"max_outstanding":5,"check_answers":true,
 "workspaces":[{"name":"a","token":"secret"},{"name":"b","weight":3}],
 "works":{"hold":{"class":"urgent","mint":true,"work_ms":{"kind":"constant","value":95},"in_time_ms":150},
  "plan":{"class":"bulk","workspaces":["b"],"resources":{"memory_mb":100},"work_ms":{"kind":"lognormal","median":50,"sigma":1,"max":900},
   "answer_bytes":{"kind":"uniform","min":10,"max":20},"declared_factor":{"min":0.5,"max":2}}},
 "phases":[{"name":"even","duration_ms":1000,"rate":100,"arrivals":"constant","mix":[{"work":"hold"}]},
  {"name":"mixed","duration_ms":60000,"rate":50,"mix":[{"work":"hold","weight":3},{"work":"plan"}]}]`

// parse returns an experiment that must be valid.
func parse(t *testing.T, data string) *Experiment {
	t.Helper()
	e, err := Parse([]byte(data))
	assert.NilError(t, err)
	return &e
}

// arrivals returns all arrivals of an experiment.
func arrivals(e *Experiment) []Arrival {
	var all []Arrival
	for s := NewSchedule(e); ; {
		a, ok := s.Next()
		if !ok {
			return all
		}
		all = append(all, a)
	}
}

// TestSchedule guards against arrivals that depend on more than the seed, that
// change when a flood is added, or that miss the rate, the mix or the workspaces.
func TestSchedule(t *testing.T) {
	base := arrivals(parse(t, validExperiment+`}`))
	assert.Assert(t, reflect.DeepEqual(base, arrivals(parse(t, validExperiment+`}`))))
	other := arrivals(parse(t, strings.Replace(validExperiment, `"seed":7`, `"seed":8`, 1)+`}`))
	assert.Assert(t, base[150].At != other[150].At)

	flooded := arrivals(parse(t, validExperiment+`,"floods":[{"name":"flood","work":"plan","start_ms":500,"duration_ms":1000,"rate":300}]}`))
	assert.Assert(t, slices.IsSortedFunc(flooded, func(a, b Arrival) int { return int(a.At - b.At) }))
	rest := slices.DeleteFunc(slices.Clone(flooded), func(a Arrival) bool { return a.Stream == "flood" })
	assert.Assert(t, reflect.DeepEqual(rest, base))
	assert.Assert(t, math.Abs(float64(len(flooded)-len(base))-300) < 60)

	works := map[string]int{}
	for i, a := range base {
		if a.Stream == "even" {
			assert.Equal(t, a.At, time.Duration(i)*10*time.Millisecond)
			assert.Equal(t, a.Entry, i%2)
			continue
		}
		works[a.Work]++
		assert.Assert(t, a.At >= time.Second && a.At < 61*time.Second)
		if a.Work == "plan" {
			assert.Equal(t, a.Job.Workspace, "b")
			assert.Assert(t, a.Job.Resources.MemoryMB >= 50 && a.Job.Resources.MemoryMB <= 200)
			assert.Assert(t, a.Payload.WorkMS <= 900 && a.Payload.AnswerBytes >= 10 && a.Payload.AnswerBytes <= 20)
		}
	}
	assert.Assert(t, math.Abs(float64(works["hold"])-2250) < 150, "%v", works)
	assert.Assert(t, math.Abs(float64(works["plan"])-750) < 120, "%v", works)
}

// fakeCaller is a Caller that completes every job after its work time and reports a
// wait of 3 ms. If wrong is set it returns the answer of another job, and if unknown
// is set the outcome is unknown.
type fakeCaller struct{ wrong, unknown bool }

func (f fakeCaller) dial(string, Workspace) (Caller, error)  { return f, nil }
func (fakeCaller) Close()                                    {}
func (fakeCaller) Mint(context.Context) (string, error)      { return "e.1.1", nil }
func (fakeCaller) Cancel(context.Context, string) api.Answer { return api.Answer{} }
func (fakeCaller) Wait(context.Context, string, time.Duration) api.Answer {
	return api.Answer{Outcome: api.OutcomeCompleted, Tasks: &api.TaskCounts{Completed: 2}}
}

func (f fakeCaller) Submit(_ context.Context, job api.Job) api.Answer {
	var p standin.Payload
	_ = json.Unmarshal(job.Payload, &p)
	time.Sleep(milliseconds(p.WorkMS))
	answer := api.Answer{JobID: job.ID, Outcome: api.OutcomeCompleted, WaitMS: 3}
	if f.wrong {
		p.Echo = "of another"
	}
	if f.unknown {
		answer.Outcome = api.OutcomeUnknown
		answer.Error = fault.New(fault.OutcomeLost, "lost", "")
	}
	answer.Body, _ = json.Marshal(standin.TaskAnswer{Job: job.ID, Echo: p.Echo, Filler: strings.Repeat("x", p.AnswerBytes)})
	return answer
}

// stallingSource pauses before one arrival, so that this and later arrivals are late.
type stallingSource struct {
	Source
	before int
	pause  time.Duration
}

func (s *stallingSource) Next() (Arrival, bool) {
	if s.before--; s.before == 0 {
		time.Sleep(s.pause)
	}
	return s.Source.Next()
}

// runFirstPhase runs the first phase of validExperiment on a fake clock, with a pause
// before its 91st arrival.
func runFirstPhase(t *testing.T, f fakeCaller, pause time.Duration) (result Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := parse(t, validExperiment+`}`)
		e.Phases = e.Phases[:1]
		result = Run(context.Background(), e, &stallingSource{NewSchedule(e), 91, pause}, f.dial)
	})
	return result
}

// TestRunCountsOmission guards against requests beyond max_outstanding that are not
// counted: at 100 requests per second of 95 ms each and a limit of 5, half of them are
// not sent.
func TestRunCountsOmission(t *testing.T) {
	r := runFirstPhase(t, fakeCaller{}, 0)
	assert.Equal(t, r.Offered, uint64(100))
	assert.Equal(t, r.NotSent, uint64(50))
	assert.Equal(t, r.HighestOutstanding, 5)
	total := r.Rows[slices.IndexFunc(r.Rows, func(r Row) bool { return r.Stream == totalName })]
	assert.Equal(t, total.Outcomes[api.OutcomeCompleted], uint64(50))
	assert.Equal(t, total.InTime, uint64(50))
	assert.Equal(t, total.GoodputPerSecond, 50.0)
	assert.Assert(t, math.Abs(total.ResponseMS.Max-95) < 0.2, "%v", total.ResponseMS)
	assert.Assert(t, math.Abs(total.WaitMS.Max-3) < 0.1, "%v", total.WaitMS)
	assert.Equal(t, r.FailureReason(true), "")
}

// TestRunLimitsFloodsSeparately guards against a flood that counts towards the limit of
// the phases. Requests of the phases would not be sent then, which would look like
// goodput lost by the system.
func TestRunLimitsFloodsSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := parse(t, strings.Replace(validExperiment, `"rate":100`, `"rate":20`, 1)+
			`,"floods":[{"name":"flood","work":"hold","duration_ms":1000,"rate":500}]}`)
		e.Phases = e.Phases[:1]
		r := Run(context.Background(), e, NewSchedule(e), fakeCaller{}.dial)
		for _, row := range r.Rows {
			assert.Equal(t, row.NotSent > 0, row.Stream != "even", "%v", row)
		}
	})
}

// TestRunMeasuresFromIntendedTime guards against coordinated omission: when the
// generator stalls for 400 ms, the latencies of the late requests must include their
// send lag.
func TestRunMeasuresFromIntendedTime(t *testing.T) {
	r := runFirstPhase(t, fakeCaller{}, 400*time.Millisecond)
	row := r.Rows[0]
	assert.Assert(t, math.Abs(r.SendLagMS.Max-390) < 1, "%v", r.SendLagMS)
	assert.Assert(t, math.Abs(row.ResponseMS.Max-485) < 1, "%v", row.ResponseMS)
	assert.Assert(t, math.Abs(row.WaitMS.Max-393) < 1, "%v", row.WaitMS)
	assert.Assert(t, row.InTime < row.Outcomes[api.OutcomeCompleted])
}

// TestRunFails guards against checks that pass despite wrong answers or unknown
// outcomes.
func TestRunFails(t *testing.T) {
	r := runFirstPhase(t, fakeCaller{wrong: true}, 0)
	assert.Equal(t, r.FailureReason(false), "50 wrong answers")
	assert.Equal(t, len(r.Wrong), maxWrongShown)
	r = runFirstPhase(t, fakeCaller{unknown: true}, 0)
	assert.Equal(t, r.FailureReason(false), "")
	assert.Equal(t, r.FailureReason(true), "50 unknown outcomes")
	assert.Equal(t, r.Rows[0].Errors["outcome_lost"], uint64(50))
}

// TestResultFile guards against results that cannot be read back or that contain
// tokens, and against wrong ratios.
func TestResultFile(t *testing.T) {
	r := runFirstPhase(t, fakeCaller{}, 0)
	data, err := json.Marshal(r)
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(data, []byte("secret")))
	path := filepath.Join(t.TempDir(), "r.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	first, err := LoadResult(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, r)

	late := runFirstPhase(t, fakeCaller{}, 400*time.Millisecond)
	c := Compare(first, late)
	assert.Equal(t, len(c.Differences), 0)
	assert.Equal(t, len(c.Rows), 2)
	goodput := c.Rows[0].Ratios[1]
	assert.Equal(t, *goodput.Ratio, late.Rows[0].GoodputPerSecond/50)
	late.Rows = late.Rows[:1]
	late.Experiment.Seed = 9
	c = Compare(first, late)
	assert.Equal(t, c.Rows[1].Missing, "second")
	assert.DeepEqual(t, c.Differences, []string{"seed: 7 and 9"})
}

// TestParseRejects guards against errors in an experiment file that silently change
// its load.
func TestParseRejects(t *testing.T) {
	for _, c := range []struct{ old, new, path string }{
		{`"seed"`, `"colour":1,"seed"`, "colour"},
		{`"seed":7`, `"seed":-7`, "seed"},
		{`http://127.0.0.1:1`, `127.0.0.1:1`, "entries[0]"},
		{`"rate":100`, `"rate":-1`, "phases[0].rate"},
		{`"arrivals":"constant"`, `"arrivals":"even"`, "phases[0].arrivals"},
		{`"name":"mixed"`, `"name":"even"`, "phases[1].name"},
		{`"work":"plan"`, `"work":"plans"`, "phases[1].mix[1].work"},
		{`"workspaces":["b"]`, `"workspaces":["c"]`, "works.plan.workspaces[0]"},
		{`"class":"bulk",`, ``, "works.plan"},
		{`"value":95`, `"value":95,"max":5`, "works.hold.work_ms"},
		{`"kind":"uniform"`, `"kind":"normal"`, "works.plan.answer_bytes.kind"},
		{`"min":10,"max":20`, `"min":30,"max":20`, "works.plan.answer_bytes.max"},
		{`"min":0.5`, `"min":-1`, "works.plan.declared_factor.min"},
		{`"max_outstanding":5`, `"max_outstanding":-5`, "max_outstanding"},
		{`"mint":true`, `"mint":true,"follow":true`, "works.hold.follow"},
	} {
		_, err := Parse([]byte(strings.Replace(validExperiment, c.old, c.new, 1) + `}`))
		assert.Equal(t, fault.KindOf(err), fault.Invalid, c.new)
		assert.Assert(t, strings.Contains("\n"+strings.ReplaceAll(err.Error(), "invalid: ", ""), "\n"+c.path+" "), "%s: %v", c.new, err)
	}
}

// TestExamples guards against example experiments that Load rejects, or that use
// classes and workspaces missing from the example bundles.
func TestExamples(t *testing.T) {
	for _, name := range []string{"order-desk", "enquiry-desk"} {
		e, err := Load("../../examples/load/" + name + ".json")
		assert.NilError(t, err)
		bundle, err := os.ReadFile("../../examples/" + name + "/bundle.json")
		assert.NilError(t, err)
		for _, w := range e.Works {
			assert.Assert(t, bytes.Contains(bundle, []byte(`"name": "`+w.Class+`"`)), w.Class)
		}
		for _, workspace := range e.Workspaces {
			assert.Assert(t, bytes.Contains(bundle, []byte(`"name": "`+workspace.Name+`"`)), workspace.Name)
		}
	}
}
