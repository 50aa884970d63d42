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

// Bounds of calls and answers.
const (
	callBound      = time.Second
	rangeBound     = 5 * time.Second
	rangeBytes     = 1 << 20
	MaxAnswerBytes = 64 << 20 // longest answer that is fetched
)

// Client calls one worker. It is safe for concurrent use. All errors are
// *fault.Error: Unavailable if no response came in time, StaleEpoch if the
// epoch has been superseded or its lease has lapsed.
type Client struct{ http *httpjson.Client }

// Held is a lease that was just granted.
type Held struct {
	Grant api.Grant
	// Until is the end of the lease as the holder counts it: the time before
	// the request was sent, plus the length of the lease. It has a monotonic
	// reading.
	Until time.Time
}

// NewClient returns a client of the worker at address (host:port).
func NewClient(address string) *Client {
	return &Client{http: httpjson.New(address, "the worker")}
}

// Close waits for abandoned requests and closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Lease asks for the worker's lease of length ttl; the leases of its tasks are
// set to taskTTL. While another lease is in force the error is a Conflict with
// a *HeldError as cause.
func (c *Client) Lease(ctx context.Context, holder string, ttl, taskTTL time.Duration) (Held, error) {
	held := Held{Until: time.Now().Add(ttl)}
	err := c.post(ctx, PathLease, LeaseRequest{Holder: holder, TTLMS: ttl.Milliseconds(),
		TaskTTLMS: taskTTL.Milliseconds()}, &held.Grant, min(callBound, ttl))
	if err == nil && !time.Now().Before(held.Until) {
		err = fault.New(fault.StaleEpoch, "the lease lapsed before the grant arrived", "request the lease again")
	}
	if err != nil {
		return Held{}, heldError(err)
	}
	return held, nil
}

func heldError(err error) error {
	var status *httpjson.StatusError
	var refusal LeaseRefusal
	if !errors.As(err, &status) || json.Unmarshal(status.Body, &refusal) != nil || refusal.Holder == "" {
		return err
	}
	cause := &HeldError{Holder: refusal.Holder, Remaining: time.Duration(refusal.RemainingMS) * time.Millisecond}
	e := fault.Wrap(fault.Conflict, cause, "the worker's lease is in force", "wait until it lapses")
	e.RetryAfterMS = refusal.RemainingMS
	return e
}

// Poll renews the lease and returns the events after request.After. The call
// takes at most bound, which has to be longer than the wait in the request.
func (c *Client) Poll(ctx context.Context, request PollRequest, bound time.Duration) (PollResponse, error) {
	var response PollResponse
	err := c.post(ctx, PathPoll, request, &response, bound)
	return response, err
}

// Start starts an attempt, or returns the state of an attempt that was started
// before. NoCapacity and Invalid prove that the attempt has not started.
func (c *Client) Start(ctx context.Context, epoch uint64, spec api.TaskSpec) (api.TaskState, error) {
	var response StartResponse
	err := c.post(ctx, PathTasks, StartRequest{Epoch: epoch, TaskSpec: spec}, &response, callBound)
	return response.State, err
}

// Control sends a command for a running attempt. The error is NotFound if the
// worker does not list the attempt; for an ended attempt nothing happens.
func (c *Client) Control(ctx context.Context, epoch uint64, attempt api.AttemptID, command Command) error {
	return c.post(ctx, taskPath(attempt, string(command)), EpochRequest{Epoch: epoch}, nil, callBound)
}

// Acknowledge lets the worker forget ended attempts. Attempts that are unknown
// or still running are skipped.
func (c *Client) Acknowledge(ctx context.Context, epoch uint64, attempts []api.AttemptID) error {
	return c.post(ctx, PathAck, AckRequest{Epoch: epoch, Attempts: attempts}, nil, callBound)
}

// Release gives the lease back.
func (c *Client) Release(ctx context.Context, epoch uint64) error {
	return c.post(ctx, PathRelease, EpochRequest{Epoch: epoch}, nil, callBound)
}

// Answer returns the whole answer of the ended attempt in report. It fetches
// the answer in ranges of 1 MiB, each with a bound of 5 s, unless it is inline.
// The error is NotFound if the worker has forgotten the attempt, and OutcomeLost
// if the length or checksum does not match the report.
func (c *Client) Answer(ctx context.Context, report api.TaskReport) ([]byte, error) {
	body := report.Body
	if report.Length > MaxAnswerBytes {
		return nil, mismatch(report, fmt.Sprintf("has %d bytes, more than the limit of %d", report.Length, MaxAnswerBytes))
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
	if !isWhole(report) {
		return nil, mismatch(report, fmt.Sprintf("has %d of %d bytes or does not match its checksum", len(body), report.Length))
	}
	return body, nil
}

func isWhole(report api.TaskReport) bool {
	return int64(len(report.Body)) == report.Length && (report.Length == 0 || xxhash.Sum64(report.Body) == report.Checksum)
}

func (c *Client) answerRange(ctx context.Context, a api.AttemptID, from, length int64) ([]byte, error) {
	last := min(from+rangeBytes, length) - 1
	return c.http.Bytes(ctx, httpjson.Call{
		Method: "GET",
		Path:   taskPath(a, "answer"),
		Header: map[string]string{"Range": fmt.Sprintf("bytes=%d-%d", from, last)},
		Bound:  rangeBound,
	})
}

func (c *Client) post(ctx context.Context, path string, in, out any, bound time.Duration) error {
	return c.http.Do(ctx, httpjson.Call{Method: "POST", Path: path, In: in, Out: out, Bound: bound})
}

func mismatch(report api.TaskReport, problem string) error {
	return fault.New(fault.OutcomeLost, "the answer of "+report.Spec.Attempt.String()+" "+problem,
		"check the worker and the network, then look up the outcome at the worker")
}
