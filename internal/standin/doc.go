// Package standin implements stand-ins for the platform's services: the log service,
// workers and the VM list. An admin endpoint injects faults. Tests start them in
// their own process, fulmarlatch-standin in a process of its own, and package load
// uses the payloads and answers of their tasks.
//
// All state is in memory. Every worker, the log service, the VM list and the history
// each have a mutex that guards their state; HTTP handlers, timers, the methods of
// Platform and the goroutine that runs Platform.sweep lock it. A holder is the entry
// process that holds the lease of a worker. The package imports the api, clock and
// fault packages and the wire types of the upstream, platformlog and vmlist packages.
package standin
