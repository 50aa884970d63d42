// Command fulmarlatchd is the entry process of the fulmarlatch cluster scheduler.
// One instance runs on each entry VM. It prints its listen addresses as one line
// of JSON on standard output and stops gracefully on SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/logging"
	"github.com/fulmarlatch/fulmarlatch/internal/node"
	"github.com/fulmarlatch/fulmarlatch/internal/settings"
)

// Exit codes.
const (
	exitFailed   = 1 // a graceful stop interrupted work, or a second signal forced the exit
	exitSettings = 2 // the settings are invalid
)

// options are the command-line flags.
type options struct {
	Config        string `required:"" type:"path" help:"JSON file with the settings of this process."`
	CheckSettings bool   `help:"Check the settings, report every problem and exit."`
}

func main() {
	var opts options
	kong.Parse(&opts, kong.Name("fulmarlatchd"), kong.Description("Entry process of the fulmarlatch cluster scheduler."))
	os.Exit(run(opts))
}

// run runs the entry process until a signal stops it and returns the exit code.
func run(opts options) int {
	s, err := settings.Load(opts.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if opts.CheckSettings {
		fmt.Println("settings are correct")
		return 0
	}
	log, err := logging.New(os.Stderr, s.LogLevel, zap.String("entry", s.Entry))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	n, err := node.New(s, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if err := json.NewEncoder(os.Stdout).Encode(n.Addresses()); err != nil {
		log.Warn("addresses_not_written", zap.Error(err))
	}
	if err := n.Run(untilSignal(log)); err != nil {
		log.Error("stop_incomplete", logging.Fault(err)...)
		return exitFailed
	}
	return 0
}

// untilSignal returns a context that is cancelled by the first SIGTERM or SIGINT.
// A second signal exits the process immediately.
func untilSignal(log *zap.Logger) context.Context {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancel()
		<-signals
		log.Warn("stop_forced")
		os.Exit(exitFailed)
	}()
	return ctx
}
