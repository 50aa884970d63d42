// Package operator is the HTTP server that shows operators the health, metrics and
// state dump of one process, and its client. Package node and fulmarlatch-entry run
// the server, fulmarlatchctl uses the client. The server calls its Sources from the
// goroutines of its connections and shares no other state with the process. It imports
// the fault package.
package operator
