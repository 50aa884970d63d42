package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/caller"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"gotest.tools/v3/assert"
)

// fakeJobService returns the outcome named by the job's class or, for other operations
// than submit, by the job's ID.
type fakeJobService struct{}

func (fakeJobService) Execute(_ context.Context, operation message.Operation, job api.Job) (api.Answer, error) {
	if operation != message.OpSubmit {
		job.Class = job.ID
	}
	a := api.Answer{JobID: job.ID, Outcome: api.Outcome(job.Class), Body: []byte(`"` + string(operation) + job.Key + `"`)}
	if a.Outcome == api.OutcomeNotRun {
		a.Error = fault.New(fault.NoCapacity, "no free capacity", "try later")
	}
	return a, nil
}
func (fakeJobService) MintID() (string, error)        { return "entry.1.7", nil }
func (fakeJobService) Authorize(string, string) error { return nil }

// TestRun guards against wrong exit codes, on which scripts rely, and wrong output of
// every command.
func TestRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := caller.NewServer(caller.Config{JobService: fakeJobService{}})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	file := filepath.Join(t.TempDir(), "job.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"class":"completed","kind":"request"}`), 0o600))
	for _, c := range []struct {
		args   string
		code   int
		stdout string // exact for text output, a substring for JSON
		stderr string // a substring
	}{
		{"submit --class completed", exitOK, `"submit"`, "outcome=completed"},
		{"submit --class accepted --kind batch --key k", exitOK, `"submitk"`, "outcome=accepted"},
		{"submit --class completed --mint", exitOK, `"submit"`, "job_id=entry.1.7"},
		{"submit --file " + file, exitOK, `"submit"`, "outcome=completed"},
		{"submit --file -", exitFailed, `"submit"`, "outcome=failed"},
		{"submit --class not_run", exitNotRun, `"submit"`, "try later"},
		{"status failed", exitFailed, `"status"`, "outcome=failed"},
		{"wait unknown", exitUnknown, `"wait"`, "outcome=unknown"},
		{"cancel not_run --output json", exitNotRun, `"answer":"cancel"}`, ""},
		{"submit", exitWrongInput, "", "field class"},
		{"submit --class c --payload {", exitWrongInput, "", "not JSON"},
		{"submit --class c --file " + file, exitWrongInput, "", "--file comes with"},
		{"submit --class c --mint --id x", exitWrongInput, "", "has an ID already"},
		{"status", exitWrongInput, "", "expected"},
		{"submit --file /does/not/exist", exitWrongInput, "", "no such file"},
		{"status x --server ftp://x", exitWrongInput, "", "is no URL"},
		{"status x --server http://127.0.0.1:1", exitUnknown, "", "no answer"},
		{"submit --class c --server http://127.0.0.1:1", exitNotRun, "", "no answer"},
	} {
		var stdout, stderr bytes.Buffer
		args := strings.Fields("--token s --workspace t --server http://" + listener.Addr().String() + " " + c.args)
		code := run(args, strings.NewReader(`{"class":"failed","kind":"request"}`), &stdout, &stderr)
		assert.Equal(t, code, c.code, "%s: %s", c.args, stderr.String())
		assert.Assert(t, strings.Contains(stderr.String(), c.stderr), stderr.String())
		if strings.Contains(c.args, "json") {
			assert.Assert(t, strings.Contains(stdout.String(), c.stdout), stdout.String())
		} else {
			assert.Equal(t, stdout.String(), c.stdout, c.args)
		}
	}
	assert.NilError(t, server.Shutdown(context.Background()))
	assert.NilError(t, <-served)
}
