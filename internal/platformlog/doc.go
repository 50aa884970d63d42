// Package platformlog is the client of the platform's log service: single
// calls, a tail that follows a stream, and an appender that batches records and
// resolves appends without a response by reading the stream back. It imports
// the fault and httpjson packages.
package platformlog
