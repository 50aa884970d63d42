package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "order-desk"
	host        = "nony24.example"
	nodeCount   = 8
	memoryMB    = 284
)

var zones = []string{"scot-west-a", "scot-west-b", "scot-west-c", "scot-west-d"}

// advice is the cost of a call for advice on a queue, and the share of the workers that it
// allows.
type advice struct {
	DecisionMS  float64 `json:"decisionMs"`
	PerWorkerMS float64 `json:"perWorkerMs"`
	ValidForMS  int64   `json:"validForMs"`
	good        float64
}

// queue is a route of the configuration.
type queue struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"pathPrefix"`
	Type            string  `json:"type"`
	TimeoutMS       int     `json:"timeoutMs"`
	Service         string  `json:"service"`
	Priority        int     `json:"priority"`
	MaxAttempts     int     `json:"maxAttempts"`
	SlackFactor     float64 `json:"slackFactor"`
	TargetLatencyMS int     `json:"targetLatencyMs"`
	Advice          *advice `json:"advice,omitempty"`
}

// The queues have the figures of the site cl-fulmar. The plain ones have no advice.
var (
	menuPlan    = &queue{Name: "menu-plan", Prefix: "/lohu930/", Priority: 1, MaxAttempts: 3, SlackFactor: 2.2, TargetLatencyMS: 1000, Advice: &advice{650, 9.2, 1500, 0.25}}
	growerMatch = &queue{Name: "grower-match", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 2, SlackFactor: 4, TargetLatencyMS: 3000, Advice: &advice{53, 0.75, 1500, 0.45}}
	depotLookup = &queue{Name: "depot-lookup", Prefix: "/pule252/", Priority: 0, MaxAttempts: 2, SlackFactor: 1.5, TargetLatencyMS: 250, Advice: &advice{9.3, 0.13, 1500, 0.7}}
	plainPlan   = &queue{Name: "plain-plan", Prefix: "/moda118/", Priority: 1, MaxAttempts: 3, SlackFactor: 2.2, TargetLatencyMS: 1000}
	plainMatch  = &queue{Name: "plain-match", Prefix: "/kino552/", Priority: 2, MaxAttempts: 2, SlackFactor: 4, TargetLatencyMS: 3000}
	plainLookup = &queue{Name: "plain-lookup", Prefix: "/sela407/", Priority: 0, MaxAttempts: 2, SlackFactor: 1.5, TargetLatencyMS: 250}
	queues      = []*queue{menuPlan, growerMatch, depotLookup, plainPlan, plainMatch, plainLookup}
)

// step is a step of a job as the client sends it.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	MemMB       int64 `json:"memMb"`
	EstimateMS  int64 `json:"estimatedMs,omitempty"`
	After       []int `json:"after,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	PerWorker   int   `json:"antiAffinity,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
}

// job is a job of a client. world.mu guards what follows the body.
type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Repeat     int    `json:"repeatCount,omitempty"`
	StartAtMS  int64  `json:"startAtMs,omitempty"`
	IntervalMS int64  `json:"intervalMs,omitempty"`

	id      string
	queue   *queue
	runTime time.Duration // of each task
	quiet   bool          // its runs are not recorded one by one

	accepted time.Time
	starts   int
	done     map[string]bool // tasks
}

// record records what happens to a run, unless the job is quiet.
func (j *job) record(format string, args ...any) {
	if !j.quiet {
		rec.add(format, args...)
	}
}

// recorder writes record.txt. The times are seconds since the start of the play.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// node is an entry process and its machine.
type node struct {
	name, zone, ip string
	settings       string // path
	log            string // path

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	closed bool
}

// theWorld is everything around the entry processes.
type theWorld struct {
	mu      sync.Mutex
	store   *store
	nodes   []*node
	workers []*worker
	jobs    map[string]*job
	lastRun map[string]time.Time // when the last run of a task ended
	tickets map[string]time.Time // when a ticket was issued
	dir     string
	net     string // first three bytes of the addresses
}

var (
	world *theWorld
	rec   *recorder
	root  string
)

// address returns an address of the deployment's network, which is on loopback.
func (w *theWorld) address(last, port int) string { return fmt.Sprintf("%s.%d:%d", w.net, last, port) }

// chooseNet finds a part of the loopback network in which the ports are free.
func (w *theWorld) chooseNet() error {
	for range 20 {
		w.net = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		ln, err := net.Listen("tcp4", w.address(10, 8161))
		if err == nil {
			return ln.Close()
		}
	}
	return fmt.Errorf("no loopback addresses are free")
}

func serveAt(address string, h http.Handler) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(ln, h) }()
	return nil
}

// build starts the platform, the workers and the entry processes, and waits until all of these
// are ready.
func build(out string, workerCount int) error {
	file, err := os.Create(out)
	if err != nil {
		return err
	}
	rec = &recorder{file: file, start: time.Now()}
	world = &theWorld{jobs: map[string]*job{}, lastRun: map[string]time.Time{}, tickets: map[string]time.Time{}}
	if world.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		return err
	}
	if err := world.chooseNet(); err != nil {
		return err
	}
	world.store = newStore()
	if err := serveAt(world.address(1, 8169), world.store); err != nil {
		return err
	}
	if err := serveAt(world.address(2, 8169), http.HandlerFunc(listMachines)); err != nil {
		return err
	}
	for i := range workerCount {
		w := &worker{machine: fmt.Sprintf("m-%05d", i), zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-%d", i%len(zones)+1, i/24+1), address: world.address(100+i, 8200)}
		world.workers = append(world.workers, w)
	}
	for _, w := range world.workers {
		if err := w.begin(); err != nil {
			return err
		}
	}
	go func() {
		for ; ; time.Sleep(5 * time.Millisecond) {
			world.mu.Lock()
			for _, w := range world.workers {
				w.tick(time.Now())
			}
			world.mu.Unlock()
		}
	}()
	putConfig()
	for i := range nodeCount {
		if err := startNode(i); err != nil {
			return err
		}
	}
	return awaitReady(20 * time.Second)
}

func putConfig() {
	for _, q := range queues {
		q.Host, q.Type, q.TimeoutMS, q.Service = host, "unsafe", 3000, serviceName
	}
	data, err := json.Marshal(map[string]any{
		"version": 7, "routes": queues,
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	world.store.put("keyed.op", "config", data)
}

// fields are the fields of a process's settings, as the pages list them.
func fields(n *node, index int) map[string]any {
	return map[string]any{
		"nodeName": n.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": n.ip, "zone": n.zone, "region": "scot-west",
		"zones":       map[string]string{zones[0]: "scot-west", zones[1]: "scot-west", zones[2]: "scot-west", zones[3]: "scot-west"},
		"listenAddrs": map[string]string{"front": n.ip + ":8161", "ready": n.ip + ":8167"}, "internalPorts": []int{7720, 7735},
		"seeds": []string{}, "bootstrap": n.starts == 0, "countsAsLoss": true,
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": maxHoldMS, "stopTimeoutMs": 400,
			"gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "spreadFactor": 3,
			"checkpointS": 0.5, "restoreMs": 100, "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2, "enforceFencing": true, "leaseMs": 3000,
			"thawSlackMs": 300, "paceMs": 100, "interferenceMs": 4000,
		},
		"controlMode": "request", "advice": world.address(50+index, 8169),
		"platform": map[string]any{
			"address": world.address(1, 8169), "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 16, "appendMs": 3.0, "partMbPerS": 20.0,
			"readMbPerS": 80.0, "recordBytes": recordBytes, "requestBytes": requestBytes, "keep_s": 300, "partitionMb": 200, "minTtlMs": 1000,
		},
		"cloud": map[string]any{"address": world.address(2, 8169), "ratePerS": 60.0, "duties": []string{}, "dutyPerS": 60.0},
	}
}

// startNode starts an entry process with the command, the environment and the template of the
// deploy file.
func startNode(index int) error {
	n := &node{name: fmt.Sprintf("edge-%s-%d", zones[index%len(zones)], index/len(zones)+1), zone: zones[index%len(zones)], ip: fmt.Sprintf("%s.%d", world.net, 10+index)}
	n.settings, n.log = filepath.Join(world.dir, n.name+".conf"), filepath.Join(world.dir, n.name+".log")
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.json.tmpl"))
	if err != nil {
		return err
	}
	data, err := json.Marshal(fields(n, index))
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, []byte(strings.ReplaceAll(string(template), "{{.|json}}", string(data))), 0o600); err != nil {
		return err
	}
	if err := serveAt(world.address(50+index, 8169), &policy{}); err != nil {
		return err
	}
	world.nodes = append(world.nodes, n)
	go n.keepRunning()
	return nil
}

// restartDelay is the delay before a process is started again that has ended.
const restartDelay = time.Second

// keepRunning starts the process, and starts it again when it has ended.
func (n *node) keepRunning() {
	for {
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			return
		}
		log, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			panic(err)
		}
		cmd := exec.Command(filepath.Join(root, "target", "fulmarlatch-entry"))
		cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "FULMARLATCH_NODE_FILE=" + n.settings}
		if err := cmd.Start(); err != nil {
			panic(err)
		}
		n.cmd = cmd
		n.starts++
		starts := n.starts
		n.mu.Unlock()
		if starts > 1 {
			rec.add("process %s is started again (start %d)", n.name, starts)
		}
		_ = cmd.Wait()
		_ = log.Close()
		n.mu.Lock()
		closed := n.closed
		n.mu.Unlock()
		if closed {
			return
		}
		rec.add("process %s has ended", n.name)
		time.Sleep(restartDelay)
	}
}

// closeAll ends all processes and removes their files.
func closeAll() {
	if world == nil {
		return
	}
	for _, n := range world.nodes {
		n.mu.Lock()
		n.closed = true
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(world.dir)
	} else {
		fmt.Println("logs:", world.dir)
	}
}

// awaitReady waits until all entry processes and a holder are ready.
func awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for start := time.Now(); time.Since(start) < limit; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range world.nodes {
			if r, err := client.Get("http://" + n.ip + ":8167/ready"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == nodeCount {
			rec.add("all %d entry processes are ready; %d workers are registered", ready, world.store.registered())
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the entry processes are not ready")
}

// policy is the policy service, as one machine sees it: it takes one call at a time.
type policy struct{ mu sync.Mutex }

// allowed tells whether a step may run on a worker, which does not change.
func allowed(step, id string, good float64) bool {
	h := fnv.New64a()
	_, _ = io.WriteString(h, step+"|"+id)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x%10000) < good*10000
}

func (p *policy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, _, _ := strings.Cut(in.Step, ".")
	world.mu.Lock()
	j := world.jobs[id]
	world.mu.Unlock()
	if j == nil || j.queue.Advice == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a := j.queue.Advice
	time.Sleep(time.Duration((a.DecisionMS + a.PerWorkerMS*float64(len(in.Workers))) * float64(time.Millisecond)))
	rows := [][2]string{}
	world.mu.Lock()
	for _, worker := range in.Workers {
		if allowed(in.Step, worker, a.good) {
			ticket := in.Step + "|" + worker
			world.tickets[ticket] = time.Now()
			rows = append(rows, [2]string{worker, ticket})
		}
	}
	world.mu.Unlock()
	j.record("advice for %s: %d of %d workers are allowed", in.Step, len(rows), len(in.Workers))
	answer(w, http.StatusOK, map[string]any{"allowed": rows, "validForMs": a.ValidForMS})
}

// ticketValid tells whether a start carries a valid ticket. world.mu must be held.
func (w *theWorld) ticketValid(ticket, step, id string) bool {
	at, known := w.tickets[ticket]
	return known && ticket == step+"|"+id && time.Since(at) < ticketsValid
}

// listMachines serves the list of machines. No wave is asked for.
func listMachines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/machines" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	rows := []any{}
	for _, m := range world.workers {
		state := "up"
		if !m.up {
			state = "down"
		}
		rows = append(rows, map[string]any{"machine": m.machine, "pool": serviceName, "state": state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int64{"cpu": m.capacity, "memMb": workerMemMB, "gpu": 0}, "id": m.id})
	}
	answer(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

// newJob makes a job known to the workers, so that they can tell what it asks for.
func newJob(q *queue, runTime time.Duration, steps ...step) *job {
	j := &job{Spec: "review", Steps: steps, id: fmt.Sprintf("%016x", rand.Uint64()), queue: q, runTime: runTime, done: map[string]bool{}}
	world.mu.Lock()
	world.jobs[j.id] = j
	world.mu.Unlock()
	return j
}

// requestTimeout is how long a client waits for an answer.
const requestTimeout = 3 * time.Second

// call sends a request of a client to a random entry process. The status is 0 without an answer.
func call(method, path string, body []byte, timeout time.Duration) (status int, answer []byte, by string) {
	n := world.nodes[rand.IntN(len(world.nodes))]
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.ip+":8161"+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Deadline", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, n.name
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ = io.ReadAll(response.Body)
	return response.StatusCode, answer, n.name
}

// submit hands the job in. After no answer, a 502, a 503 or a 504 it sends the request again,
// up to the given number of attempts.
func (j *job) submit(attempts int) bool {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	for i := range attempts {
		if i > 0 {
			time.Sleep(time.Second)
		}
		status, _, by := call("POST", j.queue.Prefix+j.id, body, requestTimeout)
		rec.add("client sends POST %s%s (%s) to %s: %d", j.queue.Prefix, j.id, j.describe(), by, status)
		if status == 200 {
			world.mu.Lock()
			j.accepted = time.Now()
			world.mu.Unlock()
			return true
		}
	}
	return false
}

// describe tells what a job asks for.
func (j *job) describe() string {
	var out []string
	for _, s := range j.Steps {
		kind := "tasks"
		if s.Gang {
			kind = "tasks as a gang"
		}
		if s.LongRunning {
			kind = "tasks that last"
		}
		out = append(out, fmt.Sprintf("%d %s of %d cpu", s.Count, kind, s.CPU))
	}
	if j.Repeat > 0 {
		out = append(out, fmt.Sprintf("%d times, every %d ms, from %d ms on", j.Repeat, j.IntervalMS, j.StartAtMS))
	}
	return strings.Join(out, ", ")
}

// state asks for the state of the job, from up to five processes. It is a status code if no
// answer is a state, and 0 if there is no answer.
func (j *job) state() string {
	last := ""
	for range 5 {
		status, body, _ := call("GET", j.queue.Prefix+j.id, nil, requestTimeout)
		var in struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal(body, &in) == nil && in.State != "" {
			return in.State
		}
		last = strconv.Itoa(status)
	}
	return last
}

// cancel cancels the job with one DELETE and returns its status.
func (j *job) cancel(timeout time.Duration) int {
	status, _, by := call("DELETE", j.queue.Prefix+j.id, nil, timeout)
	rec.add("client sends DELETE %s%s to %s: %d", j.queue.Prefix, j.id, by, status)
	return status
}

// running returns how many tasks of the job are running.
func (j *job) running() int {
	world.mu.Lock()
	defer world.mu.Unlock()
	n := 0
	for _, w := range world.workers {
		for _, r := range w.running {
			if r.job == j {
				n++
			}
		}
	}
	return n
}

// room returns how many tasks of a step of the job fit at present on the workers on which it may
// run, and the share of the service's cpu that is in use.
func (j *job) room(index int) (tasks int64, inUse float64) {
	world.mu.Lock()
	defer world.mu.Unlock()
	var used, all int64
	for _, w := range world.workers {
		if !w.up {
			continue
		}
		cpu, _ := w.used()
		used, all = used+cpu, all+w.capacity
		if a := j.queue.Advice; a == nil || allowed(fmt.Sprintf("%s.0.%d", j.id, index), w.id, a.good) {
			tasks += w.fits(&j.Steps[index])
		}
	}
	return tasks, float64(used) / float64(max(all, 1))
}

// onSignal stops the play early if the script is told to end.
func onSignal(signals chan os.Signal) {
	<-signals
	closeAll()
	os.Exit(2)
}
