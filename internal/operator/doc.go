// Package operator serves health, metrics and the state dump of one process to
// operators over HTTP, and holds the client for them. It imports the fault
// package.
package operator
