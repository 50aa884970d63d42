// Package upstream is the client of the platform's worker API and runs held
// leases for a driver. It imports the api, fault and httpjson packages.
package upstream
