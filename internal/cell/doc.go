// Package cell decides which worker runs which task in one cell. A cell is a set of
// workers together with the jobs that run on them; its holder is the entry process with
// the newest claim on the cell. (In internal/core and internal/placement, a holder is
// the entry process that holds a worker's lease.)
//
// The holder in internal/entry creates a Scheduler, which keeps the cell's jobs, their
// progress, the resources in use on every worker and the queue of waiting steps. A
// Scheduler is owned by the holder's control goroutine: only that goroutine passes it
// events and carries out the actions that it returns. Other packages use only the data
// types and the event names.
//
// The package has no clock, goroutines, I/O or unseeded randomness. Times are Instants,
// which the caller reads from its monotonic clock; wall-clock time is used for repeated
// jobs, for the age of restored jobs and for the expiry of ended jobs. Of the internal
// packages, it imports only fault.
package cell
