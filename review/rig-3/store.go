//go:build review3

package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"time"
)

// verdict is what the store does with an append.
type verdict int

const (
	carryOut   verdict = iota
	loseAnswer         // it is carried out, and its connection returns nothing further
	turnAway           // 503: nothing is done
)

// appendCall is an append of records to the store.
type appendCall struct {
	topic, part, sequence string
	keys                  []string // of the records
	at                    time.Time
}

// Figures of the store on the sheet of kvows-hq.
const (
	answerTime = 4 * time.Millisecond
	writesPerS = 800
	readsPerS  = 2000
)

// rate limits calls to a number in any second.
type rate struct {
	perS  int
	calls []time.Time // of the last second
}

// allows counts a call and reports whether it is within the limit.
func (r *rate) allows(at time.Time) bool {
	for len(r.calls) > 0 && at.Sub(r.calls[0]) > time.Second {
		r.calls = r.calls[1:]
	}
	if len(r.calls) >= r.perS {
		return false
	}
	r.calls = append(r.calls, at)
	return true
}

// storeProxy stands before the store. It limits the rate of calls, and loses answers or turns calls
// away, as decide says.
type storeProxy struct {
	rig     *rig
	address string
	forward *httputil.ReverseProxy

	mu     sync.Mutex
	decide func(appendCall) verdict // nil carries all out
	// readsDown reports whether the partition of a topic is down for reads; nil if none is.
	readsDown func(topic string) bool
	writes    int // appends since the last reset
	lost      int
	away      int
	limit     map[bool]*rate // by whether a call writes
}

// newStoreProxy starts a proxy for the store.
func newStoreProxy(r *rig, store string) *storeProxy {
	p := &storeProxy{rig: r, forward: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})}
	p.forward.Transport = &http.Transport{MaxIdleConnsPerHost: 256}
	p.forward.ErrorLog = log.New(io.Discard, "", 0) // callers that leave are no errors
	p.limit = map[bool]*rate{true: {perS: writesPerS}, false: {perS: readsPerS}}
	server := httptest.NewServer(p)
	p.address = server.Listener.Addr().String()
	return p
}

// set replaces the functions that decide about appends and reads.
func (p *storeProxy) set(decide func(appendCall) verdict, readsDown func(topic string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decide, p.readsDown = decide, readsDown
	p.writes, p.lost, p.away = 0, 0, 0
}

// counts returns the appends since the last call of set, those whose answer was lost, and those that
// were turned away.
func (p *storeProxy) counts() (writes, lost, away int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes, p.lost, p.away
}

// ServeHTTP implements http.Handler.
func (p *storeProxy) ServeHTTP(c http.ResponseWriter, q *http.Request) {
	p.mu.Lock()
	allowed := p.limit[q.Method == http.MethodPost].allows(time.Now())
	p.mu.Unlock()
	time.Sleep(answerTime)
	if !allowed {
		c.WriteHeader(429)
		return
	}
	if q.URL.Path != "/log-append" {
		p.mu.Lock()
		down := p.readsDown != nil && p.readsDown(q.URL.Query().Get("topic"))
		p.mu.Unlock()
		if down {
			c.WriteHeader(503)
			return
		}
		p.forward.ServeHTTP(c, q)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return // the caller has left
	}
	q.Body = io.NopCloser(bytes.NewReader(body))
	query := q.URL.Query()
	call := appendCall{query.Get("topic"), query.Get("part"), query.Get("sequence"), recordKeys(body), time.Now()}
	p.mu.Lock()
	v := carryOut
	p.writes++
	if p.decide != nil {
		v = p.decide(call)
	}
	switch v {
	case loseAnswer:
		p.lost++
	case turnAway:
		p.away++
	}
	p.mu.Unlock()
	switch v {
	case turnAway:
		c.WriteHeader(503)
	case loseAnswer:
		answer := httptest.NewRecorder()
		p.forward.ServeHTTP(answer, q)
		p.rig.record("store: append to %s part %s sequence %s of %d records carried out (%d), its answer is lost", call.topic, call.part, call.sequence, len(call.keys), answer.Code)
		<-q.Context().Done() // until the caller closes the connection
	default:
		p.forward.ServeHTTP(c, q)
	}
}

// hasJob reports whether a record is about a whole job: its key is the job's ID.
func (c *appendCall) hasJob() bool {
	return slices.ContainsFunc(c.keys, func(key string) bool { return len(key) == jobIDLength })
}

const jobIDLength = 16

// recordKeys returns the keys of the records in the body of an append to a keyed topic that have a value.
func recordKeys(body []byte) (keys []string) {
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 {
			return keys
		}
		content := body[4 : 4+size]
		body = body[4+size:]
		if n := int(content[0]); n < len(content)-1 {
			keys = append(keys, string(content[1:1+n]))
		}
	}
	return keys
}
