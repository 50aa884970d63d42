// Package placement is the resource accounting of the workers whose leases this
// process holds. It decides where a task fits (filter, score, reserve), places
// gangs whole or not at all, keeps class floors and ceilings, puts workers that
// fail far more often than their peers on probation, learns how far declared
// sizes are off, and names the tasks to preempt.
//
// The package is pure: it has no clock, goroutine or I/O, and its random
// choices follow from the seed. A Pool has a single owner and is not safe for
// concurrent use. It imports the api, fault and bundle packages.
package placement
