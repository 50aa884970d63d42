package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// rollLog is the stream "rolls" of the log service.
type rollLog interface {
	// Read returns records starting at offset from, or at the oldest record if
	// that is later. A page without records marks the end of the stream.
	Read(ctx context.Context, from uint64) (page, error)
	// Append adds records as one batch and returns the offset of the first. An
	// Invalid error means that nothing was appended. After any other error the
	// batch may or may not have been appended.
	Append(ctx context.Context, records [][]byte) (first uint64, err error)
}

// page is the log's response to a read.
type page struct {
	Records []pageRecord `json:"records"`
	Next    uint64       `json:"next"`   // offset after the last record of the stream
	Oldest  uint64       `json:"oldest"` // offset of the oldest record kept
}

// pageRecord is one record of a page.
type pageRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

const (
	maxPageRecords = 64       // per read, to limit the size of the response
	maxPageBytes   = 64 << 20 // maxPageRecords records of the largest size in base64
	requestTimeout = 5 * time.Second
	rollsPath      = "/v1/streams/rolls/records"
)

// httpLog is a rollLog that uses the HTTP API of the log service.
type httpLog struct {
	url  string
	http fasthttp.Client
}

func newHTTPLog(addr string) rollLog {
	return &httpLog{url: "http://" + addr + rollsPath, http: fasthttp.Client{
		MaxResponseBodySize: maxPageBytes,
		// The caller reads the log back before it repeats an append, so the HTTP
		// client must not retry by itself.
		MaxIdemponentCallAttempts: 1,
	}}
}

func (l *httpLog) Read(ctx context.Context, from uint64) (page, error) {
	var p page
	uri := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=0", l.url, from, maxPageRecords)
	return p, l.do(ctx, fasthttp.MethodGet, uri, nil, &p)
}

func (l *httpLog) Append(ctx context.Context, records [][]byte) (uint64, error) {
	body, err := json.Marshal(map[string][][]byte{"records": records})
	if err != nil {
		return 0, err
	}
	var response struct {
		First uint64 `json:"first"`
	}
	err = l.do(ctx, fasthttp.MethodPost, l.url, body, &response)
	return response.First, err
}

// do sends a request and decodes the JSON response into response.
func (l *httpLog) do(ctx context.Context, method, uri string, body []byte, response any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	req.SetRequestURI(uri)
	req.SetBodyRaw(body)
	deadline := time.Now().Add(requestTimeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	const remedy = "check the address of the log; if it is correct, try again when the log is available"
	if err := l.http.DoDeadline(req, resp, deadline); err != nil {
		return fault.Wrap(fault.LogDown, err, "the log does not answer", remedy)
	}
	status := resp.StatusCode()
	if status >= 400 && status < 500 && status != fasthttp.StatusTooManyRequests {
		return fault.New(fault.Invalid, fmt.Sprintf("the log refused the request with status %d", status), "check the address of the log")
	}
	if status != fasthttp.StatusOK {
		return fault.New(fault.LogDown, fmt.Sprintf("the log responded with status %d", status), remedy)
	}
	if err := json.Unmarshal(resp.Body(), response); err != nil {
		return fault.Wrap(fault.LogDown, err, "the log sent a response that cannot be decoded", remedy)
	}
	return nil
}
