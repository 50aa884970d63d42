package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/caller"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// backend answers by the class of the job.
type backend struct{}

func (backend) Do(_ context.Context, _ message.Operation, job api.Job) (api.Answer, error) {
	a := api.Answer{JobID: "e.1.1", Outcome: api.OutcomeCompleted, Body: []byte(`{}`)}
	if job.Class == "lost" {
		a.Outcome = api.OutcomeUnknown
		a.Error = fault.New(fault.OutcomeLost, "lost", "check")
	}
	return a, nil
}
func (backend) MintID() (string, error)         { return "e.1.1", nil }
func (backend) Authorize(token, _ string) error { return only("t0ken", token) }
func only(want, got string) error {
	if want != got {
		return fault.New(fault.Unauthorized, "wrong token", "use another")
	}
	return nil
}

const experiment = `{"seed":1,"entries":["http://127.0.0.1:1"],"check_answers":true,"workspaces":[{"name":"a"}],
 "works":{"w":{"class":"CLASS"}},"phases":[{"name":"p","duration_ms":100,"rate":50,"mix":[{"work":"w"}]}]}`

// TestRun guards the exit codes, on which scripts rely, and the output.
func TestRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := caller.NewServer(caller.Config{Backend: backend{}})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	dir := t.TempDir()
	write := func(name, data string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(data), 0o600))
		return path
	}
	wrong := write("wrong.json", strings.Replace(experiment, "CLASS", "wrong", 1))
	lost := write("lost.json", strings.Replace(experiment, "CLASS", "lost", 1))
	malformed := write("malformed.json", `{"seed":-1}`)
	here := " --entry http://" + listener.Addr().String() + " --token a=t0ken"
	for _, c := range []struct {
		args   string
		code   int
		stdout string // a part
		stderr string // a part
	}{
		{"run " + wrong + here, exitCheckFailed, "wrong answer: ", "wrong answers"},
		{"run " + lost + here, exitOK, "kind=outcome_lost", ""},
		{"run --strict " + lost + here, exitCheckFailed, "seed=1", "unknown outcomes"},
		{"run --strict --seed 2 " + wrong, exitOK, "kind=unavailable", ""},
		{"run --output json --rate 2 --seed 3 " + lost + here, exitOK, `"rate": 100`, ""},
		{"run --rate=-1 " + lost, exitWrongInput, "", "phases[0].rate"},
		{"run --token b=c " + lost, exitWrongInput, "", "no workspace b"},
		{"run " + malformed, exitWrongInput, "", "seed is -1"},
		{"run missing.json", exitWrongInput, "", "cannot be read"},
		{"check " + lost, exitOK, "ok name=", ""},
		{"compare " + lost + " " + lost, exitWrongInput, "", "format"},
		{"measure", exitWrongInput, "", "measure"},
	} {
		var stdout, stderr bytes.Buffer
		code := run(context.Background(), strings.Fields(c.args), &stdout, &stderr)
		assert.Equal(t, code, c.code, "%s: %s", c.args, stderr.String())
		assert.Assert(t, strings.Contains(stdout.String(), c.stdout), "%s: %s", c.args, stdout.String())
		assert.Assert(t, strings.Contains(stderr.String(), c.stderr), "%s: %s", c.args, stderr.String())
		if strings.Contains(c.args, "--output json") {
			result := write("result.json", stdout.String())
			stdout.Reset()
			assert.Equal(t, run(context.Background(), []string{"compare", result, result}, &stdout, &stderr), exitOK, stderr.String())
			assert.Assert(t, strings.Contains(stdout.String(), "1.000"), stdout.String())
		}
	}
	assert.NilError(t, server.Shutdown(context.Background()))
	assert.NilError(t, <-served)
}
