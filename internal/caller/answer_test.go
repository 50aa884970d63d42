package caller

import (
	"testing"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"gotest.tools/v3/assert"
)

// TestStatus guards against statuses other than those in the package comment.
func TestStatus(t *testing.T) {
	kinds := []fault.Kind{
		fault.Invalid, fault.Unauthorized, fault.NotFound, fault.Conflict, fault.NeverFits,
		fault.QueueFull, fault.QuotaExceeded, fault.NotReady, fault.Cancelled, fault.OutcomeLost,
	}
	for outcome, want := range map[api.Outcome][]int{
		api.OutcomeNotRun:    {400, 401, 404, 409, 422, 429, 429, 503, 503, 503},
		api.OutcomeUnknown:   {400, 401, 404, 409, 504, 429, 504, 504, 504, 504},
		api.OutcomeFailed:    {502, 502, 502, 502, 502, 502, 502, 502, 502, 502},
		api.OutcomeCompleted: {200, 200, 200, 200, 200, 200, 200, 200, 200, 200},
		api.OutcomeAccepted:  {202, 202, 202, 202, 202, 202, 202, 202, 202, 202},
	} {
		for i, kind := range kinds {
			a := api.Answer{Outcome: outcome, Error: fault.New(kind, "m", "r")}
			assert.Equal(t, Status(a), want[i], "%s %s", outcome, kind)
		}
	}
	assert.Equal(t, Status(api.Answer{Outcome: api.OutcomeUnknown}), 504)
}

// TestEncodeAnswer guards against changes to the answer of the upstream when it is
// encoded and decoded.
func TestEncodeAnswer(t *testing.T) {
	for _, body := range []string{"", `{"a" :  "<&>" }`, `"text"`, ` {"a":1}`, "{\"a\":\"\xff\"}", "plain", "\x00\x01"} {
		a := api.Answer{JobID: "j", Outcome: api.OutcomeFailed, WaitMS: 3, Tasks: &api.TaskCounts{Failed: 1}, Error: fault.New(fault.TaskFailed, "m", "r")}
		if body != "" {
			a.Body = []byte(body)
			a.Results = []api.TaskResult{
				{Outcome: api.OutcomeCompleted, Body: []byte(body)},
				{Task: 1, Outcome: api.OutcomeCompleted, OmittedBytes: 20000},
			}
		}
		data, err := EncodeAnswer(a)
		assert.NilError(t, err)
		got, err := DecodeAnswer(data)
		assert.NilError(t, err, "%q", data)
		assert.DeepEqual(t, got, a)
	}
}

// TestDecodeJob guards against malformed input that is accepted or refused with a
// misleading error.
func TestDecodeJob(t *testing.T) {
	for body, want := range map[string]string{
		``:                      "ends before",
		`{"class":`:             "ends before",
		`{} {}`:                 "data after",
		`{"clas":"x"}`:          `field "clas" is unknown`,
		`{"resources":{"a":1}}`: `field "a" is unknown`,
		`{"tasks":"3"}`:         `field "tasks" is a JSON string`,
		`[]`:                    "is a JSON array",
		`{"class":x}`:           "is not JSON",
	} {
		_, err := DecodeJob([]byte(body))
		assert.ErrorContains(t, err, want, body)
		assert.Equal(t, fault.KindOf(err), fault.Invalid)
	}
}
