// Package httpjson is the HTTP client for JSON requests that the clients of the
// platform's services share: packages platform, platformlog, upstream and vmlist. A
// Client is safe for concurrent use and runs each request in a goroutine of its own.
// It imports the clock and fault packages.
package httpjson
