// Package bundle defines the bundle, the policy that operators write for a cell, and
// the signed rolls that put a version of it in force. Here a cell is a deployment of
// fulmarlatchd with all its workers, unlike in package cell. Package node and
// fulmarlatchctl follow the chain of rolls in the log; packages core, queue and
// placement apply the policy. A Chain belongs to its caller, in an entry process to the
// control goroutine. The package imports the api, fault and strictjson packages.
package bundle

import "github.com/fulmarlatch/fulmarlatch/internal/api"

// Bundle is the complete policy of a cell. A roll puts it in force at every entry
// process.
type Bundle struct {
	Version    uint64      `json:"version"` // chosen by the operators, greater than 0, unique
	Comment    string      `json:"comment,omitempty"`
	Classes    []Class     `json:"classes"`
	Workspaces []Workspace `json:"workspaces"`
	Fleet      Fleet       `json:"fleet"`
	Timing     Timing      `json:"timing"`
}

// Class is the policy for the jobs that name the class.
type Class struct {
	Name string `json:"name"`
	// Rank is the priority of the class; a lower number is more urgent.
	Rank int `json:"rank"`
	// Floor is the share of capacity, 0 to 1, that the class can always obtain.
	Floor float64 `json:"floor"`
	// Ceiling is the largest share of capacity, 0 to 1, that the class may take.
	Ceiling float64 `json:"ceiling"`
	// QueueBound is the largest number of waiting tasks per entry process. Beyond it, a
	// workspace is still admitted while fewer of its tasks wait than its share of
	// QueueBound by weight, so that up to twice QueueBound may wait.
	QueueBound int `json:"queue_bound"`
	// DeadlineMS is the time in milliseconds from submission within which a request
	// must start if it sets no deadline of its own; 0 for none.
	DeadlineMS int64 `json:"deadline_ms"`
	// RetryBudget is the share of first attempts, 0 to 1, that may be retried.
	RetryBudget float64 `json:"retry_budget"`
	// MaxAttempts limits the attempts of one task, 1 or more.
	MaxAttempts int `json:"max_attempts"`
	// Preemptible allows tasks to be throttled, checkpointed and stopped in favour of
	// tasks of a class with a lower rank.
	Preemptible bool `json:"preemptible"`
	// Kinds lists the kinds of jobs that the class accepts; empty means all.
	Kinds []api.Kind `json:"kinds,omitempty"`
}

// Workspace is a group of callers.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the workspace's share relative to that of other workspaces in a class,
	// above 0.
	Weight float64 `json:"weight"`
	// Quota limits the resources that the workspace's tasks use; an amount of 0 means
	// no limit.
	Quota api.Resources `json:"quota"`
	// TokenHash is the SHA-256 of the workspace's bearer token in hexadecimal. If it is
	// empty, callers may use the workspace without a token.
	TokenHash string `json:"token_hash,omitempty"`
}

// Fleet is the policy for the workers.
type Fleet struct {
	// PackingWeight is the preference between spreading tasks for short waits (0) and
	// packing them tightly (1).
	PackingWeight float64 `json:"packing_weight"`
	// Drain names workers that get no new tasks, in addition to those that the VM list
	// marks as leaving.
	Drain []string `json:"drain,omitempty"`
}

// Timing holds the intervals of a cell, in milliseconds. Parse replaces 0 by the
// default.
type Timing struct {
	WorkerLeaseMS    int64 `json:"worker_lease_ms"`    // length of a worker's lease
	LeaseRenewMS     int64 `json:"lease_renew_ms"`     // interval between renewals of a worker's lease
	TaskLeaseMS      int64 `json:"task_lease_ms"`      // length of the leases of tasks
	HeartbeatMS      int64 `json:"heartbeat_ms"`       // interval between heartbeats to a peer
	PeerDownMS       int64 `json:"peer_down_ms"`       // silence after which a peer is down
	ReserveTimeoutMS int64 `json:"reserve_timeout_ms"` // longest wait for the response to a reservation
	ReservationTTLMS int64 `json:"reservation_ttl_ms"` // lifetime of a reservation
	// OrphanGraceMS is the time between the loss of a coordinator and the moment when
	// holders stop its idempotent attempts and other processes adopt its logged jobs.
	OrphanGraceMS int64 `json:"orphan_grace_ms"`
}

// DefaultTiming returns the intervals used where a bundle leaves them 0.
func DefaultTiming() Timing {
	return Timing{
		WorkerLeaseMS:    3000,
		LeaseRenewMS:     1000,
		TaskLeaseMS:      60000,
		HeartbeatMS:      500,
		PeerDownMS:       3000,
		ReserveTimeoutMS: 300,
		ReservationTTLMS: 2000,
		OrphanGraceMS:    5000,
	}
}
