package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// rollLog is what the tool needs of the log service: stream rolls only.
type rollLog interface {
	// Read returns records from offset from on, or from the oldest record if
	// that is later. A page without records means the end of the stream.
	Read(ctx context.Context, from uint64) (page, error)
	// Append adds records as one batch and returns the offset of the first. An
	// Invalid error means that nothing was appended. After any other error it
	// is not known whether the batch was appended.
	Append(ctx context.Context, records [][]byte) (first uint64, err error)
}

// page is the log's answer to a read.
type page struct {
	Records []pageRecord `json:"records"`
	Next    uint64       `json:"next"`
	Oldest  uint64       `json:"oldest"`
}

type pageRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

const (
	pageRecords      = 64       // in one read; bounds the size of the answer
	maxPageBytes     = 64 << 20 // pageRecords of the largest records in base64
	requestTimeout   = 5 * time.Second
	rollsStreamsPath = "/v1/streams/rolls/records"
)

type httpLog struct {
	url  string
	http fasthttp.Client
}

func newHTTPLog(addr string) rollLog {
	return &httpLog{url: "http://" + addr + rollsStreamsPath, http: fasthttp.Client{
		MaxResponseBodySize: maxPageBytes,
		// A repeated append is decided by reading back, never by the client.
		MaxIdemponentCallAttempts: 1,
	}}
}

func (l *httpLog) Read(ctx context.Context, from uint64) (page, error) {
	var p page
	uri := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=0", l.url, from, pageRecords)
	return p, l.do(ctx, fasthttp.MethodGet, uri, nil, &p)
}

func (l *httpLog) Append(ctx context.Context, records [][]byte) (uint64, error) {
	body, err := json.Marshal(map[string][][]byte{"records": records})
	if err != nil {
		return 0, err
	}
	var answer struct {
		First uint64 `json:"first"`
	}
	err = l.do(ctx, fasthttp.MethodPost, l.url, body, &answer)
	return answer.First, err
}

func (l *httpLog) do(ctx context.Context, method, uri string, body []byte, answer any) error {
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
	const remedy = "check the address of the log; if it is right, try again when the log is back"
	if err := l.http.DoDeadline(req, resp, deadline); err != nil {
		return fault.Wrap(fault.LogDown, err, "the log does not answer", remedy)
	}
	status := resp.StatusCode()
	if status >= 400 && status < 500 && status != fasthttp.StatusTooManyRequests {
		return fault.New(fault.Invalid, fmt.Sprintf("the log refused the request with status %d", status), "check the address of the log")
	}
	if status != fasthttp.StatusOK {
		return fault.New(fault.LogDown, fmt.Sprintf("the log answered status %d", status), remedy)
	}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return fault.Wrap(fault.LogDown, err, "the log sent an answer that cannot be read", remedy)
	}
	return nil
}
