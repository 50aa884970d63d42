package node

import (
	"context"
	"runtime"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/core"
	"github.com/fulmarlatch/fulmarlatch/internal/operator"
	"github.com/fulmarlatch/fulmarlatch/internal/peer"
)

// Reasons for which a process is not ready.
const (
	reasonNoBundle = "no bundle is in force"
	reasonStopping = "the process is stopping"
)

// Dump is the state of an entry process that operators can request.
type Dump struct {
	Core            core.Dump    `json:"core"`
	Roll            *bundle.Info `json:"roll,omitempty"`
	RollSettled     bool         `json:"roll_settled"`
	Links           []peer.Stats `json:"links"`
	PendingAppends  int          `json:"pending_appends"`
	PendingEvents   int          `json:"pending_events"`
	WaitingCallers  int          `json:"waiting_callers"`
	WorkTailNext    uint64       `json:"work_tail_next"`
	Goroutines      int          `json:"goroutines"`
	HeapInUseBytes  uint64       `json:"heap_in_use_bytes"`
	HeapSystemBytes uint64       `json:"heap_system_bytes"`
}

// dump returns the Dump of the process, which the control goroutine builds.
func (n *Node) dump(ctx context.Context) (any, error) {
	reply := make(chan Dump, 1)
	n.post(call(func(n *Node) { reply <- n.dumpNow() }))
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.done:
		return nil, errStopped()
	}
}

func (n *Node) dumpNow() Dump {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	d := Dump{
		Core:            n.core.Dump(),
		RollSettled:     n.chain.Settled(),
		Links:           n.mesh.Stats(),
		PendingAppends:  n.appender.Len(),
		PendingEvents:   len(n.events),
		WaitingCallers:  len(n.replies),
		WorkTailNext:    n.workTail.Next(),
		Goroutines:      runtime.NumGoroutine(),
		HeapInUseBytes:  memory.HeapInuse,
		HeapSystemBytes: memory.HeapSys,
	}
	if info, _, ok := n.chain.InForce(); ok {
		d.Roll = &info
	}
	return d
}

// publishStatus updates the readiness and the metrics.
func (n *Node) publishStatus() {
	ready := operator.Readiness{Entry: n.self.Name, Ready: n.core.Ready()}
	info, _, ok := n.chain.InForce()
	if ok {
		ready.Roll = info.Number
		ready.RollID = info.ID.String()
		ready.Version = info.Version
	} else {
		ready.Reasons = append(ready.Reasons, reasonNoBundle)
	}
	if ok && !ready.Ready {
		ready.Reasons = append(ready.Reasons, reasonStopping)
	}
	n.readiness.Store(&ready)
	n.publishMetrics(info.Number)
}

func (n *Node) publishMetrics(roll uint64) {
	counters := n.core.Counters()
	n.gauge("roll.number", roll)
	n.gauge("jobs.submitted", counters.Submitted)
	for outcome, count := range counters.Outcomes {
		n.gauge("jobs.outcome."+string(outcome), count)
	}
	for kind, count := range counters.Refusals {
		n.gauge("jobs.refused."+string(kind), count)
	}
	n.gauge("placement.reserves", counters.Reserves)
	n.gauge("placement.commits", counters.Commits)
	n.gauge("placement.no_room", counters.NoRoom)
	n.gauge("placement.retries", counters.Retries)
	n.gauge("placement.preempted", counters.Preempted)
	n.gauge("recovery.stranded", counters.Stranded)
	n.gauge("recovery.adopted", counters.Adopted)
	n.gauge("recovery.orphans_stopped", counters.OrphansStopped)
	n.gauge("log.appends", counters.Appends)
	n.gauge("log.pending", uint64(n.appender.Len()))
	n.gauge("control.backlog", uint64(len(n.events)))
	for _, s := range n.mesh.Stats() {
		n.gauge("peer."+s.Name+".bytes_sent", s.BytesSent)
		n.gauge("peer."+s.Name+".bytes_received", s.BytesReceived)
	}
}

func (n *Node) gauge(name string, value uint64) {
	metrics.GetOrRegisterGauge(name, n.registry).Update(int64(value))
}
