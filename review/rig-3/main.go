//go:build review3

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes, as the issue has them.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxPlay is the longest time of a play.
const maxPlay = 110 * time.Second

// play plays a case; trouble is false for the play without its disruption. It returns an error if
// the case could not run.
type play func(binary, dir string, trouble bool) (*rig, error)

var plays = map[string]play{
	"unanswered-start": unansweredStart,
	"takeover":         takeover,
	"permits":          permits,
	"sequence":         sequence,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the case, for record.txt")
	binary := flag.String("entry", "target/fulmarlatch-entry", "entry process, as in deploy/system.toml")
	flag.Parse()
	os.Exit(run(plays[*name], *binary, *dir, os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit code.
func run(p play, binary, dir string, trouble bool) int {
	if p == nil {
		fmt.Fprintln(os.Stderr, "there is no such case")
		return exitNotRun
	}
	type result struct {
		rig *rig
		err error
	}
	done := make(chan result, 1)
	go func() {
		r, err := p(binary, dir, trouble)
		done <- result{r, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case got := <-done:
		if got.rig != nil {
			defer got.rig.close()
		}
		switch {
		case got.err != nil:
			fmt.Fprintln(os.Stderr, "the case could not run:", got.err)
			return exitNotRun
		case len(got.rig.violations) > 0:
			for _, v := range got.rig.violations {
				fmt.Println(v)
			}
			return exitBroken
		}
		fmt.Println("the rules held")
		return exitHeld
	case <-stop:
	case <-time.After(maxPlay):
		fmt.Fprintln(os.Stderr, "the case took too long")
	}
	endStarted()
	return exitNotRun
}
