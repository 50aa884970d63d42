//go:build review

// Command standin plays the cases of the review: it starts stand-ins for the platform, starts
// the project's entry processes with the command of the deploy file, plays a disruption
// unless TROUBLE is 0, and checks a rule. The exit code is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// outcome is the result of a case: the breaches of the rule that it checks.
type outcome struct {
	rule     string
	breaches []string
}

// cases are the cases by name.
var cases = map[string]func(c *cluster, trouble bool) (outcome, error){
	"ends":     playEnds,
	"services": playServices,
	"poison":   playPoison,
	"failures": playFailures,
	"clock":    playClock,
	"lanes":    playLanes,
	"stale":    playStale,
}

// maxBreaches is the number of breaches that are printed.
const maxBreaches = 10

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", os.Args[1], trouble)
	c, err := newCluster(rec)
	if err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	defer c.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		c.close()
		os.Exit(2)
	}()
	result, err := cases[os.Args[1]](c, trouble)
	if err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	if len(result.breaches) == 0 {
		rec.say("%s held", result.rule)
		return 0
	}
	for i, breach := range result.breaches {
		if i < maxBreaches {
			rec.say("%s: %s", result.rule, breach)
		} else {
			rec.add("%s: %s", result.rule, breach)
		}
	}
	rec.say("%s is broken %d times", result.rule, len(result.breaches))
	return 1
}

// begin starts a deployment with the given workers and three entry processes.
func begin(c *cluster, workers int, cpu, mem, clock0 int64, maxAttempts int) error {
	c.configure(maxAttempts)
	if err := c.addWorkers(workers, cpu, mem, clock0); err != nil {
		return err
	}
	if err := c.startEntries(3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// Capacity of a worker, as in the site files.
const (
	workerCPU = 64000 // cl-fulmar
	workerMem = 131072
	smallCPU  = 16000 // kvows-hq
	smallMem  = 32768
)

// works is the behaviour of a task that takes the given time and succeeds.
func works(d time.Duration) behaviour { return behaviour{time: d, how: "done"} }

var errNotAccepted = errors.New("a job was not accepted")
