package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/gofiber/fiber/v3"
)

// answerJSON is the JSON form of api.Answer.
type answerJSON struct {
	JobID        string           `json:"job_id,omitempty"`
	Outcome      api.Outcome      `json:"outcome"`
	Error        *fault.Error     `json:"error,omitempty"`
	WaitMS       int64            `json:"wait_ms"`
	Tasks        *api.TaskCounts  `json:"tasks,omitempty"`
	Results      []taskResultJSON `json:"results,omitempty"`
	AnswerBase64 []byte           `json:"answer_base64,omitempty"`
	// Answer is inserted by EncodeAnswer, because encoding/json would change the
	// whitespace in the answer of the upstream.
	Answer json.RawMessage `json:"answer,omitempty"`
}

// taskResultJSON is the JSON form of api.TaskResult. An answer that encoding/json
// would change is sent in base64.
type taskResultJSON struct {
	Task         int             `json:"task"`
	Outcome      api.Outcome     `json:"outcome"`
	Answer       json.RawMessage `json:"answer,omitempty"`
	AnswerBase64 []byte          `json:"answer_base64,omitempty"`
	OmittedBytes int64           `json:"omitted_bytes,omitempty"`
}

func encodeResults(results []api.TaskResult) []taskResultJSON {
	encoded := make([]taskResultJSON, len(results))
	for i, r := range results {
		encoded[i] = taskResultJSON{Task: r.Task, Outcome: r.Outcome, OmittedBytes: r.OmittedBytes}
		if kept, err := json.Marshal(json.RawMessage(r.Body)); err == nil && bytes.Equal(kept, r.Body) {
			encoded[i].Answer = r.Body
		} else {
			encoded[i].AnswerBase64 = r.Body
		}
	}
	return encoded
}

func decodeResults(encoded []taskResultJSON) []api.TaskResult {
	var results []api.TaskResult
	for _, r := range encoded {
		body := r.AnswerBase64
		if len(r.Answer) > 0 {
			body = r.Answer
		}
		results = append(results, api.TaskResult{Task: r.Task, Outcome: r.Outcome, Body: body, OmittedBytes: r.OmittedBytes})
	}
	return results
}

// EncodeAnswer returns the JSON form of an answer. A body that is JSON is included
// byte for byte.
func EncodeAnswer(a api.Answer) ([]byte, error) {
	e := answerJSON{JobID: a.JobID, Outcome: a.Outcome, Error: a.Error, WaitMS: a.WaitMS, Tasks: a.Tasks, Results: encodeResults(a.Results)}
	raw := isPlainJSON(a.Body)
	if !raw {
		e.AnswerBase64 = a.Body
	}
	encoded, err := json.Marshal(e)
	if err != nil || !raw {
		return encoded, err
	}
	const field = `,"answer":`
	whole := make([]byte, 0, len(encoded)+len(field)+len(a.Body))
	whole = append(whole, encoded[:len(encoded)-1]...)
	whole = append(whole, field...)
	whole = append(whole, a.Body...)
	return append(whole, '}'), nil
}

// isPlainJSON reports whether body can be included in a JSON object and decoded
// without a change. Whitespace around the value would be lost.
func isPlainJSON(body []byte) bool {
	return len(body) > 0 && len(bytes.TrimSpace(body)) == len(body) && utf8.Valid(body) && json.Valid(body)
}

// DecodeAnswer returns the answer encoded by EncodeAnswer. It returns an error for
// malformed JSON and for an unknown outcome.
func DecodeAnswer(data []byte) (api.Answer, error) {
	var e answerJSON
	if err := json.Unmarshal(data, &e); err != nil {
		return api.Answer{}, err
	}
	if !isOutcome(e.Outcome) {
		return api.Answer{}, fmt.Errorf("outcome %q is unknown", e.Outcome)
	}
	a := api.Answer{JobID: e.JobID, Outcome: e.Outcome, Error: e.Error, WaitMS: e.WaitMS, Tasks: e.Tasks, Results: decodeResults(e.Results)}
	a.Body = e.AnswerBase64
	if len(e.Answer) > 0 {
		a.Body = e.Answer
	}
	return a, nil
}

func isOutcome(o api.Outcome) bool {
	switch o {
	case api.OutcomeAccepted, api.OutcomeCompleted, api.OutcomeFailed, api.OutcomeNotRun, api.OutcomeUnknown:
		return true
	}
	return false
}

// Status returns the HTTP status of an answer, as listed in the package comment.
func Status(a api.Answer) int {
	switch a.Outcome {
	case api.OutcomeCompleted:
		return fiber.StatusOK
	case api.OutcomeAccepted:
		return fiber.StatusAccepted
	case api.OutcomeFailed:
		return fiber.StatusBadGateway
	case api.OutcomeNotRun:
		return notRunStatus(kindOf(a))
	default:
		return unknownStatus(kindOf(a))
	}
}

// kindOf returns the kind of the error in an answer. An answer without an error
// counts as internal.
func kindOf(a api.Answer) fault.Kind {
	if a.Error == nil {
		return fault.Internal
	}
	return a.Error.Kind
}

// refusedStatus returns the HTTP status for the kinds of errors that have the same
// status with outcomes not_run and unknown, or 0.
func refusedStatus(kind fault.Kind) int {
	switch kind {
	case fault.Invalid:
		return fiber.StatusBadRequest
	case fault.Unauthorized:
		return fiber.StatusUnauthorized
	case fault.NotFound:
		return fiber.StatusNotFound
	case fault.Conflict:
		return fiber.StatusConflict
	case fault.QueueFull:
		return fiber.StatusTooManyRequests
	}
	return 0
}

func notRunStatus(kind fault.Kind) int {
	switch kind {
	case fault.NeverFits:
		return fiber.StatusUnprocessableEntity
	case fault.QuotaExceeded:
		return fiber.StatusTooManyRequests
	}
	if status := refusedStatus(kind); status != 0 {
		return status
	}
	return fiber.StatusServiceUnavailable
}

func unknownStatus(kind fault.Kind) int {
	if status := refusedStatus(kind); status != 0 {
		return status
	}
	return fiber.StatusGatewayTimeout
}

// retryAfterSeconds returns the value of the Retry-After header in seconds, rounded
// up so that a caller does not retry too early, or 0 for no header.
func retryAfterSeconds(status int, e *fault.Error) int64 {
	if e != nil && e.RetryAfterMS > 0 {
		return (e.RetryAfterMS + 999) / 1000
	}
	if status == fiber.StatusTooManyRequests {
		return 1
	}
	return 0
}
