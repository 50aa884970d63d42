// Package logging creates loggers that write one line of key=value pairs per event.
// The entry processes create one at start and pass it to the other packages, which
// use it from any goroutine. The lines of a bounded logger are written by a
// goroutine of its Buffer. The package imports fault.
package logging
