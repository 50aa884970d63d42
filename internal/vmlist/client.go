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
	callBound  = 2 * time.Second // of a call, without its wait
	followWait = time.Second     // also bounds how long a dead connection goes unnoticed
	retryWait  = 500 * time.Millisecond
)

// Response is the list, or the changes after a version.
type Response struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"` // VMs not listed no longer exist
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

// Changes returns what changed after version since, or the whole list if since
// is 0 or not known to the service. Without a change it waits, at most for wait.
// The call takes at most 2 s plus wait.
func (c *Client) Changes(ctx context.Context, since uint64, wait time.Duration) (Response, error) {
	var response Response
	err := c.http.Do(ctx, httpjson.Call{
		Method: "GET",
		Path:   fmt.Sprintf("/v1/vms?since=%d&wait_ms=%d", since, wait.Milliseconds()),
		Out:    &response,
		Bound:  callBound + wait,
	})
	return response, err
}

// Follower reports the list and its changes in order.
type Follower struct {
	client  *Client
	changed func(vms []api.VM, full bool)
	failed  func(err error)
}

// NewFollower returns a follower that calls changed for the whole list first and
// then for changes, and failed for every call that fails; failed may be nil.
// Both are called by one goroutine.
func NewFollower(client *Client, changed func(vms []api.VM, full bool), failed func(err error)) *Follower {
	return &Follower{client: client, changed: changed, failed: failed}
}

// Run follows the list until ctx ends and returns ctx's error. A failed call
// keeps the position and is repeated after 500 ms.
func (f *Follower) Run(ctx context.Context) error {
	since := uint64(0)
	for ctx.Err() == nil {
		response, err := f.client.Changes(ctx, since, followWait)
		if err != nil {
			f.fail(ctx, err)
			continue
		}
		if response.Full || len(response.VMs) > 0 {
			f.changed(response.VMs, response.Full)
		}
		if response.Full && response.Version == since {
			pause(ctx) // the service has no version to wait on
		}
		since = response.Version
	}
	return ctx.Err()
}

func (f *Follower) fail(ctx context.Context, err error) {
	if f.failed != nil && ctx.Err() == nil {
		f.failed(err)
	}
	pause(ctx)
}

func pause(ctx context.Context) {
	timer := time.NewTimer(retryWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
