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

// fakeJobService completes every job with an empty answer, except that jobs of class
// "lost" have an unknown outcome.
type fakeJobService struct{}

func (fakeJobService) Execute(_ context.Context, _ message.Operation, job api.Job) (api.Answer, error) {
	a := api.Answer{JobID: "e.1.1", Outcome: api.OutcomeCompleted, Body: []byte(`{}`)}
	if job.Class == "lost" {
		a.Outcome = api.OutcomeUnknown
		a.Error = fault.New(fault.OutcomeLost, "lost", "check")
	}
	return a, nil
}
func (fakeJobService) MintID() (string, error)         { return "e.1.1", nil }
func (fakeJobService) Authorize(token, _ string) error { return checkToken("t0ken", token) }

// checkToken returns an Unauthorized fault unless got is the token want.
func checkToken(want, got string) error {
	if want != got {
		return fault.New(fault.Unauthorized, "wrong token", "use another")
	}
	return nil
}

// experiment is an experiment file in which tests replace CLASS.
const experiment = `{"seed":1,"entries":["http://127.0.0.1:1"],"check_answers":true,"workspaces":[{"name":"a"}],
 "works":{"w":{"class":"CLASS"}},"phases":[{"name":"p","duration_ms":100,"rate":50,"mix":[{"work":"w"}]}]}`

// TestRun guards against wrong exit codes, on which scripts rely, and wrong output of
// every command.
func TestRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := caller.NewServer(caller.Config{JobService: fakeJobService{}})
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
	serverFlags := " --entry http://" + listener.Addr().String() + " --token a=t0ken"
	for _, c := range []struct {
		args   string
		code   int
		stdout string // a substring
		stderr string // a substring
	}{
		{"run " + wrong + serverFlags, exitCheckFailed, "wrong answer: ", "wrong answers"},
		{"run " + lost + serverFlags, exitOK, "kind=outcome_lost", ""},
		{"run --strict " + lost + serverFlags, exitCheckFailed, "seed=1", "unknown outcomes"},
		{"run --strict --seed 2 " + wrong, exitOK, "kind=unavailable", ""},
		{"run --output json --rate 2 --seed 3 " + lost + serverFlags, exitOK, `"rate": 100`, ""},
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
