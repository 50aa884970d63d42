// Package load drives entry processes with an open-loop load and measures what
// callers see. An Experiment describes the load, a Schedule turns it into
// arrivals that depend on the seed alone, Run sends them and returns a Result.
//
// Arrivals do not wait for answers, and every latency counts from the intended
// send time, so a slow system cannot hide its delay by slowing down the
// generator (coordinated omission). The package imports api, fault, caller,
// standin and strictjson.
package load
