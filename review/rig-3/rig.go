//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fulmarlatch/fulmarlatch/platform/platformtest"
)

// Figures of the site kvows-hq.
const (
	serviceName = "enquiry-desk"
	hostName    = "nony24.example"
	maxHoldMS   = 10_000
	contact     = 3 * time.Second

	decisionMS  = 630.0
	perWorkerMS = 9.0
	validForMS  = 2500
)

// bounds are those of the sheet of kvows-hq.
var bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
	"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": maxHoldMS,
	"stopTimeoutMs": 900, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
	"spreadFactor": 3, "checkpointS": 1, "restoreMs": 600, "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2, "enforceFencing": true,
	"leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100, "interferenceMs": 4000,
}

// queue is a queue of the configuration.
type queue struct {
	name, prefix string
	advice       bool
}

// job is a job that a client has sent.
type job struct {
	id, spec string
	queue    *queue
	tasks    int
	lasts    bool // its tasks last
	cpu, mem int64
	workMS   int64
	accepted time.Time
	// behave says how the nth run of a task (from 1) goes on; nil for one that ends done after workMS.
	behave func(task string, n int) behavior
	runs   map[string][]*taskRun // by task
}

// entryProcess is an entry process of the project.
type entryProcess struct {
	name, ip, front, ready string
	settings               string // path
	cmd                    *exec.Cmd
}

// rig is one play of a case.
type rig struct {
	binary  string
	folder  string // temporary
	store   *platformtest.Log
	proxy   *storeProxy // through which the entry processes reach the store
	workers []*worker
	entries []*entryProcess
	queues  []*queue
	began   time.Time
	client  *http.Client
	output  *os.File // logs of the processes

	mu         sync.Mutex
	recordFile *os.File
	jobs       map[string]*job
	quietRuns  bool // runs of jobs with tasks that end are not recorded one by one
	violations []string
}

// newRig starts the stand-ins and the entry processes, and waits until they are ready.
func newRig(binary, dir string, entries, workers int, queues ...*queue) (*rig, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	r := &rig{
		binary: binary, folder: folder, queues: queues, began: time.Now(), recordFile: record, jobs: map[string]*job{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if r.output, err = os.Create(filepath.Join(folder, "entries.log")); err != nil {
		return nil, err
	}
	if r.store, err = platformtest.NewLog(); err != nil {
		return nil, err
	}
	r.proxy = newStoreProxy(r, r.store.Address)
	r.configure()
	for i := range workers {
		w, err := newWorker(r, i)
		if err != nil {
			return nil, err
		}
		r.workers = append(r.workers, w)
	}
	for i := range entries {
		if err := r.addEntry(i); err != nil {
			return nil, err
		}
	}
	return r, r.awaitReady(20 * time.Second)
}

// configure writes the configuration to the store.
func (r *rig) configure() {
	routes := []map[string]any{}
	for _, q := range r.queues {
		route := map[string]any{
			"name": q.name, "host": hostName, "pathPrefix": q.prefix, "type": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
			"priority": 1, "service": serviceName, "maxAttempts": 2, "slackFactor": 2.2,
		}
		if q.advice {
			route["advice"] = map[string]any{"decisionMs": decisionMS, "perWorkerMs": perWorkerMS, "validForMs": validForMS}
		}
		routes = append(routes, route)
	}
	r.store.Put("keyed.op", "config", map[string]any{
		"version": 1, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// addressBase is the second byte of the loopback addresses of this play, so that several plays may
// run at the same time: the operator port of entry processes is fixed.
var addressBase = 16 + os.Getpid()%200

// loopback returns the loopback address of a stand-in or process of a kind.
func loopback(kind, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", addressBase, kind, index+1)
}

// Kinds of stand-ins and processes.
const (
	kindWorker = iota + 1
	kindPolicy
	kindEntry
)

// freePort returns a port of an address that is free.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// addEntry writes the settings of an entry process, as deploy/settings.json.tmpl has them, and
// starts it. Each one has a loopback address of its own.
func (r *rig) addEntry(index int) error {
	e := &entryProcess{name: fmt.Sprintf("edge-whk-a-%d", index+1), ip: loopback(kindEntry, index)}
	var ports [4]int
	for i := range ports {
		port, err := freePort(e.ip)
		if err != nil {
			return err
		}
		ports[i] = port
	}
	p, err := newPolicy(r, index)
	if err != nil {
		return err
	}
	e.front, e.ready = fmt.Sprintf("%s:%d", e.ip, ports[0]), fmt.Sprintf("%s:%d", e.ip, ports[1])
	settings := map[string]any{
		"cells": 0, "log_level": "info", "operator_port": 9464,
		"node": map[string]any{
			"nodeName": e.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": e.ip, "zone": "whk-a", "region": "na-central",
			"zones":         map[string]string{"whk-a": "na-central"},
			"listenAddrs":   map[string]string{"front": e.front, "ready": e.ready},
			"internalPorts": []int{ports[2], ports[2]}, "seeds": []string{}, "bootstrap": true, "countsAsLoss": false,
			"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
			"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
			"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0}, "bounds": bounds, "controlMode": "request",
			"advice": p.address,
			"platform": map[string]any{
				"address": r.proxy.address, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 16, "appendMs": 3.0, "partMbPerS": 20.0,
				"readMbPerS": 80.0, "recordBytes": 262144, "requestBytes": 2097152, "keep_s": 300, "partitionMb": 200, "minTtlMs": 1000,
			},
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	e.settings = filepath.Join(r.folder, e.name+".json")
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return err
	}
	r.entries = append(r.entries, e)
	return r.startEntry(e)
}

// startEntry starts an entry process with the command of the deploy file.
func (r *rig) startEntry(e *entryProcess) error {
	e.cmd = exec.Command(r.binary)
	e.cmd.Env = []string{"FULMARLATCH_NODE_FILE=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + r.folder, "LANG=C"}
	e.cmd.Stdout, e.cmd.Stderr = r.output, r.output
	if err := e.cmd.Start(); err != nil {
		return err
	}
	started.Lock()
	started.processes = append(started.processes, e.cmd.Process)
	started.Unlock()
	return nil
}

// started holds the processes that this program has started.
var started struct {
	sync.Mutex
	processes []*os.Process
}

// endStarted kills all processes that this program has started and that have not ended.
func endStarted() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.processes {
		_ = p.Kill() // may have ended already
	}
}

// awaitReady waits until all entry processes are ready.
func (r *rig) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range r.entries {
			response, err := r.client.Get("http://" + e.ready + "/ready")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == 200 {
				ready++
			}
		}
		if ready == len(r.entries) {
			return nil
		}
	}
	return fmt.Errorf("the entry processes are not ready after %v", limit)
}

// holder returns the entry process that holds the cell, by its dump.
func (r *rig) holder() *entryProcess {
	for _, e := range r.entries {
		response, err := r.client.Get(fmt.Sprintf("http://%s:9464/dump", e.ip))
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if bytes.Contains(data, []byte(`"Role":"holder"`)) {
			return e
		}
	}
	return nil
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	for _, e := range r.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			_, _ = e.cmd.Process.Wait()
		}
	}
	if keep := os.Getenv("KEEP_LOG"); keep != "" {
		if data, err := os.ReadFile(filepath.Join(r.folder, "entries.log")); err == nil {
			_ = os.WriteFile(keep, data, 0o600)
		}
	}
	_ = os.RemoveAll(r.folder)
	_ = r.recordFile.Close()
}

// since returns the time since the start of the play in seconds.
func (r *rig) since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// record writes a line to record.txt.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLocked(format, args...)
}

func (r *rig) recordLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.recordFile, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// recordRun records an event of a worker or the policy service.
func (r *rig) recordRun(format string, args ...any) { r.record(format, args...) }

// violation records that a rule is broken.
func (r *rig) violation(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
	r.recordLocked("RULE BROKEN %s", text)
}

// job returns the job of a task, or nil if no client has sent it.
func (r *rig) job(task string) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[jobOf(task)]
}

// addRun adds a run of a job's task and returns its behavior.
func (r *rig) addRun(j *job, run *taskRun) behavior {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.runs[run.task] = append(j.runs[run.task], run)
	if j.behave != nil {
		return j.behave(run.task, len(j.runs[run.task]))
	}
	return behavior{lasts: time.Duration(j.workMS) * time.Millisecond, end: "done"}
}

// newJob returns a job with a random ID that no client has sent yet.
func (r *rig) newJob(q *queue, tasks int, workMS int64) *job {
	id := fmt.Sprintf("%016x", rand.Uint64())
	return &job{id: id, spec: "spec of " + id, queue: q, tasks: tasks, cpu: 1000, mem: 1024, workMS: workMS, runs: map[string][]*taskRun{}}
}

func (j *job) body(antiAffinity int) []byte {
	step := map[string]any{"count": j.tasks, "cpu": j.cpu, "memMb": j.mem}
	if j.lasts {
		step["longRunning"] = true
	} else {
		step["estimatedMs"] = j.workMS
	}
	if antiAffinity > 0 {
		step["antiAffinity"] = antiAffinity
	}
	data, _ := json.Marshal(map[string]any{"spec": j.spec, "steps": []any{step}}) // maps of plain values can be encoded
	return data
}

// call sends a request of a client to an entry process that runs.
func (r *rig) call(method string, j *job, body []byte) (status int, answer string) {
	alive := []*entryProcess{}
	for _, e := range r.entries {
		if e.cmd != nil {
			alive = append(alive, e)
		}
	}
	e := alive[rand.IntN(len(alive))]
	request, err := http.NewRequest(method, "http://"+e.front+j.queue.prefix+j.id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Deadline", "3000")
	client := &http.Client{Transport: r.client.Transport, Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body) // a cut answer is not one
	return response.StatusCode, string(data)
}

// submit hands a job in, with up to 4 retries, and reports whether it was accepted.
func (r *rig) submit(j *job, antiAffinity int) bool {
	r.mu.Lock()
	r.jobs[j.id] = j
	r.mu.Unlock()
	for range 5 {
		status, text := r.call("POST", j, j.body(antiAffinity))
		r.record("client: POST %s%s -> %d %s", j.queue.prefix, j.id, status, text)
		if status == 200 {
			r.mu.Lock()
			j.accepted = time.Now()
			r.mu.Unlock()
			return true
		}
		if status == 404 || status == 400 {
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// runsOf returns the runs of a task so far.
func (r *rig) runsOf(j *job, task string) []*taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*taskRun(nil), j.runs[task]...)
}

// runsNow reports whether a task of a job is running on a worker.
func (r *rig) runsNow(j *job, task string) bool {
	for _, run := range r.runsOf(j, task) {
		run.worker.mu.Lock()
		open := run.ended.IsZero()
		run.worker.mu.Unlock()
		if open {
			return true
		}
	}
	return false
}

// await waits until a condition holds, and reports whether it did in time.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
