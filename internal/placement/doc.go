// Package placement accounts for the resources of the workers whose leases this
// entry process holds. It chooses workers for tasks (filter, score, reserve), places
// gangs completely or not at all and enforces class floors and ceilings. It also puts
// workers that fail far more often than others on probation, learns by how much
// measured use differs from declared sizes, and selects tasks to preempt.
//
// Package core calls it on the control goroutine of the process, which owns the
// Pool. The package has no clock, goroutine or I/O, and its random choices depend
// only on the seed. It imports the api, fault and bundle packages.
package placement
