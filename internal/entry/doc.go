// Package entry implements an entry process of a deployment whose workers are divided
// into cells. Every process accepts requests from callers. For each cell, one process
// at a time is the holder: it owns the cell's scheduler, writes its records to the log
// and sends orders to its workers. The other processes, the followers, forward requests
// to the holder over a link and call the policy service on its behalf. The main package
// of fulmarlatch-entry creates a Node; package platform calls it for the requests of
// callers.
//
// In this package, a cell is a set of workers and jobs, and its holder is the entry
// process with the newest claim on the cell in the log. (Packages core and placement
// use both words differently: there, the holder is the entry process that holds a
// worker's lease.) The end of the partition after a claim is the fencing token of all
// orders and appends of its holder, so workers and the log reject those of earlier
// holders.
//
// An agent goroutine for each cell follows the holder or becomes it. While a process is
// the holder, a control goroutine owns the scheduler and the state that depends on it;
// other goroutines post events to it.
//
// The services of the platform are behind the interfaces in ports.go. Of the internal
// packages, entry imports only cell, link, fault, clock, guard and logging.
package entry
