package platformlog

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/httpjson"
)

// CallTimeout is the timeout of a call that does not wait for records. A log that
// does not respond within it is considered down.
const CallTimeout = 2 * time.Second

// responseTime is the longest time that the log takes to respond, beyond the time for which it
// waits for records, over a connection that works.
const responseTime = 500 * time.Millisecond

// AppendRequest is the body of an append. Either all records are appended, in
// order, or none.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse holds the offsets of the appended records.
type AppendResponse struct {
	First uint64 `json:"first"` // offset of the first record
	Next  uint64 `json:"next"`  // offset after the last record
}

// Record is one record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"` // Unix time in milliseconds when the log accepted the record
	Data   []byte `json:"data"`
}

// ReadResponse holds consecutive records of a stream.
type ReadResponse struct {
	Records []Record `json:"records"`
	// Next is the end of the stream: the offset of the next record appended.
	Next        uint64 `json:"next"`
	Oldest      uint64 `json:"oldest"`       // the oldest offset that the log still holds
	RetentionMS int64  `json:"retention_ms"` // how long the log keeps a record, in milliseconds
}

// Client calls the log service. It is safe for concurrent use. Its errors are
// *fault.Error. A failed append may have taken effect unless the status of its
// error is 4xx.
type Client struct{ http *httpjson.Client }

// NewClient returns a client of the log service at address (host:port).
func NewClient(address string) *Client {
	return &Client{http: httpjson.New(address, "the log service")}
}

// Close waits for abandoned requests and closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Append appends records to stream atomically. The call takes at most CallTimeout.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (AppendResponse, error) {
	var response AppendResponse
	err := c.http.Do(ctx, httpjson.Call{Method: "POST", Path: recordsPath(stream),
		Body: AppendRequest{Records: records}, Response: &response, Timeout: CallTimeout})
	return response, err
}

// Read returns at most limit records, starting at offset from or at the oldest
// record if that is later. If there is none, it waits for one for at most wait.
// The call takes at most CallTimeout plus wait.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (ReadResponse, error) {
	return c.read(ctx, stream, from, limit, wait, CallTimeout+wait)
}

func (c *Client) read(ctx context.Context, stream string, from uint64, limit int, wait, timeout time.Duration) (ReadResponse, error) {
	var response ReadResponse
	path := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", recordsPath(stream), from, limit, wait.Milliseconds())
	err := c.http.Do(ctx, httpjson.Call{Method: "GET", Path: path, Response: &response, Timeout: timeout, Expected: wait + responseTime})
	return response, err
}

func recordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}
