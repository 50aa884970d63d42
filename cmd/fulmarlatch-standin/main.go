// Command fulmarlatch-standin runs stand-ins for the platform's services, for tests
// and demonstrations: the log service, workers and the VM list. When it is ready it
// prints one line of JSON with all addresses on standard output. It serves until
// SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// cli holds the command-line flags.
var cli struct {
	Config string `required:"" type:"existingfile" help:"Settings file (JSON)."`
}

// gcPercent trades CPU time for memory: the stand-ins run next to the
// programs under test, and most of their heap is short-lived request bodies.
const gcPercent = 50

func main() {
	debug.SetGCPercent(gcPercent)
	command := kong.Parse(&cli, kong.Description("Stand-ins for the platform, for tests and demonstrations."))
	command.FatalIfErrorf(run())
}

// run serves the stand-ins until a signal stops them.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	config, err := standin.Load(cli.Config)
	if err != nil {
		return err
	}
	platform, err := standin.Start(config)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(platform.Addresses()); err != nil {
		return err
	}
	<-ctx.Done()
	return platform.Close()
}
