package api

// VMRole is the role of a VM of the platform.
type VMRole string

// Roles of VMs.
const (
	RoleEntry  VMRole = "entry"  // runs an entry process
	RoleWorker VMRole = "worker" // runs a worker
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name    string `json:"name"`
	Role    VMRole `json:"role"`
	Address string `json:"address"` // host:port of the worker's API or of the entry process's peer listener
	Domain  string `json:"domain"`  // failure domain
	Region  string `json:"region"`
	Rack    string `json:"rack,omitempty"`
	Leaving bool   `json:"leaving,omitempty"` // will be removed; gets no new tasks
	Gone    bool   `json:"gone,omitempty"`    // in a change: the VM no longer exists
	// Capacity is set for workers.
	Capacity Resources `json:"capacity"`
}

// TaskState is the state of an attempt at a worker.
type TaskState string

// States of an attempt at a worker.
const (
	TaskRunning TaskState = "running"
	TaskEnded   TaskState = "ended"
)

// TaskSpec holds the data that a worker needs to start an attempt.
type TaskSpec struct {
	Attempt     AttemptID `json:"attempt" cbor:"1,keyasint"`
	Coordinator EntryRef  `json:"coordinator" cbor:"2,keyasint"`
	Workspace   string    `json:"workspace" cbor:"3,keyasint"`
	Class       string    `json:"class" cbor:"4,keyasint"`
	Kind        Kind      `json:"kind" cbor:"5,keyasint"`
	Idempotent  bool      `json:"idempotent" cbor:"6,keyasint,omitempty"`
	Resources   Resources `json:"resources" cbor:"7,keyasint"`
	RunTimeMS   int64     `json:"run_time_ms,omitempty" cbor:"8,keyasint,omitempty"`
	Payload     []byte    `json:"payload,omitempty" cbor:"9,keyasint,omitempty"`
}

// TaskReport is a worker's report on one attempt. The payload in Spec is left out.
type TaskReport struct {
	Spec    TaskSpec  `json:"spec" cbor:"1,keyasint"`
	State   TaskState `json:"state" cbor:"2,keyasint"`
	Outcome Outcome   `json:"outcome,omitempty" cbor:"3,keyasint,omitempty"` // completed or failed when ended
	Error   string    `json:"error,omitempty" cbor:"4,keyasint,omitempty"`
	Used    Resources `json:"used" cbor:"5,keyasint"` // measured while running, with a delay
	// Length and Checksum (xxhash64) describe the complete answer of an ended attempt.
	Length   int64  `json:"length,omitempty" cbor:"6,keyasint,omitempty"`
	Checksum uint64 `json:"checksum,omitempty" cbor:"7,keyasint,omitempty"`
	// Body is the answer, if it is short enough to be sent inline.
	Body []byte `json:"body,omitempty" cbor:"8,keyasint,omitempty"`
}

// Grant is a worker's response to a lease request. The worker lists its tasks and grants
// the lease in one atomic step.
type Grant struct {
	Worker   string       `json:"worker"`
	Epoch    uint64       `json:"epoch"` // of the new lease
	Boot     uint64       `json:"boot"`  // differs on every start of the worker
	Capacity Resources    `json:"capacity"`
	Tasks    []TaskReport `json:"tasks"`
}
