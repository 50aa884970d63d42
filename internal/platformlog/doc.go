// Package platformlog is the client of the platform's log service. Client makes
// single calls, Tail follows a stream, and Appender appends records in batches
// and finds out by reading the stream back whether an append without a response
// took effect. Package node runs one Tail per stream and an Appender, each in
// its own goroutine; the methods that other goroutines call are guarded by
// mutexes.
package platformlog
