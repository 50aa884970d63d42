package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// DecodeJob decodes a job from JSON. It rejects unknown fields and data after the
// object. A missing number of tasks is set to 1. The error is a *fault.Error of
// kind Invalid that names the field. DecodeJob does not call Job.Check.
func DecodeJob(data []byte) (api.Job, error) {
	var job api.Job
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&job); err != nil {
		return api.Job{}, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return api.Job{}, fault.New(fault.Invalid, "the body has data after the job", "send one JSON object")
	}
	if job.Tasks == 0 {
		job.Tasks = 1
	}
	return job, nil
}

// unknownField is the prefix of the error of encoding/json for an unknown field.
// That error has no type of its own.
const unknownField = "json: unknown field "

// decodeError returns a fault that explains an error of encoding/json.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	switch {
	case strings.HasPrefix(err.Error(), unknownField):
		return fault.New(fault.Invalid, "field "+strings.TrimPrefix(err.Error(), unknownField)+" is unknown", "remove the field")
	case errors.As(err, &wrongType):
		return fault.New(fault.Invalid, fmt.Sprintf("field %q is a JSON %s", wrongType.Field, wrongType.Value),
			"use a value of type "+wrongType.Type.String())
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fault.New(fault.Invalid, "the body ends before the job is complete", "send one JSON object")
	}
	return fault.Wrap(fault.Invalid, err, "the body is not JSON", "send one JSON object")
}

// applyKey sets the key of the job from the header Idempotency-Key. It returns an
// error if the two differ.
func applyKey(job *api.Job, key string) error {
	if key == "" || key == job.Key {
		return nil
	}
	if job.Key != "" {
		return fault.New(fault.Invalid, "header Idempotency-Key differs from field key", "send only one of them")
	}
	job.Key = key
	return nil
}
