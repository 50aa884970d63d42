package entry

import (
	"hash/fnv"
	"time"

	"go.uber.org/zap"

	"github.com/rcrowley/go-metrics"
)

// Config describes an entry process.
type Config struct {
	Name   string // unique in the deployment
	Domain string // failure domain of the VM
	// Incarnation is new on every start of the process.
	Incarnation string
	// LinkAddress is the IP:port under which others reach the links of this
	// process.
	LinkAddress string
	// Cells is the number of cells, the same in all processes; 0 lets the first
	// process decide it by the number of workers.
	Cells int
	// Partitions is the number of partitions of a topic of the log; 0 if unknown.
	Partitions int
	// CPUShare is the share of a core that the process has. Processes with more
	// are preferred as holders.
	CPUShare float64
	// LeaseMS is the longest lease of a worker, in ms.
	LeaseMS int64
	// KeepEndedMS is how long the state of an ended job is kept, in ms.
	KeepEndedMS int64
	// StopTimeoutMS is the longest time in ms that a worker takes to stop a run.
	StopTimeoutMS int64
	// FarFactor is how much longer a task takes away from its data.
	FarFactor float64
	Logger    *zap.Logger
	Metrics   metrics.Registry
}

// Topics of the log.
const (
	topicLayout = "fulmarlatch-layout"
	topicNodes  = "fulmarlatch-nodes"
	topicClaims = "fulmarlatch-claims"
	topicWaves  = "fulmarlatch-waves"
	topicJobs   = "fulmarlatch-jobs"
)

// Times of ownership.
const (
	// renewInterval is the pause between two renewals of a claim.
	renewInterval = 250 * time.Millisecond
	// staleAfter is the time without a renewal after which a claim may be
	// superseded. It is two renewals and an answer of the log.
	staleAfter = 600 * time.Millisecond
	// staleRefused is the same if nothing listens at the holder's address, which
	// makes it likely that its process has ended: one renewal and an answer.
	staleRefused = 320 * time.Millisecond
	// staleSlow is the same for a process that gave its cell up because it was
	// too slow: others come first.
	staleSlow = 3 * time.Second
	// slowPause is how long such a process holds back.
	slowPause = 8 * time.Second
	// observeInterval is the pause between two looks at a claim.
	observeInterval = 60 * time.Millisecond
	// authority is how long a holder goes on to renew leases without an answer
	// from the log. A new holder waits for it, and for a lease after it, before
	// it takes a worker that it cannot reach for empty.
	authority = 3 * time.Second
	// logSilence is how long the log may owe an answer before the holder refuses
	// new jobs and tells its followers.
	logSilence = 500 * time.Millisecond
)

// Times of links.
const (
	linkHeartbeat = 200 * time.Millisecond
	linkDownAfter = 650 * time.Millisecond
	redialPause   = 50 * time.Millisecond
)

// Preference among claimants: a process waits longer the less it is suited.
const (
	// ampleShare is the share of a core with which a process claims at once.
	ampleShare = 0.4
	// smallDelay is the delay of a process with hardly any share.
	smallDelay = 300 * time.Millisecond
	// heldDelay is the delay for each cell that a process holds already.
	heldDelay = 250 * time.Millisecond
)

// claimDelay returns how long a process that holds a number of cells waits before
// it claims one that is free.
func (c *Config) claimDelay(held int) time.Duration {
	lack := 0.0
	if c.CPUShare > 0 && c.CPUShare < ampleShare {
		lack = 1 - c.CPUShare/ampleShare
	}
	return time.Duration(lack*float64(smallDelay)) + time.Duration(held)*heldDelay
}

// cellOf returns the cell of a job or rack, of a number of cells.
func cellOf(name string, cells int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return int(h.Sum32() % uint32(cells))
}
