// Package vmlist is the client of the platform's list of VMs. Package node runs a
// Follower in a goroutine of its own to learn about entry VMs and workers; that
// goroutine owns the state of the Follower. Client is safe for concurrent use.
package vmlist
