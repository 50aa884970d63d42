package platformlog_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/platformlog"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// reader records the calls of a tail. The data of a record is its ID.
type reader struct {
	mu       sync.Mutex
	records  []string
	gaps     []string
	states   []bool
	caughtUp int
	appender *platformlog.Appender
}

func (r *reader) Record(rec platformlog.Record) {
	r.appender.Seen(string(rec.Data))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, string(rec.Data))
}
func (r *reader) Gap(from, oldest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gaps = append(r.gaps, fmt.Sprint(from, "-", oldest))
}
func (r *reader) CaughtUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caughtUp++
}
func (r *reader) State(up bool, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states = append(r.states, up)
}

// waitUntil waits until ok returns true. It calls ok with the lock held.
func (r *reader) waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s: %d records, gaps %v, states %v", what, len(r.records), r.gaps, r.states)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// startLog starts a stand-in log service and a client of it.
func startLog(t *testing.T, config standin.LogConfig) (*standin.Platform, *platformlog.Client) {
	p, err := standin.Start(standin.Config{Log: config})
	assert.NilError(t, err)
	client := platformlog.NewClient(p.Addresses().Log)
	t.Cleanup(func() {
		assert.Check(t, p.Close())
		client.Close()
	})
	return p, client
}

// follow runs a tail and an appender of the stream "s" until the test ends.
func follow(t *testing.T, client *platformlog.Client) *reader {
	r := &reader{}
	tail := platformlog.NewTail(client, "s", r)
	r.appender = platformlog.NewAppender(tail, 5*time.Millisecond, func(id string, err error) {
		assert.Check(t, fault.KindOf(err) == fault.Invalid)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.records = append(r.records, "refused")
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = tail.Run(ctx) })
	wg.Go(func() { _ = r.appender.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return r
}

// TestLostAppendResponses guards against records that are lost, duplicated or
// reordered when appends take effect without a response.
func TestLostAppendResponses(t *testing.T) {
	for _, by504 := range []bool{false, true} {
		p, client := startLog(t, standin.LogConfig{})
		r := follow(t, client)
		const count = 300
		for i := range count {
			if i%100 == 50 {
				p.SetLogFaults(standin.LogFaults{LoseAppends: 2, LoseBy504: by504})
			}
			r.appender.Submit(fmt.Sprintf("%03d", i), []byte(fmt.Sprintf("%03d", i)))
			time.Sleep(time.Millisecond)
		}
		r.waitUntil(t, "all records", func() bool { return len(r.records) >= count })
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if r.appender.Len() == 0 {
				return poll.Success()
			}
			return poll.Continue("%d records in the appender", r.appender.Len())
		}, poll.WithTimeout(30*time.Second))
		response, err := client.Read(context.Background(), "s", 0, 1000, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(response.Records), count)
		for i, rec := range response.Records {
			assert.Equal(t, string(rec.Data), fmt.Sprintf("%03d", i))
		}
	}
}

// TestOutage guards against an outage that is not reported, and against records
// that are lost in it.
func TestOutage(t *testing.T) {
	p, client := startLog(t, standin.LogConfig{})
	r := follow(t, client)
	r.waitUntil(t, "up", func() bool { return len(r.states) == 1 && r.states[0] })
	p.SetLogFaults(standin.LogFaults{Down: true})
	r.waitUntil(t, "down", func() bool { return len(r.states) == 2 && !r.states[1] })
	r.appender.Submit("a", []byte("a"))
	r.appender.Submit("long", make([]byte, 2<<20)) // refused alone
	r.appender.Submit("b", []byte("b"))
	p.SetLogFaults(standin.LogFaults{})
	r.waitUntil(t, "records", func() bool { return len(r.records) == 3 && r.states[2] })
	assert.Equal(t, r.appender.Len(), 0)
	assert.Equal(t, r.caughtUp, 1)
}

// TestSilentLog guards against a log that is reported up although it has not
// responded for 2 s.
func TestSilentLog(t *testing.T) {
	p, client := startLog(t, standin.LogConfig{})
	r := follow(t, client)
	r.waitUntil(t, "up", func() bool { return len(r.states) == 1 })
	p.SetLogFaults(standin.LogFaults{DelayMS: 5000})
	r.waitUntil(t, "down", func() bool { return len(r.states) == 2 && !r.states[1] })
	p.SetLogFaults(standin.LogFaults{})
	r.waitUntil(t, "up again", func() bool { return len(r.states) == 3 })
}

// TestRetention guards against a tail that skips expired records without
// reporting a gap, and against one that reports a gap for records that expired
// before it started.
func TestRetention(t *testing.T) {
	_, client := startLog(t, standin.LogConfig{RetentionMS: 300})
	add := func(id string) {
		_, err := client.Append(context.Background(), "s", [][]byte{[]byte(id)})
		assert.NilError(t, err)
	}
	expired := func(next uint64) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			response, err := client.Read(context.Background(), "s", 0, 10, 0)
			if err == nil && response.Oldest == next {
				return poll.Success()
			}
			return poll.Continue("oldest %d, %v", response.Oldest, err)
		}, poll.WithTimeout(30*time.Second))
	}
	add("0")
	expired(1)
	r := &reader{}
	tail := platformlog.NewTail(client, "s", r)
	r.appender = platformlog.NewAppender(tail, 0, nil)
	run := func(until func() bool) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { _ = tail.Run(ctx) })
		r.waitUntil(t, "condition", until)
		cancel()
		wg.Wait()
	}
	run(func() bool { return len(r.states) == 1 })
	assert.Equal(t, len(r.gaps), 0)
	add("1")
	expired(2)
	add("2")
	run(func() bool { return len(r.gaps) == 1 })
	assert.Equal(t, r.gaps[0], "1-2")
}

// TestAppendLimit guards against an append refused by the rate limit of the log
// whose records are dropped, or which is resolved like an append without a
// response.
func TestAppendLimit(t *testing.T) {
	_, client := startLog(t, standin.LogConfig{AppendsPerSecond: 20})
	r := follow(t, client)
	for i := range 60 {
		r.appender.Submit(fmt.Sprint(i), []byte(fmt.Sprint(i)))
		time.Sleep(time.Millisecond)
	}
	r.waitUntil(t, "records", func() bool { return len(r.records) == 60 })
}

// TestSlowLink guards against a tail that never catches up because a full batch
// does not arrive in time. The log in this test responds to small reads only.
func TestSlowLink(t *testing.T) {
	const end, largest = 300, 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
		limit, _ := strconv.ParseUint(r.URL.Query().Get("max"), 10, 64)
		if limit > largest {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		response := platformlog.ReadResponse{Next: end}
		for offset := from; offset < min(from+limit, end); offset++ {
			response.Records = append(response.Records, platformlog.Record{Offset: offset})
		}
		_ = json.NewEncoder(w).Encode(response)
	}))
	defer server.Close()
	client := platformlog.NewClient(server.Listener.Addr().String())
	t.Cleanup(client.Close)
	r := follow(t, client)
	r.waitUntil(t, "the end of the stream", func() bool { return r.caughtUp == 1 })
}
