package test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"gotest.tools/v3/assert"
)

// badInputs returns malformed and oversized input, by description.
func badInputs() map[string][]byte {
	post := func(path, headers string, body string) []byte {
		return []byte("POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + token +
			"\r\n" + headers + "\r\n" + body)
	}
	job := func(body string) []byte {
		return post("/v1/jobs", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
	}
	long := strings.Repeat("x", 2<<20)
	return map[string][]byte{
		"no HTTP":                []byte("\x16\x03\x01\x02\x00\x01\x00\xff\xfe garbage\r\n\r\n"),
		"zero bytes":             make([]byte, 64<<10),
		"long request line":      []byte("GET /" + long + " HTTP/1.1\r\nHost: x\r\n\r\n"),
		"long header":            []byte("GET /livez HTTP/1.1\r\nHost: x\r\nA: " + long + "\r\n\r\n"),
		"many headers":           []byte("GET /livez HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 100_000) + "\r\n"),
		"long body":              job(long),
		"huge declared body":     post("/v1/jobs", "Content-Length: 999999999999\r\n", "{}"),
		"negative length":        post("/v1/jobs", "Content-Length: -1\r\n", "{}"),
		"endless chunks":         post("/v1/jobs", "Transfer-Encoding: chunked\r\n", strings.Repeat("fff\r\n"+long[:0xfff]+"\r\n", 500)),
		"wrong chunk size":       post("/v1/jobs", "Transfer-Encoding: chunked\r\n", "ffffffffffffffff\r\nx\r\n"),
		"broken JSON":            job(`{"class": "urgent"`),
		"deep JSON":              job(strings.Repeat(`{"payload":[`, 50_000)),
		"deep payload":           job(`{"workspace":"desk","class":"urgent","kind":"request","tasks":1,"payload":` + strings.Repeat("[", 100_000)),
		"wrong types":            job(`{"workspace":7,"class":[],"kind":{},"tasks":"x"}`),
		"null":                   job(`null`),
		"large numbers":          job(`{"workspace":"desk","class":"urgent","kind":"request","tasks":1,"resources":{"cpu_milli":9223372036854775807,"slots":9223372036854775807}}`),
		"large times":            job(`{"workspace":"desk","class":"urgent","kind":"request","tasks":1,"deadline_ms":9223372036854775807,"run_time_ms":9223372036854775807}`),
		"large gang":             job(`{"workspace":"desk","class":"bulk","kind":"gang","tasks":1000,"resources":{"memory_mb":9223372036854775807}}`),
		"malformed id":           job(`{"id":"....","workspace":"desk","class":"urgent","kind":"request","tasks":1}`),
		"id of unknown process":  job(`{"id":"x.ffffffffffffffff.18446744073709551616","workspace":"desk","class":"urgent","kind":"request","tasks":1}`),
		"cancel of malformed id": []byte("DELETE /v1/jobs/%00%ff%2f..%2f?workspace=desk HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + token + "\r\n\r\n"),
		"overflowing wait":       []byte("GET /v1/jobs/a?workspace=desk&wait_ms=99999999999999999999 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + token + "\r\n\r\n"),
		"upgrade without key":    []byte("GET /v1/peer HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"),
	}
}

// TestBadInput guards against malformed or oversized input on one of the listeners
// that makes the process exit or stop serving.
func TestBadInput(t *testing.T) {
	t.Parallel()
	c := startCell(t, defaultOptions())
	e := c.entries["entry-1"]
	for listener, address := range map[string]string{
		"caller": e.address.Caller, "peer": e.address.Peer, "operator": e.address.Operator,
	} {
		for name, input := range badInputs() {
			sendRaw(t, address, input)
			c.checkServes(e, listener+": "+name)
		}
	}
	c.checkWorkers()
}

// readTimeout limits reading from a connection that the process may keep open
// because it expects more input.
const readTimeout = 300 * time.Millisecond

// sendRaw sends input on a new connection and discards the response.
func sendRaw(t *testing.T, address string, input []byte) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(readTimeout))
	_, _ = connection.Write(input)
	_, _ = io.Copy(io.Discard, connection)
}

// checkServes fails unless the process is ready and completes a request.
func (c *cell) checkServes(e *entry, after string) {
	c.t.Helper()
	assert.Assert(c.t, e.readiness().Ready, "not ready after %s", after)
	j := request(0, 10)
	answer := c.client(e.name).Submit(context.Background(), j)
	c.checkAnswer(j, answer)
}

// TestBadPeerMessages guards against malformed frames on the peer listener that make
// the process exit or stop serving.
func TestBadPeerMessages(t *testing.T) {
	t.Parallel()
	c := startCell(t, defaultOptions())
	e := c.entries["entry-1"]
	hello := []byte("\x01\xa5\x01\x67entry-0\x02\x01\x03\x61a\x04\x01\x06\x01")
	for name, frames := range map[string][][]byte{
		"empty frame":             {{}},
		"garbage":                 {bytes.Repeat([]byte{0xff}, 1000)},
		"long frame":              {make([]byte, 8<<20)},
		"no hello":                {{0x02, 0xa0}},
		"empty hello":             {{0x01, 0xa0}},
		"truncated hello":         {hello[:8]},
		"hello twice":             {hello, hello},
		"hello and garbage":       {hello, bytes.Repeat([]byte{0xfe}, 100)},
		"hello and deep CBOR":     {hello, append([]byte{0x02}, bytes.Repeat([]byte{0x81}, 10_000)...)},
		"hello and long message":  {hello, make([]byte, 8<<20)},
		"hello and unknown frame": {hello, {0xc8, 0xa0}},
	} {
		sendFrames(t, e.address.Peer, frames)
		c.checkServes(e, name)
	}
	c.awaitHeld(4)
	c.checkWorkers()
}

// sendFrames opens a peer's WebSocket connection and sends the frames.
func sendFrames(t *testing.T, address string, frames [][]byte) {
	t.Helper()
	connection, response, err := websocket.DefaultDialer.Dial("ws://"+address+"/v1/peer", nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	defer connection.Close()
	_ = connection.SetWriteDeadline(time.Now().Add(readTimeout))
	for _, frame := range frames {
		_ = connection.WriteMessage(websocket.BinaryMessage, frame)
	}
	_ = connection.SetReadDeadline(time.Now().Add(readTimeout))
	for err == nil {
		_, _, err = connection.ReadMessage()
	}
}
