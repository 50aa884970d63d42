package entry

import (
	"hash/fnv"
	"time"

	"go.uber.org/zap"

	"github.com/rcrowley/go-metrics"
)

// Config configures an entry process.
type Config struct {
	Name   string // unique in the deployment
	Domain string // failure domain of the VM
	// Incarnation is unique to each start of the process.
	Incarnation string
	// LinkAddress is the IP:port at which other processes reach this one's links.
	LinkAddress string
	// Cells is the number of cells, which must be the same in all processes. If it is
	// 0, the first process derives it from the number of workers.
	Cells int
	// Partitions is the number of partitions of each log topic; 0 if unknown.
	Partitions int
	// CPUShare is this process's share of a CPU core; 0 if unknown. Processes with a
	// larger share are preferred as holders.
	CPUShare float64
	// LongestLeaseMS is the longest lease of a worker, in ms. Workers shorten longer ones to it,
	// such as a deadline on the clock of a former incarnation. The process gives leases of at
	// most maxLeaseMS.
	LongestLeaseMS int64
	// KeepEndedMS is how long the state of an ended job is kept, in ms.
	KeepEndedMS int64
	// StopTimeoutMS is the maximum time a worker takes to stop a run, in ms.
	StopTimeoutMS int64
	// RemoteDataFactor is how many times longer a task takes away from its data.
	RemoteDataFactor float64
	// LimitsRequired is set if workspaces have limits. Their tasks start only once the limits are
	// known.
	LimitsRequired bool
	Logger         *zap.Logger
	Metrics        metrics.Registry
}

// maxLeaseMS is the longest lease that a holder gives, in ms. Tasks of a worker that is
// gone, and after a takeover all restored tasks, wait until its lease has expired. The
// lease must outlast a restart of all processes, which takes up to 4 s.
const maxLeaseMS = 6000

// Topics of the log.
const (
	topicLayout = "fulmarlatch-layout"
	topicNodes  = "fulmarlatch-nodes"
	topicClaims = "fulmarlatch-claims"
	topicWaves  = "fulmarlatch-waves"
	topicJobs   = "fulmarlatch-jobs"
)

// Timing of claims.
const (
	// renewInterval is the interval between renewals of a claim.
	renewInterval = 250 * time.Millisecond
	// staleAfter is the time without a renewal after which a claim may be superseded.
	// It allows for two renewals and a response of the log.
	staleAfter = 600 * time.Millisecond
	// staleAfterRefused replaces staleAfter if the holder's address refuses
	// connections, so that its process has probably ended. It allows for one renewal
	// and a response of the log.
	staleAfterRefused = 320 * time.Millisecond
	// staleAfterSlow replaces staleAfter for a process that has released the cell
	// because it was too slow, or whose term ended with a panic, so that other processes
	// claim it first.
	staleAfterSlow = 3 * time.Second
	// slowPeriod is how long staleAfterSlow applies after such a release.
	slowPeriod = 8 * time.Second
	// observeInterval is the interval at which the newest claim is read.
	observeInterval = 60 * time.Millisecond
	// authorityPeriod is how long a holder may renew worker leases after its claim was
	// last confirmed by the log. A new holder waits for this period and the longest
	// lease before it treats an unreachable worker as empty.
	authorityPeriod = 3 * time.Second
	// logSilence is the minimum time an append must be outstanding before the holder
	// refuses new jobs and notifies its followers.
	logSilence = 500 * time.Millisecond
)

// Timing of links.
const (
	linkHeartbeat = 200 * time.Millisecond
	linkDownAfter = 650 * time.Millisecond
	redialDelay   = 50 * time.Millisecond // before the holder is dialed again
)

// Delays before a free cell is claimed, so that better suited processes claim it first.
const (
	// ampleCPUMilli is the CPU share, in thousandths of a core, at and above which there is
	// no delay while no share of an earlier holder is known.
	ampleCPUMilli = 400
	// maxShareDelay is the delay for a CPU share close to 0 while no share of an earlier
	// holder is known.
	maxShareDelay = 300 * time.Millisecond
	// maxWeakDelay replaces maxShareDelay if a process with a larger share has held the
	// cell. With a slow log, the others take seconds to see that the cell is free; a
	// process with a quarter of their share needs much longer to read the records.
	maxWeakDelay = 2 * time.Second
	// delayPerHeldCell is the delay for each cell that the process already holds.
	delayPerHeldCell = 250 * time.Millisecond
)

// claimDelay returns how long a process with the given CPU share that holds the given
// number of cells waits before it claims a free one. bestCPUMilli is the largest share
// of the cell's earlier holders. Both shares are in thousandths of a core; 0 if unknown.
func claimDelay(cpuMilli uint64, held int, bestCPUMilli uint64) time.Duration {
	ample, longest := uint64(ampleCPUMilli), maxShareDelay
	if bestCPUMilli > cpuMilli {
		ample, longest = bestCPUMilli, maxWeakDelay
	}
	deficit := 0.0
	if cpuMilli > 0 && cpuMilli < ample {
		deficit = 1 - float64(cpuMilli)/float64(ample)
	}
	return time.Duration(deficit*float64(longest)) + time.Duration(held)*delayPerHeldCell
}

// cellOf returns the index of the cell that a job ID or rack name hashes to.
func cellOf(name string, cells int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return int(h.Sum32() % uint32(cells))
}
