// Package vmlist is the client of the platform's list of VMs. It imports the
// api, fault and httpjson packages.
package vmlist
