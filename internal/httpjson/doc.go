// Package httpjson is the HTTP client with JSON bodies that the clients of the
// platform share. It imports the fault package.
package httpjson
