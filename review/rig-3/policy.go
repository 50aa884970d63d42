//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// policy is a stand-in for the policy service as one calling machine sees it. It handles one call at
// a time from this machine, in turn, and permits all workers.
type policy struct {
	rig     *rig
	address string
	turn    sync.Mutex
	waiting atomic.Int32
}

// newPolicy starts the service for one machine.
func newPolicy(r *rig, index int) (*policy, error) {
	ln, err := net.Listen("tcp4", loopback(kindPolicy, index)+":0")
	if err != nil {
		return nil, err
	}
	p := &policy{rig: r, address: ln.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func() { _ = server.Serve(ln) }()
	return p, nil
}

// maxWaitingCalls is the number of waiting calls from which on the service refuses others.
const maxWaitingCalls = 32

func (p *policy) serve(c http.ResponseWriter, q *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil || q.URL.Path != "/advise" {
		c.WriteHeader(400)
		return
	}
	if p.waiting.Add(1) > maxWaitingCalls {
		p.waiting.Add(-1)
		c.WriteHeader(429)
		return
	}
	defer p.waiting.Add(-1)
	p.turn.Lock()
	time.Sleep(time.Duration(decisionMS+perWorkerMS*float64(len(in.Workers))) * time.Millisecond)
	p.turn.Unlock()
	until := time.Now().Add(validForMS * time.Millisecond).UnixMilli()
	allowed := [][2]string{}
	for _, id := range in.Workers {
		allowed = append(allowed, [2]string{id, fmt.Sprintf("%s/%s/%d", in.Step, id, until)})
	}
	p.rig.recordRun("advice: %s on %d workers", in.Step, len(in.Workers))
	answer(c, 200, map[string]any{"allowed": allowed, "validForMs": validForMS})
}

// validTicket reports whether a ticket allows the task on the worker now.
func (r *rig) validTicket(ticket, task, worker string) bool {
	parts := strings.Split(ticket, "/")
	if len(parts) != 3 || parts[1] != worker || !strings.HasPrefix(task, parts[0]+".") {
		return false
	}
	until, err := strconv.ParseInt(parts[2], 10, 64)
	return err == nil && time.Now().UnixMilli() <= until
}
