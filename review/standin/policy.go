//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the policy service.
const (
	policyDecision  = 9300 * time.Microsecond
	policyPerWorker = 130 * time.Microsecond
	policyValid     = 1500 * time.Millisecond
)

// policy is a stand-in for the policy service. It allows every worker. Steps of queues
// without advice need no ticket.
type policy struct {
	address string
	fleet   *fleet

	mu      sync.Mutex
	free    map[string]bool // jobs of queues without advice
	tickets map[string]time.Time
}

func newPolicy(ip string) (*policy, error) {
	p := &policy{free: map[string]bool{}, tickets: map[string]time.Time{}}
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", p.advise)
	go func() { _ = http.Serve(ln, mux) }()
	return p, nil
}

func (p *policy) advise(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(policyDecision + time.Duration(len(in.Workers))*policyPerWorker)
	lives := map[string]int{}
	p.fleet.mu.Lock()
	for _, worker := range p.fleet.workers {
		lives[worker.id] = worker.lives
	}
	p.fleet.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	allowed := [][2]string{}
	for _, id := range in.Workers {
		ticket := fmt.Sprintf("%s %s %d %d", in.Step, id, lives[id], len(p.tickets))
		p.tickets[ticket] = time.Now().Add(policyValid)
		allowed = append(allowed, [2]string{id, ticket})
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answerJSON(map[string]any{"allowed": allowed, "validForMs": policyValid.Milliseconds()}))
}

// valid reports whether a start of a step on a life of a worker may carry the ticket.
func (p *policy) valid(step, worker string, life int, ticket string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if job, _, _ := strings.Cut(step, "."); p.free[job] {
		return true
	}
	return strings.HasPrefix(ticket, fmt.Sprintf("%s %s %d ", step, worker, life)) && time.Now().Before(p.tickets[ticket])
}
