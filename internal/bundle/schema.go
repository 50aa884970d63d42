// Package bundle defines the operators' bundle: its schema and checks, the
// signature by a named person, sections addressed by hash, and the chain of
// rolls. It imports the api, fault and strictjson packages.
package bundle

import "github.com/fulmarlatch/fulmarlatch/internal/api"

// Bundle is the whole description that operators roll across the cell.
type Bundle struct {
	Version    uint64      `json:"version"` // chosen by the operators, greater than 0, unique
	Comment    string      `json:"comment,omitempty"`
	Classes    []Class     `json:"classes"`
	Workspaces []Workspace `json:"workspaces"`
	Fleet      Fleet       `json:"fleet"`
	Timing     Timing      `json:"timing"`
}

// Class is the policy for one kind of work.
type Class struct {
	Name string `json:"name"`
	// Rank orders classes; the lowest is the most urgent.
	Rank int `json:"rank"`
	// Floor is the share of capacity, 0 to 1, that the class can always obtain.
	Floor float64 `json:"floor"`
	// Ceiling is the largest share of capacity, 0 to 1, that the class may take.
	Ceiling float64 `json:"ceiling"`
	// QueueBound is the largest number of waiting tasks per entry process. A workspace
	// with less than its share of the bound waiting, by weight, is still admitted
	// beyond it, so that up to twice the bound may wait.
	QueueBound int `json:"queue_bound"`
	// DeadlineMS is the time in milliseconds within which a request must start;
	// 0 for none.
	DeadlineMS int64 `json:"deadline_ms"`
	// RetryBudget is the share of first attempts that may be retried.
	RetryBudget float64 `json:"retry_budget"`
	// MaxAttempts bounds the attempts of one task, 1 or more.
	MaxAttempts int `json:"max_attempts"`
	// Preemptible allows tasks to be throttled, checkpointed and stopped for
	// work of a lower rank number.
	Preemptible bool `json:"preemptible"`
	// Kinds lists the kinds of jobs that the class takes; empty means all.
	Kinds []api.Kind `json:"kinds,omitempty"`
}

// Workspace is a group of callers.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the workspace's share relative to other workspaces of a class, above 0.
	Weight float64 `json:"weight"`
	// Quota bounds the resources in use by the workspace; a zero amount is no bound.
	Quota api.Resources `json:"quota"`
	// TokenHash is the SHA-256 of the workspace's bearer token in hexadecimal; empty
	// lets callers use the workspace without a token.
	TokenHash string `json:"token_hash,omitempty"`
}

// Fleet holds rules about the workers.
type Fleet struct {
	// PackingWeight weighs tight packing (1) against spreading for short waits (0).
	PackingWeight float64 `json:"packing_weight"`
	// Drain lists workers that take no new work, besides those leaving.
	Drain []string `json:"drain,omitempty"`
}

// Timing holds the cell's intervals, in milliseconds.
type Timing struct {
	WorkerLeaseMS    int64 `json:"worker_lease_ms"`
	LeaseRenewMS     int64 `json:"lease_renew_ms"`
	TaskLeaseMS      int64 `json:"task_lease_ms"`
	HeartbeatMS      int64 `json:"heartbeat_ms"`
	PeerDownMS       int64 `json:"peer_down_ms"`
	ReserveTimeoutMS int64 `json:"reserve_timeout_ms"`
	ReservationTTLMS int64 `json:"reservation_ttl_ms"`
	// OrphanGraceMS is the time after the loss of a coordinator before holders
	// stop its idempotent attempts and other processes adopt its logged jobs.
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
