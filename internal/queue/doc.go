// Package queue implements the queue of waiting tasks of one entry process. It
// decides which tasks are admitted and in which order they start, by class floors and
// ceilings, fair share among workspaces, backfill, deadlines and retry budgets.
//
// Package core calls it on the control goroutine of the process, which owns the
// Queue. The package has no clock, goroutine, log or unseeded randomness: the
// same seed and calls give the same results. It imports the api, fault and bundle
// packages.
package queue
