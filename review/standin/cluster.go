//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cluster is a small deployment: entry processes, a store, workers and a policy service.
type cluster struct {
	rec     *record
	dir     string // temporary folder with settings and logs
	net     string // first three bytes of its loopback addresses
	store   *store
	fleet   *fleet
	policy  *policy
	entries []*entry
	client  *http.Client
	next    int
	statusS float64 // status_s in the settings
}

// entry is an entry process.
type entry struct {
	name, ip, front string
	cmd             *exec.Cmd
}

// Names in the configuration.
const (
	queueHost  = "nony24.example"
	service    = "order-desk"
	withAdvice = "/lohu930/" // prefix of the queue with advice
	noAdvice   = "/voba282/" // prefix of the queue without advice
)

// newCluster starts the stand-ins. The workers are added by the case.
func newCluster(rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, net: fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), 1+rand.IntN(250))}
	c.statusS = 120
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	if c.store, err = newStore(c.net+".201", rec); err != nil {
		return nil, err
	}
	if c.policy, err = newPolicy(c.net + ".202"); err != nil {
		return nil, err
	}
	c.fleet = &fleet{rec: rec, store: c.store, policy: c.policy}
	c.policy.fleet = c.fleet
	return c, nil
}

// configure writes the operator's configuration: a queue with advice and one without.
func (c *cluster) configure(maxAttempts int) {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": queueHost, "pathPrefix": prefix, "service": service, "type": "unsafe", "timeoutMs": 3000,
			"priority": 0, "maxAttempts": maxAttempts, "slackFactor": 1.5, "targetLatencyMs": 250,
		}
	}
	advised := route("lookup", withAdvice)
	advised["advice"] = map[string]any{"decisionMs": 9.3, "perWorkerMs": 0.13, "validForMs": 1500}
	c.store.put("keyed.op", "config", map[string]any{
		"version": 3, "routes": []any{advised, route("match", noAdvice)},
		"services": []any{map[string]any{"name": service, "admissionCheck": false}}, "limits": map[string]any{},
	})
}

// addWorkers adds n workers with the given capacity.
func (c *cluster) addWorkers(n int, cpu, mem, clock0 int64) error {
	for i := range n {
		kind := []string{"a", "b"}[i%2]
		if _, err := c.fleet.add(fmt.Sprintf("%s.%d", c.net, 101+i), fmt.Sprintf("i-%02d", i+1), service, kind, fmt.Sprintf("r1-%d", i/6), cpu, mem, clock0); err != nil {
			return err
		}
	}
	return nil
}

// deployRun returns the command of the deploy file's role.
func deployRun() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(data)
	if m == nil {
		return nil, errors.New("deploy/system.toml has no run line")
	}
	return strings.Fields(string(m[1])), nil
}

// startEntries starts n entry processes with the command of the deploy file and settings
// made from its template, and waits until they are ready.
func (c *cluster) startEntries(n int) error {
	words, err := deployRun()
	if err != nil {
		return err
	}
	template, err := os.ReadFile("deploy/settings.json.tmpl")
	if err != nil {
		return err
	}
	for i := range n {
		e, err := c.startEntry(i, words, string(template))
		if err != nil {
			return err
		}
		c.entries = append(c.entries, e)
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range c.entries {
			host, _, _ := net.SplitHostPort(e.front)
			if response, err := c.client.Get("http://" + host + ":8167/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == n {
			c.rec.say("%d entry processes are ready", n)
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the entry processes are not ready after 20 s")
		}
	}
}

func (c *cluster) startEntry(index int, words []string, template string) (*entry, error) {
	ip := fmt.Sprintf("%s.%d", c.net, 11+index)
	name := fmt.Sprintf("edge-scot-west-a-%d", index+1)
	fields, err := json.Marshal(map[string]any{
		"nodeName": name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": "scot-west-a", "region": "scot-west",
		"listenAddrs":   map[string]string{"front": ip + ":8161", "ready": ip + ":8167"},
		"internalPorts": []int{7720, 7735}, "bootstrap": true, "countsAsLoss": false, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"bounds": map[string]any{
			"contactMs": 3000, "ackTimeoutMs": 4000, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "recoveryS": 12,
			"maxHoldMs": maxHold.Milliseconds(), "stopTimeoutMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
			"finish_s": 14, "status_s": c.statusS, "spreadFactor": 3, "checkpointS": 0.5, "restoreMs": 100, "enforceFencing": true, "leaseMs": 3000,
		},
		"controlMode": "request", "advice": c.policy.address,
		"platform": map[string]any{"address": c.store.address, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": storePartitions, "appendMs": 3.0, "keep_s": 300},
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(template, "{{.|json}}", string(fields))), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	e := &entry{name: name, ip: ip, front: ip + ":8161", cmd: exec.Command(words[0], words[1:]...)}
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "LANG=C", "FULMARLATCH_NODE_FILE=" + path}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	return e, e.cmd.Start()
}

// holder returns the entry process that holds the cell, according to the dumps of the
// processes, or nil.
func (c *cluster) holder() *entry {
	for _, e := range c.entries {
		response, err := c.client.Get("http://" + e.ip + ":9464/dump")
		if err != nil {
			continue
		}
		var dump struct{ Cells []struct{ Role string } }
		err = json.NewDecoder(response.Body).Decode(&dump)
		_ = response.Body.Close()
		if err == nil && len(dump.Cells) > 0 && dump.Cells[0].Role == "holder" {
			return e
		}
	}
	return nil
}

// restart stops an entry process with SIGTERM, as the platform does, and starts it again.
func (c *cluster) restart(e *entry, grace time.Duration) error {
	c.rec.say("SIGTERM to %s", e.name)
	old := e.cmd
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	kill := time.AfterFunc(grace, func() { _ = old.Process.Kill() })
	defer kill.Stop()
	err := old.Wait()
	c.rec.say("%s has ended: %v", e.name, old.ProcessState)
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return err
	}
	e.cmd = exec.Command(old.Path, old.Args[1:]...)
	e.cmd.Env, e.cmd.Stdout, e.cmd.Stderr = old.Env, old.Stdout, old.Stderr
	return e.cmd.Start()
}

// close ends all processes of the case and removes its folder.
func (c *cluster) close() {
	for _, e := range c.entries {
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		fmt.Println("logs:", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// call sends a request of a client to the next entry process. The status is 0 if there is
// no answer.
func (c *cluster) call(method, path string, body []byte) (status int, answer []byte) {
	return c.callWith(method, path, body, 3*time.Second)
}

func (c *cluster) callWith(method, path string, body []byte, limit time.Duration) (status int, answer []byte) {
	clientMu.Lock()
	c.next++
	e := c.entries[c.next%len(c.entries)]
	clientMu.Unlock()
	request, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Deadline", fmt.Sprint(limit.Milliseconds()))
	client := *c.client
	client.Timeout = limit
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

var clientMu sync.Mutex

// step is a step of a job.
type step map[string]any

// submit hands a job in, with the client's four retries, and reports whether it was
// accepted.
func (c *cluster) submit(prefix, id, spec string, steps ...step) bool {
	if prefix == noAdvice {
		c.policy.mu.Lock()
		c.policy.free[id] = true
		c.policy.mu.Unlock()
	}
	body := answerJSON(map[string]any{"spec": spec, "steps": steps})
	for try := range 5 {
		status, _ := c.call("POST", prefix+id, body)
		c.rec.add("client: POST %s%s try %d: %d", prefix, id, try+1, status)
		if status == 200 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (c *cluster) state(prefix, id string) string {
	status, answer := c.call("GET", prefix+id, nil)
	var out struct {
		State string `json:"state"`
	}
	if status != 200 || json.Unmarshal(answer, &out) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return out.State
}

// jobID returns a new ID of a job.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
