// Command fulmarlatch-entry is the entry process of fulmarlatch on the users'
// platform. One runs on each entry VM.
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
	exitFailed   = 1 // a listener could not be opened
	exitSettings = 2 // the settings are wrong
)

type options struct {
	Config        string `type:"path" env:"FULMARLATCH_NODE_FILE" default:"/etc/fulmarlatch/local.conf" help:"JSON file with the settings of this process."`
	CheckSettings bool   `help:"Check the settings, report the first problem and exit."`
}

func main() {
	var opts options
	kong.Parse(&opts, kong.Name("fulmarlatch-entry"), kong.Description("Entry process of the fulmarlatch cluster scheduler on the users' platform."))
	os.Exit(run(opts))
}

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
	log, lines, err := logging.NewBounded(os.Stdout, s.LogLevel, zap.String("entry", s.Node.Name))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	defer lines.Flush(flushTimeout)
	limitMemory(s.Node.Limits.MemoryMB)
	if err := serve(s, log); err != nil {
		log.Error("stopped", logging.Fault(err)...)
		return exitFailed
	}
	log.Info("stopped")
	return 0
}

// flushTimeout bounds the wait for the last lines of the log.
const flushTimeout = 300 * time.Millisecond

// memoryShare is the share of the VM's memory that the heap may grow to before
// the collector works harder.
const memoryShare = 0.7

func limitMemory(limitMB int64) {
	if limitMB > 0 {
		debug.SetMemoryLimit(int64(float64(limitMB<<20) * memoryShare))
	}
}

// listeners are the sockets of the process.
type listeners struct{ front, ready, links, operator net.Listener }

func listen(s *platform.Settings) (l listeners, err error) {
	n := &s.Node
	for _, socket := range []struct {
		into    *net.Listener
		address string
	}{{&l.front, n.Listen["front"]}, {&l.ready, n.Listen["ready"]}, {&l.links, n.LinkAddress()}, {&l.operator, s.OperatorAddress()}} {
		if *socket.into, err = net.Listen("tcp4", socket.address); err != nil {
			return l, fault.Wrap(fault.Unavailable, err, "nothing can listen on "+socket.address, "end what uses the address, or correct the settings")
		}
	}
	return l, nil
}

func serve(s platform.Settings, log *zap.Logger) error {
	sockets, err := listen(&s)
	if err != nil {
		return err
	}
	metadata := platform.NewLog(s.Node.Log.Address)
	config := platform.NewConfiguration(metadata, log)
	registry := metrics.NewRegistry()
	services := entry.Platform{
		Log:        metadata,
		Registry:   &platform.Registry{Log: metadata, Logger: log},
		Controller: platform.NewController(),
		Policy:     platform.NewPolicy(s.Node.PolicyAddress),
	}
	if address := s.Node.Cloud.Address; address != "" {
		services.Maintenance = platform.NewMaintenance(address, metadata, config)
	}
	node := entry.NewNode(nodeConfig(s, log, registry), services)
	front := platform.NewFront(node, config, log)
	log.Info("started", zap.String("domain", s.Node.Domain), zap.Int("cells", s.Cells), zap.String("links", s.Node.LinkAddress()))

	if mode := s.Node.ControlMode; mode != "" && mode != platform.ControlByRequest {
		log.Warn("control_mode_unknown", zap.String("mode", mode), zap.String("remedy", "workers are given orders by requests; have them take these"))
	}

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var tasks conc.WaitGroup
	tasks.Go(func() {
		for range reload {
			log.Info("settings_changed")
		}
	})
	tasks.Go(func() { config.Run(context.Background()) })
	reports := operator.NewServer(operator.Sources{
		Ready: func() operator.Readiness {
			return operator.Readiness{Ready: node.Ready(), Entry: s.Node.Name, Version: config.Version()}
		},
		Dump:    node.Dump,
		Metrics: registry,
	})
	tasks.Go(func() {
		if err := reports.Serve(sockets.operator); err != nil {
			log.Error("operator_listener_failed", zap.Error(err))
		}
	})
	tasks.Go(func() { front.Serve(sockets.front, sockets.ready) })
	node.Start(sockets.links)
	<-ctx.Done()
	return shutDown(s, node, front, log)
}

// Times of a planned stop.
const (
	// stopNotice is how long a stopping process goes on to accept connections, so
	// that the balancer turns to others first: two of its looks and a delay.
	stopNotice = 2600 * time.Millisecond
	// stopReserve is the end of the grace period that is left unused.
	stopReserve = 700 * time.Millisecond
	// drainReserve is the part of the grace period that is left for requests on
	// connections that were open when the listeners closed.
	drainReserve = 1200 * time.Millisecond
)

// shutDown ends the process without cutting off a request: cells are handed over
// first, requests are served on until there are none.
func shutDown(s platform.Settings, node *entry.Node, front *platform.Front, log *zap.Logger) error {
	latest := time.Now().Add(time.Duration(s.Node.Bounds.GraceS*float64(time.Second)) - stopReserve)
	log.Info("stopping")
	node.HandOver(stopNotice, time.Until(latest)-drainReserve)
	ctx, cancel := context.WithDeadline(context.Background(), latest)
	defer cancel()
	err := front.Shutdown(ctx)
	node.Close()
	return err
}

func nodeConfig(s platform.Settings, log *zap.Logger, registry metrics.Registry) entry.Config {
	b := s.Node.Bounds
	return entry.Config{
		Name:          s.Node.Name,
		Domain:        s.Node.Domain,
		Incarnation:   strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid()),
		LinkAddress:   s.Node.LinkAddress(),
		Cells:         s.Cells,
		Partitions:    s.Node.Log.Partitions,
		CPUShare:      s.Node.Limits.CPUShare,
		LeaseMS:       b.LeaseMS,
		KeepEndedMS:   int64(b.StatusS * 1000),
		FarFactor:     b.SpreadFactor,
		StopTimeoutMS: b.StopTimeoutMS,
		Logger:        log,
		Metrics:       registry,
	}
}
