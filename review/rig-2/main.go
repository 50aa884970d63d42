// Command rig-2 plays the cases of the second review: it starts the entry processes with the
// command of the deploy file, and beside them small stand-ins for the platform's store, the
// workers, the policy service and the clients, which follow the users' pages.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

var cases = map[string]func(trouble bool) (int, string){}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("out", "record.txt", "path of the record")
	workers := flag.Int("workers", 48, "number of workers")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Println("there is no such case")
		os.Exit(failed)
	}
	var err error
	if root, err = os.Getwd(); err != nil {
		os.Exit(failed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go onSignal(signals)
	if err := build(*out, *workers); err != nil {
		fmt.Println(err)
		closeAll()
		os.Exit(failed)
	}
	started := time.Now()
	code, verdict := play(os.Getenv("TROUBLE") != "0")
	rec.add("VERDICT: %s", verdict)
	fmt.Printf("%s (%.0f s)\n", verdict, time.Since(started).Seconds())
	closeAll()
	os.Exit(code)
}
