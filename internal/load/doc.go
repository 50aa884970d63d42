// Package load generates an open-loop load for entry processes and measures what
// callers observe; fulmarlatch-load and the system tests use it. An Experiment
// describes the load, a Schedule derives the arrivals from it and its seed, and Run
// sends them and returns a Result. Run dispatches arrivals on its caller's goroutine
// and sends each request on its own; a mutex guards the collected results.
//
// Arrivals do not wait for answers, and every latency is measured from the intended
// send time, so that a slow system cannot hide its delay by slowing down the
// generator (coordinated omission). The package imports api, fault, caller, standin
// and strictjson.
package load
