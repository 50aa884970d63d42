// Command fulmarlatch-load runs load experiments against entry processes and
// compares the results of two runs.
//
// Exit codes: 0 success, 1 a check of the results failed (a wrong answer or, with
// --strict, an unknown outcome), 2 wrong input.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/fulmarlatch/fulmarlatch/internal/load"
)

// Exit codes.
const (
	exitOK          = 0
	exitCheckFailed = 1
	exitWrongInput  = 2
)

// errCheckFailed marks a failed check of the results, as opposed to wrong input.
var errCheckFailed = errors.New("check failed")

// commands declares the commands and the flags that they share.
type commands struct {
	Run     runCommand     `cmd:"" help:"Run an experiment."`
	Check   checkCommand   `cmd:"" help:"Check an experiment file and report every problem."`
	Compare compareCommand `cmd:"" help:"Print the ratios of two JSON results, second over first."`

	Output string `help:"Format of the output." enum:"text,json" default:"text"`
}

// session holds the context and the output that all commands use.
type session struct {
	ctx    context.Context
	output string
	stdout io.Writer
}

// runCommand implements the run command.
type runCommand struct {
	File   string            `arg:"" help:"Experiment file (JSON)."`
	Entry  []string          `help:"Caller address of an entry process, instead of those in the file." placeholder:"URL"`
	Token  map[string]string `help:"Token of a workspace, instead of the one in the file." placeholder:"WORKSPACE=TOKEN"`
	Seed   *uint64           `help:"Seed, instead of the one in the file."`
	Rate   float64           `help:"Factor for all rates." default:"1"`
	Strict bool              `help:"Exit with 1 if an outcome is unknown."`
}

// Run runs the experiment and prints its result. The error wraps errCheckFailed if a
// check of the result fails.
func (c *runCommand) Run(s *session) error {
	e, err := c.experiment()
	if err != nil {
		return err
	}
	result := load.Run(s.ctx, &e, load.NewSchedule(&e), load.DialHTTP)
	if err := s.print(result, result.Print); err != nil {
		return err
	}
	if reason := result.Failed(c.Strict); reason != "" {
		return fmt.Errorf("%w: %s", errCheckFailed, reason)
	}
	return nil
}

// experiment returns the experiment from the file with the flags applied.
func (c *runCommand) experiment() (load.Experiment, error) {
	e, err := load.Load(c.File)
	if err != nil {
		return e, err
	}
	if len(c.Entry) > 0 {
		e.Entries = c.Entry
	}
	if c.Seed != nil {
		e.Seed = *c.Seed
	}
	for workspace, token := range c.Token {
		if err := e.SetToken(workspace, token); err != nil {
			return e, err
		}
	}
	e.Scale(c.Rate)
	return e, e.Check()
}

// checkCommand implements the check command.
type checkCommand struct {
	File string `arg:"" help:"Experiment file (JSON)."`
}

// Run checks the file and prints the duration of the experiment and the number of
// requests that it offers.
func (c *checkCommand) Run(s *session) error {
	e, err := load.Load(c.File)
	if err != nil {
		return err
	}
	offered := 0
	for schedule := load.NewSchedule(&e); ; offered++ {
		if _, ok := schedule.Next(); !ok {
			break
		}
	}
	_, err = fmt.Fprintf(s.stdout, "ok name=%q seed=%d duration=%s offered=%d\n", e.Name, e.Seed, e.Duration(), offered)
	return err
}

// compareCommand implements the compare command.
type compareCommand struct {
	First  string `arg:"" help:"Result of the first run (JSON)."`
	Second string `arg:"" help:"Result of the second run (JSON)."`
}

// Run prints the ratios of the second result to the first.
func (c *compareCommand) Run(s *session) error {
	first, err := load.LoadResult(c.First)
	if err != nil {
		return err
	}
	second, err := load.LoadResult(c.Second)
	if err != nil {
		return err
	}
	comparison := load.Compare(first, second)
	return s.print(comparison, comparison.Print)
}

// print writes value as JSON, or as text by calling table.
func (s *session) print(value any, table func(io.Writer) error) error {
	if s.output != "json" {
		return table(s.stdout)
	}
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal terminates the process
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command in args and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var cli commands
	helpShown := false
	parser, err := kong.New(&cli, kong.Name("fulmarlatch-load"), kong.Writers(stdout, stderr),
		kong.Description("Runs load experiments. Exit codes: 0 done, 1 a check failed, 2 wrong input."),
		kong.Exit(func(int) { helpShown = true }))
	if err != nil {
		return fail(stderr, err)
	}
	command, err := parser.Parse(args)
	if helpShown {
		return exitOK
	}
	if err != nil {
		return fail(stderr, err)
	}
	if err := command.Run(&session{ctx: ctx, output: cli.Output, stdout: stdout}); err != nil {
		return fail(stderr, err)
	}
	return exitOK
}

// fail prints err and returns the exit code for it.
func fail(stderr io.Writer, err error) int {
	_, _ = fmt.Fprintln(stderr, err)
	if errors.Is(err, errCheckFailed) {
		return exitCheckFailed
	}
	return exitWrongInput
}
