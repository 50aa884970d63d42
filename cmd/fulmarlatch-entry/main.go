// Command fulmarlatch-entry is the entry process of fulmarlatch on the users'
// platform. One runs on each entry VM. It connects an entry.Node to the clients and
// the HTTP server of package platform, and stops on SIGTERM or SIGINT.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/entry"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/logging"
	"github.com/fulmarlatch/fulmarlatch/internal/operator"
	"github.com/fulmarlatch/fulmarlatch/platform"
)

// Exit codes.
const (
	exitFailed   = 1 // a listener could not be opened, or a planned stop interrupted requests
	exitSettings = 2 // the settings are invalid
)

// options are the command-line flags.
type options struct {
	Config        string `type:"path" env:"FULMARLATCH_NODE_FILE" default:"/etc/fulmarlatch/local.conf" help:"JSON file with the settings of this process."`
	CheckSettings bool   `help:"Check the settings, report the first problem and exit."`
}

func main() {
	var opts options
	kong.Parse(&opts, kong.Name("fulmarlatch-entry"), kong.Description("Entry process of the fulmarlatch cluster scheduler on the users' platform."))
	os.Exit(run(opts))
}

// run runs the entry process until a signal stops it and returns the exit code.
func run(opts options) int {
	s, err := platform.LoadSettings(opts.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if opts.CheckSettings {
		fmt.Println("settings are correct")
		return 0
	}
	log, logBuffer, err := logging.NewBounded(os.Stdout, s.LogLevel, zap.String("entry", s.Node.Name))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	defer logBuffer.Flush(flushTimeout)
	limitMemory(s.Node.Limits.MemoryMB)
	if err := serve(s, log); err != nil {
		log.Error("stopped", logging.Fault(err)...)
		return exitFailed
	}
	log.Info("stopped")
	return 0
}

// flushTimeout is the longest wait until the last log lines are written.
const flushTimeout = 300 * time.Millisecond

// memoryShare is the share of the platform's memory limit that is set as the soft
// limit of the Go runtime. Near that limit garbage is collected more often.
const memoryShare = 0.7

// limitMemory sets the soft memory limit of the Go runtime to memoryShare of limitMB,
// which is in MiB. If limitMB is 0 it sets none.
func limitMemory(limitMB int64) {
	if limitMB > 0 {
		debug.SetMemoryLimit(int64(float64(limitMB<<20) * memoryShare))
	}
}

// listeners are the listening sockets of the process.
type listeners struct{ front, ready, links, operator net.Listener }

// listen opens all listeners. It returns an Unavailable error for the first address
// that cannot be used.
func listen(s *platform.Settings) (l listeners, err error) {
	n := &s.Node
	for _, socket := range []struct {
		listener *net.Listener
		address  string
	}{{&l.front, n.Listen["front"]}, {&l.ready, n.Listen["ready"]}, {&l.links, n.LinkAddress()}, {&l.operator, s.OperatorAddress()}} {
		if *socket.listener, err = net.Listen("tcp4", socket.address); err != nil {
			return l, fault.Wrap(fault.Unavailable, err, "cannot listen on "+socket.address, "stop the process that uses the address, or correct the settings")
		}
	}
	return l, nil
}

// serve runs the entry process until a signal to stop, and then shuts it down.
func serve(s platform.Settings, log *zap.Logger) error {
	// Without a handler, each of these signals ends the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1) // SIGHUP is logged and otherwise ignored
	signal.Notify(hangups, syscall.SIGHUP)
	sockets, err := listen(&s)
	if err != nil {
		return err
	}
	metadataLog := platform.NewLog(s.Node.Log.Address)
	config := platform.NewConfiguration(metadataLog, s.Node.Bounds, s.Node.NeedsKeys(), log)
	metricRegistry := metrics.NewRegistry()
	services := entry.Platform{
		Log:        metadataLog,
		Registry:   &platform.Registry{Log: metadataLog, Logger: log},
		Controller: platform.NewController(),
		Policy:     platform.NewPolicy(s.Node.PolicyAddress),

		Configuration: config,
	}
	if address := s.Node.Cloud.Address; address != "" {
		services.Maintenance = platform.NewMaintenance(address, metadataLog, config)
	}
	node := entry.NewNode(nodeConfig(s, log, metricRegistry), services)
	callerServer := platform.NewCallerServer(node, config, metricRegistry, log)
	log.Info("started", zap.String("domain", s.Node.Domain), zap.Int("cells", s.Cells), zap.String("links", s.Node.LinkAddress()))

	if mode := s.Node.ControlMode; mode != "" && mode != platform.ControlByRequest {
		log.Warn("control_mode_unknown", zap.String("mode", mode), zap.String("remedy", "set controlMode to request; workers are sent orders as requests in every mode"))
	}

	var goroutines conc.WaitGroup
	goroutines.Go(func() {
		for range hangups {
			log.Info("settings_changed")
		}
	})
	goroutines.Go(func() { config.Run(context.Background(), node) })
	operatorServer := operator.NewServer(operator.Sources{
		Ready: func() operator.Readiness {
			return operator.Readiness{Ready: node.Ready(), Entry: s.Node.Name, Version: config.Version()}
		},
		Dump:    node.Dump,
		Metrics: metricRegistry,
	})
	goroutines.Go(func() {
		if err := operatorServer.Serve(sockets.operator); err != nil {
			log.Error("operator_listener_failed", zap.Error(err))
		}
	})
	goroutines.Go(func() { callerServer.Serve(sockets.front, sockets.ready) })
	node.Start(sockets.links)
	<-ctx.Done()
	return shutDown(s, node, callerServer, log)
}

// Times of a planned stop. The platform kills the process at the end of the grace
// period.
const (
	// stopNotice is how long a stopping process still accepts connections while it
	// reports that it is not ready. The load balancer needs two readiness checks and
	// a delay to send callers elsewhere.
	stopNotice = 2600 * time.Millisecond
	// stopReserve is the part at the end of the grace period that is left unused.
	stopReserve = 700 * time.Millisecond
	// drainReserve is the part of the grace period for requests on connections that
	// are open when the listener closes.
	drainReserve = 1200 * time.Millisecond
)

// shutDown ends the process without interrupting requests: it releases the cells to
// other processes, serves callers until no request is in progress or the time is
// up, and then closes the callers' connections and the links.
func shutDown(s platform.Settings, node *entry.Node, callerServer *platform.CallerServer, log *zap.Logger) error {
	deadline := time.Now().Add(time.Duration(s.Node.Bounds.GraceS*float64(time.Second)) - stopReserve)
	log.Info("stopping")
	node.HandOver(stopNotice, time.Until(deadline)-drainReserve)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := callerServer.Shutdown(ctx)
	node.Close()
	return err
}

// nodeConfig returns the configuration of the entry node. The incarnation is unique
// to this start of the process.
func nodeConfig(s platform.Settings, log *zap.Logger, metricRegistry metrics.Registry) entry.Config {
	b := s.Node.Bounds
	return entry.Config{
		Name:             s.Node.Name,
		Domain:           s.Node.Domain,
		Incarnation:      strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid()),
		LinkAddress:      s.Node.LinkAddress(),
		Cells:            s.Cells,
		Partitions:       s.Node.Log.Partitions,
		CPUShare:         s.Node.Limits.CPUShare,
		LongestLeaseMS:   b.LeaseMS,
		KeepEndedMS:      int64(b.StatusS * 1000),
		RemoteDataFactor: b.SpreadFactor,
		StopTimeoutMS:    b.StopTimeoutMS,
		LimitsRequired:   s.Node.HasLimits(),
		Logger:           log,
		Metrics:          metricRegistry,
	}
}
