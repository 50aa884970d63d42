package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// Log is the platform's append-only log. Records have keys. The newest record of each
// key is kept until a record without a value drops the key. All methods are safe for
// concurrent use.
type Log interface {
	// Append appends all records or none, and returns the new end of the partition.
	// Errors are *AppendError.
	Append(ctx context.Context, a Append) (end int64, err error)
	// Newest returns the newest record of each key and the end of the partition. The
	// result may or may not include concurrent appends. The keys between two splits, which
	// ascend, may be read at the same time as others.
	Newest(ctx context.Context, topic string, partition int, splits ...string) (records []cell.Record, end int64, err error)
}

// Append is the argument of Log.Append.
type Append struct {
	Topic     string
	Partition int
	Records   []cell.Record
	// ExpectedEnd is the offset at which the partition must end; nil for any offset.
	ExpectedEnd *int64
	// Writer fences earlier writers of the same name; nil for no fencing.
	Writer *Writer
}

// Writer identifies a writer to a partition and numbers its appends. A higher epoch
// fences lower ones. The sequence number makes repeated appends idempotent.
type Writer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// AppendFailure is the reason why an append failed.
type AppendFailure int

// Reasons for a failed append.
const (
	// AppendUnanswered means that the append may be carried out now or later.
	AppendUnanswered AppendFailure = iota
	// AppendRefused means that the append was not carried out; a later one may succeed.
	AppendRefused
	// AppendEndMismatch means that the append was not carried out because the partition
	// does not end at Append.ExpectedEnd.
	AppendEndMismatch
	// AppendFenced means that the append was not carried out because a writer with a
	// higher epoch exists.
	AppendFenced
	// AppendOutOfOrder means that the append was not carried out because its sequence
	// number is not the expected one.
	AppendOutOfOrder
	// AppendFull means that the append was not carried out because the log is full.
	AppendFull
	// AppendInvalid means that the append was not carried out because the log does not accept
	// its content. The same append is never carried out.
	AppendInvalid
)

// AppendError is the error of a failed append.
type AppendError struct {
	Failure  AppendFailure
	End      int64 // end of the partition, for AppendEndMismatch
	Expected int64 // expected sequence number, for AppendOutOfOrder
	Err      error
}

// Error returns the reason and the cause, if any.
func (e *AppendError) Error() string {
	text := [...]string{"append was not answered", "append was refused", "partition does not end at the expected offset", "writer is fenced", "append is out of sequence", "log is full", "log does not accept the append"}[e.Failure]
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", text, e.Err)
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *AppendError) Unwrap() error { return e.Err }

// Registry provides the list of workers.
type Registry interface {
	// WatchWorkers calls update with all workers whenever they may have changed, until
	// ctx ends.
	WatchWorkers(ctx context.Context, update func([]cell.WorkerInfo))
}

// Controller sends orders to workers. Every order carries the holder's fencing token,
// and workers reject those of earlier holders.
type Controller interface {
	// RenewLease renews the lease of a worker and returns its listing. Errors are
	// *ControlError.
	RenewLease(ctx context.Context, w Target, r LeaseRenewal) (LeaseRenewalResult, error)
	// Start starts a run. It returns the worker's clock in ms, or 0 if it is unknown.
	Start(ctx context.Context, w Target, s StartOrder) (outcome cell.StartOutcome, clockMS int64)
	// Stop ends a run. If it returns nil, the run cannot start any more. Errors are
	// *ControlError.
	Stop(ctx context.Context, w Target, s StopOrder) error
	// Throttle sets the CPU share of a task. Errors are *ControlError.
	Throttle(ctx context.Context, w Target, t ThrottleOrder) error
}

// Target is the ID and the address of a worker.
type Target struct {
	ID      string
	Address string
}

// LeaseRenewal is the renewal of a worker's lease.
type LeaseRenewal struct {
	Token        int64
	Acknowledged uint64 // ended tasks up to this number may be discarded
	// DeadlineMS is the new end of the lease on the worker's clock, in ms; 0 leaves the
	// lease unchanged.
	DeadlineMS int64
	Wait       time.Duration // how long the worker may delay the response until a task ends
}

// LeaseRenewalResult is the response of a worker to a LeaseRenewal.
type LeaseRenewalResult struct {
	ClockMS int64
	Listing cell.Listing
}

// StartOrder is an order to start a run.
type StartOrder struct {
	cell.Start
	Token      int64
	DeadlineMS int64 // on the worker's clock, in ms; the order is void afterwards
}

// StopOrder is an order to stop a run.
type StopOrder struct {
	cell.Stop
	Token int64
}

// ThrottleOrder is an order to set the CPU share of a task.
type ThrottleOrder struct {
	cell.Throttle
	Token int64
}

// ControlFailure is the reason why an order to a worker failed.
type ControlFailure int

// Reasons for a failed order.
const (
	ControlUnanswered ControlFailure = iota // the order may be carried out now or later
	ControlFenced                           // the worker has accepted orders of a newer holder
	ControlReplaced                         // another worker has taken over the address
	ControlRefused                          // the worker rejects the order
)

// ControlError is the error of a failed order.
type ControlError struct {
	Failure ControlFailure
	Err     error
}

// Error returns the reason and the cause, if any.
func (e *ControlError) Error() string {
	text := [...]string{"worker did not answer", "worker has accepted orders of a newer holder", "another worker has taken over the address", "worker rejected the order"}[e.Failure]
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", text, e.Err)
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *ControlError) Unwrap() error { return e.Err }

// PolicyService permits workers to run the steps of some queues. It accepts one call at
// a time from each entry process.
type PolicyService interface {
	// Permits returns the tickets of the workers that may run the step, keyed by
	// worker, and their validity in ms.
	Permits(ctx context.Context, step string, workers []string) (tickets map[string]string, validForMS int64, err error)
}

// Configuration is what this process knows of the operators' configuration.
type Configuration interface {
	// Copy returns the newest version that is known, with its record if the version is newer
	// than the known one of another process. It must not block.
	Copy(known uint64) ConfigurationCopy
	// Workspaces returns the workspaces of the newest version that is known, and the version; 0
	// if none is. It must not block.
	Workspaces() (list []cell.Workspace, version uint64)
}

// ConfigurationCopy is a version of the operators' configuration.
type ConfigurationCopy struct {
	Version uint64        // 0 if none is known
	Age     time.Duration // for how long it is not known whether there are newer versions
	Record  []byte        // nil if it was not asked for
}

// Platform holds the services of a deployment's platform.
type Platform struct {
	Log        Log
	Registry   Registry
	Controller Controller
	Policy     PolicyService
	// Configuration is nil in a process that knows none.
	Configuration Configuration
	// Maintenance is nil if the platform has no service for the maintenance of VMs.
	Maintenance Maintenance
}
