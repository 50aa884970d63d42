// Package core makes the scheduling decisions of one entry process. It coordinates
// the jobs that the process accepted or adopted, acquires worker leases, and starts
// tasks on the workers whose leases it holds.
//
// Package node passes events to Core.Step and carries out the returned actions; its
// control goroutine owns the Core. Package core performs no I/O and has no clock,
// goroutine, log or unseeded randomness, so the same events at the same times give
// the same actions. Of the internal packages it imports only api, bundle, fault,
// message, placement, queue and record.
//
// The holder of a worker is the entry process that has the worker's lease. The
// coordinator of a job is the entry process that decides when and where its tasks
// run. Packages cell and entry use "holder" for the process that owns a cell; this
// package has no cells.
package core
