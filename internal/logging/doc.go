// Package logging writes one line of key=value pairs for each event. It imports
// the fault package.
package logging
