// Package queue holds the waiting work of one entry process: admission,
// classes with floors and ceilings, fair share among workspaces, backfill,
// deadlines and the retry budget. It is pure: it has no clock, goroutine, log
// or unseeded randomness, and the same seed and calls give the same results.
// It is not safe for concurrent use. It imports the api, fault and bundle
// packages.
package queue
