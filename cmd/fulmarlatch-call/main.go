// Command fulmarlatch-call submits jobs to an entry process of fulmarlatch, waits
// for them, queries their state and cancels them.
//
// Exit codes: 0 completed or accepted, 1 failed, 2 wrong input, 3 not_run,
// 4 unknown. Wrong input is an error that the command itself detects; a job that
// the server refuses is not_run.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/caller"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Exit codes.
const (
	exitOK         = 0
	exitFailed     = 1
	exitWrongInput = 2
	exitNotRun     = 3
	exitUnknown    = 4
)

// options are the flags of all commands.
type options struct {
	Server    string        `help:"URL of an entry process or its load balancer." env:"FULMARLATCH_SERVER" default:"http://127.0.0.1:8080"`
	Token     string        `help:"Bearer token of the workspace." env:"FULMARLATCH_TOKEN"`
	Workspace string        `help:"Workspace that the job belongs to." env:"FULMARLATCH_WORKSPACE"`
	Output    string        `help:"Format of the answer." enum:"text,json" default:"text"`
	Timeout   time.Duration `help:"Longest time for the call; 0 waits as long as the server."`
}

// commands declares the commands and the flags that they share.
type commands struct {
	options
	Submit submitCommand `cmd:"" help:"Submit a job; a request is waited for."`
	Wait   waitCommand   `cmd:"" help:"Wait for the end of a job."`
	Status statusCommand `cmd:"" help:"Show the state of a job."`
	Cancel cancelCommand `cmd:"" help:"Cancel a job."`
}

// session holds the client and the inputs that all commands use.
type session struct {
	ctx       context.Context
	client    *caller.Client
	workspace string
	stdin     io.Reader
}

// waitCommand implements the wait command.
type waitCommand struct {
	ID  string        `arg:"" help:"Id of the job."`
	For time.Duration `help:"Longest wait." default:"60s"`
}

// Run waits for the end of the job.
func (w *waitCommand) Run(s *session) (api.Answer, error) {
	return s.client.Wait(s.ctx, w.ID, w.For), nil
}

// statusCommand implements the status command.
type statusCommand struct {
	ID string `arg:"" help:"Id of the job."`
}

// Run queries the state of the job.
func (c *statusCommand) Run(s *session) (api.Answer, error) {
	return s.client.Status(s.ctx, c.ID), nil
}

// cancelCommand implements the cancel command.
type cancelCommand struct {
	ID string `arg:"" help:"Id of the job."`
}

// Run cancels the job.
func (c *cancelCommand) Run(s *session) (api.Answer, error) {
	return s.client.Cancel(s.ctx, c.ID), nil
}

// command is implemented by every command. An error from Run means wrong input;
// every other failure is in the answer.
type command interface {
	Run(s *session) (api.Answer, error)
}

// selected returns the command with the name that kong reports.
func (c *commands) selected(name string) command {
	switch name {
	case "submit":
		return &c.Submit
	case "wait <id>":
		return &c.Wait
	case "status <id>":
		return &c.Status
	default:
		return &c.Cancel
	}
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run executes the command in args and returns the exit code.
func run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var cli commands
	helpShown := false
	parser, err := kong.New(&cli, kong.Name("fulmarlatch-call"), kong.Writers(stdout, stderr),
		kong.Description("Submits jobs to fulmarlatch. Exit codes: 0 completed or accepted, 1 failed, 2 wrong input, 3 not_run, 4 unknown."),
		kong.Exit(func(int) { helpShown = true }))
	if err != nil {
		return wrongInput(stderr, err)
	}
	parsed, err := parser.Parse(args)
	if helpShown {
		return exitOK
	}
	if err != nil {
		return wrongInput(stderr, err)
	}
	return cli.call(cli.selected(parsed.Command()), stdin, stdout, stderr)
}

// call executes c, prints its answer and returns the exit code.
func (o *options) call(c command, stdin io.Reader, stdout, stderr io.Writer) int {
	client, err := caller.NewClient(o.Server, o.Token, o.Workspace)
	if err != nil {
		return wrongInput(stderr, err)
	}
	defer client.Close()
	ctx := context.Background()
	if o.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.Timeout)
		defer cancel()
	}
	answer, err := c.Run(&session{ctx: ctx, client: client, workspace: o.Workspace, stdin: stdin})
	if err != nil {
		return wrongInput(stderr, err)
	}
	if err := printAnswer(answer, o.Output, stdout, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, "fulmarlatch-call:", err)
	}
	return exitCode(answer.Outcome)
}

// wrongInput prints err and returns exitWrongInput.
func wrongInput(stderr io.Writer, err error) int {
	_, _ = fmt.Fprintln(stderr, "fulmarlatch-call:", err)
	return exitWrongInput
}

// printAnswer prints the answer. In text format it writes only the upstream's answer to
// standard output, so that it can be piped, and the state of the job to standard
// error.
func printAnswer(a api.Answer, output string, stdout, stderr io.Writer) error {
	if output == "json" {
		data, err := caller.EncodeAnswer(a)
		if err != nil {
			return err
		}
		_, err = stdout.Write(append(data, '\n'))
		return err
	}
	text := fmt.Sprintf("job_id=%s outcome=%s wait_ms=%d", a.JobID, a.Outcome, a.WaitMS)
	if t := a.Tasks; t != nil {
		text += fmt.Sprintf(" waiting=%d running=%d completed=%d failed=%d unknown=%d cancelled=%d",
			t.Waiting, t.Running, t.Completed, t.Failed, t.Unknown, t.Cancelled)
	}
	if a.Error != nil {
		text += fmt.Sprintf(" error=%q", a.Error.Error())
	}
	if _, err := fmt.Fprintln(stderr, text); err != nil {
		return err
	}
	_, err := stdout.Write(a.Body)
	return err
}

// exitCode returns the exit code for an outcome.
func exitCode(outcome api.Outcome) int {
	switch outcome {
	case api.OutcomeCompleted, api.OutcomeAccepted:
		return exitOK
	case api.OutcomeFailed:
		return exitFailed
	case api.OutcomeNotRun:
		return exitNotRun
	default:
		return exitUnknown
	}
}

// invalid returns an Invalid fault.
func invalid(message, remedy string) error { return fault.New(fault.Invalid, message, remedy) }
