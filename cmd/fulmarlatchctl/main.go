// Command fulmarlatchctl is the command-line tool for operators. It generates
// keys; checks, signs, rolls, rolls back and shows bundles; queries entry
// processes for their status and state; and explains a job from their logs. The
// scheduler is reconfigured only by signed bundles in the log: no command changes
// a process in any other way.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Exit codes.
const (
	exitOK          = 0
	exitInternal    = 1 // internal error
	exitWrongInput  = 2 // invalid command line, file, key or signature
	exitConflict    = 3 // another roll is in force
	exitUnavailable = 4 // the log or an entry process does not answer
)

// cli declares the commands and the global flags.
type cli struct {
	Keygen keygenCmd `cmd:"" help:"Make an Ed25519 key. The public half goes into the settings of every entry process."`
	Bundle struct {
		Check    checkCmd    `cmd:"" help:"Check a bundle file and report every problem."`
		Sign     signCmd     `cmd:"" help:"Sign a bundle as the next roll and write it to a file, without rolling it."`
		Roll     rollCmd     `cmd:"" help:"Put a bundle in force."`
		Rollback rollbackCmd `cmd:"" help:"Put an earlier version in force by a new roll."`
		Show     showCmd     `cmd:"" help:"Show the bundle in force."`
	} `cmd:"" help:"Work with bundles."`
	Status  statusCmd  `cmd:"" help:"Show the readiness and the roll of entry processes."`
	Dump    dumpCmd    `cmd:"" help:"Print the state of an entry process as JSON."`
	Explain explainCmd `cmd:"" help:"Tell the life of one job from the logs of entry processes."`
	Events  eventsCmd  `cmd:"" help:"Print the events of the logs and what they mean."`

	Timeout time.Duration `default:"30s" help:"Longest time for a command."`
}

// tool holds the output streams, clock and log connection that all commands use.
type tool struct {
	ctx        context.Context
	out        io.Writer
	errOut     io.Writer
	now        func() time.Time
	open       func(addr string) rollLog // connects to the log service
	retryDelay time.Duration             // between attempts to reach the log
}

// defaultRetryDelay is the delay between two attempts to reach the log. The log
// accepts several hundred appends per second, so these retries add little load.
const defaultRetryDelay = 500 * time.Millisecond

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	t := &tool{ctx: ctx, out: os.Stdout, errOut: os.Stderr, now: time.Now, open: newHTTPLog, retryDelay: defaultRetryDelay}
	os.Exit(t.run(os.Args[1:]))
}

// run executes the command in args and returns the exit code.
func (t *tool) run(args []string) int {
	var c cli
	exited := -1
	parser, err := kong.New(&c, kong.Name("fulmarlatchctl"), kong.Writers(t.out, t.errOut),
		kong.Description("Roll signed bundles and look at entry processes."),
		kong.Exit(func(code int) { exited = code }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		return t.fail(err)
	}
	command, err := parser.Parse(args)
	if exited >= 0 {
		return exited // help was printed
	}
	if err != nil {
		return t.fail(fault.Wrap(fault.Invalid, err, "invalid command line", "see fulmarlatchctl --help"))
	}
	ctx, cancel := context.WithTimeout(t.ctx, c.Timeout)
	defer cancel()
	t.ctx = ctx
	if err := command.Run(t); err != nil {
		return t.fail(err)
	}
	return exitOK
}

// fail prints err and returns the exit code for its kind.
func (t *tool) fail(err error) int {
	fmt.Fprintln(t.errOut, err)
	var e *fault.Error
	if !errors.As(err, &e) {
		return exitInternal
	}
	switch e.Kind {
	case fault.Invalid, fault.Unauthorized, fault.NotFound:
		return exitWrongInput
	case fault.Conflict:
		return exitConflict
	case fault.LogDown, fault.Unavailable, fault.NotReady:
		return exitUnavailable
	}
	return exitInternal
}
