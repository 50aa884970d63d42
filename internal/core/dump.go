package core

import (
	"maps"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/placement"
	"github.com/fulmarlatch/fulmarlatch/internal/queue"
)

// Counters holds totals since the start of the process.
type Counters struct {
	Submitted      uint64                 `json:"submitted"`
	Outcomes       map[api.Outcome]uint64 `json:"outcomes"`
	Refusals       map[fault.Kind]uint64  `json:"refusals"`
	Reserves       uint64                 `json:"reserves"`
	Commits        uint64                 `json:"commits"`
	NoRoom         uint64                 `json:"no_room"`
	Retries        uint64                 `json:"retries"`
	Stranded       uint64                 `json:"stranded"`
	Adopted        uint64                 `json:"adopted"`
	OrphansStopped uint64                 `json:"orphans_stopped"`
	Preempted      uint64                 `json:"preempted"`
	Appends        uint64                 `json:"appends"`
}

func (k *Counters) count(o api.Outcome) {
	if k.Outcomes == nil {
		k.Outcomes = make(map[api.Outcome]uint64)
	}
	k.Outcomes[o]++
}

func (k *Counters) countRefusal(kind fault.Kind) {
	if k.Refusals == nil {
		k.Refusals = make(map[fault.Kind]uint64)
	}
	k.Refusals[kind]++
}

// Dump is a snapshot of the core's state for operators.
type Dump struct {
	Self     api.EntryRef            `json:"self"`
	Domain   string                  `json:"domain"`
	Roll     uint64                  `json:"roll"`
	Ready    bool                    `json:"ready"`
	Stopping bool                    `json:"stopping"`
	LogUp    bool                    `json:"log_up"`
	CaughtUp bool                    `json:"log_caught_up"`
	Peers    []PeerDump              `json:"peers"`
	Workers  []WorkerDump            `json:"workers"`
	Held     []placement.WorkerState `json:"held"`
	Queue    []queue.ClassStats      `json:"queue"`
	Jobs     JobsDump                `json:"jobs"`
	Attempts AttemptsDump            `json:"attempts"`
	Counters Counters                `json:"counters"`
}

// PeerDump describes an entry process with a working link.
type PeerDump struct {
	Name     string        `json:"name"`
	Domain   string        `json:"domain"`
	Stopping bool          `json:"stopping"`
	Roll     uint64        `json:"roll"`
	Held     int           `json:"held"`
	Free     api.Resources `json:"free"`
}

// WorkerDump describes a worker of the VM list.
type WorkerDump struct {
	Name      string `json:"name"`
	Lease     string `json:"lease"`
	Epoch     uint64 `json:"epoch"`
	Preferred string `json:"preferred"`
	Leaving   bool   `json:"leaving"`
}

// JobsDump counts the jobs, keys and waiting callers of this process.
type JobsDump struct {
	Known    int `json:"known"`
	Finished int `json:"finished"`
	Owned    int `json:"owned_logged"`
	Keys     int `json:"keys"`
	Waiting  int `json:"waiting_callers"`
}

// AttemptsDump counts the attempts that this process coordinates and those that it
// holds.
type AttemptsDump struct {
	Coordinated  int `json:"coordinated"`
	Reserving    int `json:"reserving"`
	Stranded     int `json:"stranded"`
	Reservations int `json:"held_reservations"`
	Held         int `json:"held_attempts"`
}

var leaseNames = map[leasePhase]string{
	leaseNone: "none", leaseAcquiring: "acquiring", leaseHeld: "held", leaseReleasing: "releasing",
}

// Dump returns a snapshot of the state, which shares no memory with the core, because
// the operator listener encodes it while the core goes on. Its size grows with the number of workers.
func (c *Core) Dump() Dump {
	d := Dump{
		Self: c.cfg.Self, Domain: c.cfg.Domain, Roll: c.roll,
		Ready: c.Ready(), Stopping: c.stopping, LogUp: c.logUp, CaughtUp: c.caughtUp,
		Held: c.pool.Dump(), Queue: c.queue.Stats(), Counters: c.Counters(),
		Jobs: JobsDump{
			Known: len(c.jobs.byID), Finished: len(c.jobs.finished),
			Owned: len(c.jobs.byCoordinator[c.cfg.Self]), Keys: len(c.jobs.keys),
			Waiting: len(c.requests.jobs) + len(c.requests.forwards),
		},
		Attempts: AttemptsDump{
			Coordinated: len(c.attempts.byID), Reserving: len(c.attempts.reserving), Stranded: len(c.attempts.stranded),
			Reservations: len(c.held.reservations), Held: len(c.held.tasks),
		},
	}
	for _, p := range c.members.peers {
		d.Peers = append(d.Peers, PeerDump{p.ref.String(), p.domain, p.summary.Stopping, p.summary.Roll, p.summary.Held, p.summary.Free})
	}
	for name, w := range c.workers.byName {
		d.Workers = append(d.Workers, WorkerDump{name, leaseNames[w.phase], w.epoch, w.preferred.String(), w.vm.Leaving})
	}
	return d
}

// Counters returns a copy of the totals. The caller may read it in any goroutine.
func (c *Core) Counters() Counters {
	k := c.counters
	k.Outcomes = maps.Clone(k.Outcomes)
	k.Refusals = maps.Clone(k.Refusals)
	return k
}
