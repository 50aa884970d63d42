package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/httpjson"
)

// Limits of calls and answers.
const (
	callTimeout    = time.Second
	rangeTimeout   = 5 * time.Second
	rangeBytes     = 1 << 20
	MaxAnswerBytes = 64 << 20 // longest answer that Client.Answer fetches
)

// Client calls one worker. It is safe for concurrent use. All errors are
// *fault.Error, of kind Unavailable if no response arrived in time and of kind
// StaleEpoch if the epoch is superseded or its lease has expired.
type Client struct{ http *httpjson.Client }

// GrantedLease is a lease as granted by Client.Lease.
type GrantedLease struct {
	Grant api.Grant
	// Expires is the end of the lease for the holder: the time just before the
	// request was sent plus the length of the lease. It has a monotonic clock
	// reading.
	Expires time.Time
}

// NewClient returns a client of the worker at address (host:port).
func NewClient(address string) *Client {
	return &Client{http: httpjson.New(address, "the worker")}
}

// Close waits for abandoned requests and closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Lease requests the lease of the worker for ttl and sets the length of its task
// leases to taskTTL. While another lease is in force, the error is of kind
// Conflict with a *LeaseHeldError as cause.
func (c *Client) Lease(ctx context.Context, holder string, ttl, taskTTL time.Duration) (GrantedLease, error) {
	granted := GrantedLease{Expires: time.Now().Add(ttl)}
	err := c.post(ctx, PathLease, LeaseRequest{Holder: holder, TTLMS: ttl.Milliseconds(),
		TaskTTLMS: taskTTL.Milliseconds()}, &granted.Grant, min(callTimeout, ttl))
	if err == nil && !time.Now().Before(granted.Expires) {
		err = fault.New(fault.StaleEpoch, "the lease expired before the grant arrived", "request the lease again")
	}
	if err != nil {
		return GrantedLease{}, leaseError(err)
	}
	return granted, nil
}

// leaseError returns the Conflict fault for err if the worker refused a lease
// because another one is in force, and err otherwise.
func leaseError(err error) error {
	var status *httpjson.StatusError
	var refusal LeaseRefusal
	if !errors.As(err, &status) || json.Unmarshal(status.Body, &refusal) != nil || refusal.Holder == "" {
		return err
	}
	cause := &LeaseHeldError{Holder: refusal.Holder, Remaining: time.Duration(refusal.RemainingMS) * time.Millisecond}
	e := fault.Wrap(fault.Conflict, cause, "another lease of the worker is in force", "wait until it expires")
	e.RetryAfterMS = refusal.RemainingMS
	return e
}

// Poll renews the lease and returns the events after request.After. The call
// takes at most timeout, which must exceed the wait in the request.
func (c *Client) Poll(ctx context.Context, request PollRequest, timeout time.Duration) (PollResponse, error) {
	var response PollResponse
	// The worker may take the whole wait of the request to respond.
	err := c.http.Do(ctx, httpjson.Call{Method: "POST", Path: PathPoll, Body: request, Response: &response, Timeout: timeout, Expected: timeout})
	return response, err
}

// Start starts an attempt. If the attempt was started before, it returns the state
// of that attempt. After an error of kind NoCapacity or Invalid the attempt has
// certainly not started.
func (c *Client) Start(ctx context.Context, epoch uint64, spec api.TaskSpec) (api.TaskState, error) {
	var response StartResponse
	err := c.post(ctx, PathTasks, StartRequest{Epoch: epoch, TaskSpec: spec}, &response, callTimeout)
	return response.State, err
}

// Control sends a command for a running attempt. It has no effect on an ended
// attempt. The error is of kind NotFound if the worker does not list the attempt.
func (c *Client) Control(ctx context.Context, epoch uint64, attempt api.AttemptID, command Command) error {
	return c.post(ctx, taskPath(attempt, string(command)), EpochRequest{Epoch: epoch}, nil, callTimeout)
}

// Acknowledge allows the worker to delete ended attempts. The worker skips
// attempts that are unknown or still running.
func (c *Client) Acknowledge(ctx context.Context, epoch uint64, attempts []api.AttemptID) error {
	return c.post(ctx, PathAck, AckRequest{Epoch: epoch, Attempts: attempts}, nil, callTimeout)
}

// Release ends the lease.
func (c *Client) Release(ctx context.Context, epoch uint64) error {
	return c.post(ctx, PathRelease, EpochRequest{Epoch: epoch}, nil, callTimeout)
}

// Answer returns the complete answer of the ended attempt in report. Unless the
// answer is inline, it is fetched in ranges of 1 MiB with a timeout of 5 s each.
// The error is of kind NotFound if the worker has deleted the attempt, and of kind
// OutcomeLost if the length or checksum does not match the report.
func (c *Client) Answer(ctx context.Context, report api.TaskReport) ([]byte, error) {
	body := report.Body
	if report.Length > MaxAnswerBytes {
		return nil, mismatchError(report, fmt.Sprintf("has %d bytes, more than the limit of %d", report.Length, MaxAnswerBytes))
	}
	for int64(len(body)) < report.Length {
		part, err := c.answerRange(ctx, report.Spec.Attempt, int64(len(body)), report.Length)
		if err != nil {
			return nil, err
		}
		if len(part) == 0 {
			break
		}
		body = append(body, part...)
	}
	report.Body = body
	if !isComplete(report) {
		return nil, mismatchError(report, fmt.Sprintf("has %d of %d bytes or does not match its checksum", len(body), report.Length))
	}
	return body, nil
}

// isComplete reports whether the body in report is the complete answer.
func isComplete(report api.TaskReport) bool {
	return int64(len(report.Body)) == report.Length && (report.Length == 0 || xxhash.Sum64(report.Body) == report.Checksum)
}

// answerRange returns up to rangeBytes of an answer of the given length.
func (c *Client) answerRange(ctx context.Context, a api.AttemptID, from, length int64) ([]byte, error) {
	last := min(from+rangeBytes, length) - 1
	return c.http.Bytes(ctx, httpjson.Call{
		Method:  "GET",
		Path:    taskPath(a, "answer"),
		Header:  map[string]string{"Range": fmt.Sprintf("bytes=%d-%d", from, last)},
		Timeout: rangeTimeout,
	})
}

func (c *Client) post(ctx context.Context, path string, in, out any, timeout time.Duration) error {
	return c.http.Do(ctx, httpjson.Call{Method: "POST", Path: path, Body: in, Response: out, Timeout: timeout})
}

func mismatchError(report api.TaskReport, problem string) error {
	return fault.New(fault.OutcomeLost, "the answer of "+report.Spec.Attempt.String()+" "+problem,
		"check the worker and the network, then look up the outcome at the worker")
}
