package platformlog

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/httpjson"
)

// CallBound is the longest time of a call without a wait. A log that takes
// longer is considered down.
const CallBound = 2 * time.Second

// AppendRequest is the body of an append; the records are added in order and
// all or none of them.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse tells the offsets that an append was given.
type AppendResponse struct {
	First uint64 `json:"first"`
	Next  uint64 `json:"next"` // the offset after the last record of the append
}

// Record is one record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"` // Unix time in milliseconds at which the log accepted it
	Data   []byte `json:"data"`
}

// ReadResponse is a part of a stream.
type ReadResponse struct {
	Records []Record `json:"records"`
	// Next is the end of the stream: the offset that the next record will get.
	Next        uint64 `json:"next"`
	Oldest      uint64 `json:"oldest"` // the oldest offset that the log keeps
	RetentionMS int64  `json:"retention_ms"`
}

// Client calls the log service. It is safe for concurrent use. Errors are
// *fault.Error; an append whose error has no 4xx status may have taken effect.
type Client struct{ http *httpjson.Client }

// NewClient returns a client of the log service at address (host:port).
func NewClient(address string) *Client {
	return &Client{http: httpjson.New(address, "the log service")}
}

// Close waits for abandoned requests and closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Append adds records to stream in one step. The call takes at most CallBound.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (AppendResponse, error) {
	var response AppendResponse
	err := c.http.Do(ctx, httpjson.Call{Method: "POST", Path: recordsPath(stream),
		In: AppendRequest{Records: records}, Out: &response, Bound: CallBound})
	return response, err
}

// Read returns at most limit records from the offset from, or from the oldest
// one if that is later. With no record there it waits for one, at most for
// wait. The call takes at most CallBound plus wait.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (ReadResponse, error) {
	return c.read(ctx, stream, from, limit, wait, CallBound+wait)
}

func (c *Client) read(ctx context.Context, stream string, from uint64, limit int, wait, bound time.Duration) (ReadResponse, error) {
	var response ReadResponse
	path := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", recordsPath(stream), from, limit, wait.Milliseconds())
	err := c.http.Do(ctx, httpjson.Call{Method: "GET", Path: path, Out: &response, Bound: bound})
	return response, err
}

func recordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}
