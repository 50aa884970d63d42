// Package upstream is the client of the platform's worker API. Client makes single
// calls to one worker; Session renews a lease that was granted, sends commands
// under it and reports what happens to a Sink. Package node runs one Session per
// lease. A Session has its own goroutines and guards its state with mutexes.
package upstream
