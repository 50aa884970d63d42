package vmlist

import (
	"context"
	"fmt"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/httpjson"
)

// Timing of the follower.
const (
	callTimeout  = 2 * time.Second        // in addition to the wait of the call
	responseTime = 500 * time.Millisecond // of the service over a connection that works, likewise
	pollWait     = time.Second            // also limits how long a dead connection goes undetected
	retryDelay   = 500 * time.Millisecond
)

// Response is the whole list, or the changes after a version.
type Response struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"` // VMs is the whole list: VMs not in it no longer exist
	VMs     []api.VM `json:"vms"`
}

// Client calls the VM list. Errors are *fault.Error.
type Client struct{ http *httpjson.Client }

// NewClient returns a client of the VM list at address (host:port).
func NewClient(address string) *Client {
	return &Client{http: httpjson.New(address, "the VM list")}
}

// Close waits for abandoned requests and closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Changes returns the changes after version since, or the whole list if since is
// 0 or unknown to the service. If there is no change, it waits for one for at
// most wait. The call takes at most 2 s plus wait.
func (c *Client) Changes(ctx context.Context, since uint64, wait time.Duration) (Response, error) {
	var response Response
	err := c.http.Do(ctx, httpjson.Call{
		Method:   "GET",
		Path:     fmt.Sprintf("/v1/vms?since=%d&wait_ms=%d", since, wait.Milliseconds()),
		Response: &response,
		Timeout:  callTimeout + wait,
		Expected: responseTime + wait,
	})
	return response, err
}

// Follower polls the VM list and reports it and its changes in order.
type Follower struct {
	client   *Client
	onChange func(vms []api.VM, full bool)
	onError  func(err error)
}

// NewFollower returns a follower that calls onChange with the whole list first and
// then with changes, and onError with the error of every failed call. onError may
// be nil. Both are called by the goroutine of Run.
func NewFollower(client *Client, onChange func(vms []api.VM, full bool), onError func(err error)) *Follower {
	return &Follower{client: client, onChange: onChange, onError: onError}
}

// Run polls the list until ctx ends and returns the error of ctx. A failed call is
// repeated with the same version after 500 ms.
func (f *Follower) Run(ctx context.Context) error {
	since := uint64(0)
	for ctx.Err() == nil {
		response, err := f.client.Changes(ctx, since, pollWait)
		if err != nil {
			f.handleError(ctx, err)
			continue
		}
		if response.Full || len(response.VMs) > 0 {
			f.onChange(response.VMs, response.Full)
		}
		if response.Full && response.Version == since {
			waitRetry(ctx) // the service cannot wait for a change without a version
		}
		since = response.Version
	}
	return ctx.Err()
}

func (f *Follower) handleError(ctx context.Context, err error) {
	if f.onError != nil && ctx.Err() == nil {
		f.onError(err)
	}
	waitRetry(ctx)
}

// waitRetry waits for retryDelay or until ctx ends.
func waitRetry(ctx context.Context) {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
