//go:build review3

// Command rig3 plays the cases of the third review that are scripts. It starts entry processes
// of the project with the command of deploy/system.toml, and runs stand-ins for the platform's
// store (package platformtest), workers, policy service and clients in its own process. All
// addresses are loopback addresses. The build tag keeps it out of the usual builds and tests.
package main
