// Package test checks the scheduler's guarantees end to end: it runs fulmarlatchd
// entry processes behind fault-injecting proxies, and stand-ins for the platform
// (log, VM list and workers) in the test process. Each test starts a cell of its own
// and drives it from the test's goroutine.
//
// Here a cell is a set of entry processes and the workers that they share, and the
// holder of a worker is the entry process that has its lease. The cells of package
// internal/cell are not tested here.
package test

import (
	"bufio"
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/caller"
	"github.com/fulmarlatch/fulmarlatch/internal/node"
	"github.com/fulmarlatch/fulmarlatch/internal/operator"
	"github.com/fulmarlatch/fulmarlatch/internal/platformlog"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

const (
	signer = "alice"
	// otherSigner is a second operator.
	otherSigner = "bob"
	workspace   = "desk"
	token       = "secret"
	// tokenHash is the SHA-256 of token.
	tokenHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	// conditionTimeout is how long a condition may take to become true. It only
	// limits failing tests; no test measures speed by it.
	conditionTimeout = 60 * time.Second
	// maxCells limits the cells that run at once, to limit the load on the machine.
	maxCells = 8
)

// cellSlots is a semaphore with one element per running cell.
var cellSlots = make(chan struct{}, maxCells)

// binaries is the directory that contains the built programs.
var binaries string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fulmarlatch-test-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir, "github.com/fulmarlatch/fulmarlatch/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build failed: %v\n%s", err, out)
		os.Exit(1)
	}
	binaries = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cell is a running cell: the platform's stand-ins in this process, and entry
// processes as child processes.
type cell struct {
	t        *testing.T
	dir      string
	platform *standin.Platform
	keys     map[string]ed25519.PrivateKey // by operator
	entries  map[string]*entry
	version  uint64 // of the last bundle that was signed
	domains  int    // failure domains of the entry processes; 0 for one per process
	// maxProcs is the GOMAXPROCS of an entry process; 0 leaves the default.
	maxProcs int
	// measureClients are the clients of measurements, by entry process.
	measureClients map[string]*caller.Client
}

// entry is one entry process and the proxies around it.
type entry struct {
	name    string
	domain  string
	command *exec.Cmd
	address node.Addresses
	peers   *proxy // in front of its peer listener
	log     *proxy // between the process and the log
	exited  chan error
	// operator is reused, because a process limits its operator connections.
	operator *operator.Client
}

// cellOptions are the sizes and settings of a cell.
type cellOptions struct {
	entries  int
	workers  int
	capacity api.Resources
	log      standin.LogConfig
	bundle   bundle.Bundle
	domains  int // failure domains of the entry processes; 0 for one per process
	// maxProcs is the GOMAXPROCS of an entry process; 0 leaves the default.
	maxProcs int
}

// defaultOptions returns a cell of three entry processes and four workers.
func defaultOptions() cellOptions {
	return cellOptions{entries: 3, workers: 4, bundle: testBundle(),
		capacity: api.Resources{CPUMilli: 4000, MemoryMB: 8000, Accelerators: 1, Slots: 8, Connections: 60}}
}

// startCell starts a cell and waits until the bundle is in force at every entry
// process and all workers are held.
func startCell(t *testing.T, o cellOptions) *cell {
	t.Helper()
	c := newCell(t, o)
	for i := range o.entries {
		c.startEntry(entryName(i))
	}
	c.roll(o.bundle)
	c.awaitReady()
	c.awaitHeld(o.workers)
	return c
}

// vmListLag is the delay before the stand-in's VM list shows a change.
const vmListLag = 100 * time.Millisecond

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// newCell starts the stand-ins of a cell, without entry processes.
func newCell(t *testing.T, o cellOptions) *cell {
	t.Helper()
	cellSlots <- struct{}{}
	t.Cleanup(func() { <-cellSlots })
	lag := vmListLag.Milliseconds()
	platform, err := standin.Start(standin.Config{
		Log: o.log,
		VMs: standin.VMsConfig{LagMS: &lag},
		Workers: []standin.WorkerGroup{{Prefix: "worker", Count: o.workers, Domains: []string{"a", "b", "c"},
			PerRack: 6, Capacity: o.capacity, UsageLagMS: 500}},
	})
	assert.NilError(t, err)
	c := &cell{t: t, dir: t.TempDir(), platform: platform,
		keys: make(map[string]ed25519.PrivateKey), entries: make(map[string]*entry),
		domains: o.domains, maxProcs: o.maxProcs, measureClients: make(map[string]*caller.Client)}
	t.Cleanup(c.close)
	for _, name := range []string{signer, otherSigner} {
		_, c.keys[name], err = ed25519.GenerateKey(nil)
		assert.NilError(t, err)
	}
	return c
}

// close kills the entry processes and stops the stand-ins.
func (c *cell) close() {
	for _, e := range c.entries {
		_ = e.command.Process.Kill()
		<-e.exited
	}
	_ = c.platform.Close()
	if c.t.Failed() {
		c.showLogs()
	}
}

// showStates prints the state of each entry process that answers. A process that is
// paused does not answer.
func (c *cell) showStates() {
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		d, err := c.entries[name].readDump()
		if err != nil {
			c.t.Logf("%s: no state: %v", name, err)
			continue
		}
		d.Core.Held, d.Core.Queue, d.Core.Workers, d.Links = nil, nil, nil, nil // long
		data, err := json.Marshal(d)
		c.t.Logf("%s: %s %v", name, data, err)
	}
}

// showLogs prints the last 6000 bytes of each process's log.
func (c *cell) showLogs() {
	files, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		c.t.Logf("%s:\n%s", filepath.Base(file), data[max(0, len(data)-6000):])
	}
}

// startEntry starts an entry process and adds its VM to the VM list.
func (c *cell) startEntry(name string) *entry {
	c.t.Helper()
	return c.startEntryBehind(name, proxyFaults{})
}

// startEntryBehind starts an entry process whose connection to the log has faults.
func (c *cell) startEntryBehind(name string, logLink proxyFaults) *entry {
	c.t.Helper()
	e := &entry{name: name, domain: c.domainOf(name), exited: make(chan error, 1)}
	e.log = startProxy(c.t, c.platform.Addresses().Log)
	e.log.set(logLink)
	e.command = exec.Command(filepath.Join(binaries, "fulmarlatchd"), "--config", c.writeSettings(e))
	if c.maxProcs > 0 {
		e.command.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", c.maxProcs))
	}
	logFile, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano())))
	assert.NilError(c.t, err)
	e.command.Stderr = logFile
	stdout, err := e.command.StdoutPipe()
	assert.NilError(c.t, err)
	assert.NilError(c.t, e.command.Start())
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	assert.NilError(c.t, err, "%s printed no addresses", name)
	assert.NilError(c.t, json.Unmarshal(line, &e.address))
	e.operator = operator.NewClient(e.address.Operator, nil)
	go func() {
		e.exited <- e.command.Wait()
		close(e.exited)
		_ = logFile.Close()
	}()
	e.peers = startProxy(c.t, e.address.Peer)
	c.platform.SetVM(api.VM{Name: name, Role: api.RoleEntry, Address: e.peers.address(), Domain: e.domain, Region: "r"})
	c.entries[name] = e
	return e
}

func (c *cell) writeSettings(e *entry) string {
	operators := make(map[string]string)
	for name, key := range c.publicKeys() {
		operators[name] = hex.EncodeToString(key)
	}
	local := map[string]string{"listen": "127.0.0.1:0"}
	data, err := json.Marshal(map[string]any{
		"entry": e.name, "domain": e.domain, "region": "r",
		"caller": local, "peer": local, "operator": local,
		"vm_list": c.platform.Addresses().VMs, "log": e.log.address(),
		"operators": operators,
		"log_level": "info",
	})
	assert.NilError(c.t, err)
	path := filepath.Join(c.dir, e.name+".json")
	assert.NilError(c.t, os.WriteFile(path, data, 0o600))
	return path
}

// publicKeys returns the operators' public keys.
func (c *cell) publicKeys() bundle.Keys {
	keys := make(bundle.Keys)
	for name, key := range c.keys {
		keys[name] = key.Public().(ed25519.PublicKey)
	}
	return keys
}

// testBundle returns a bundle with an urgent and a bulk class.
func testBundle() bundle.Bundle {
	b := bundle.Bundle{Version: 1, Timing: bundle.DefaultTiming(), Fleet: bundle.Fleet{PackingWeight: 0.5}}
	b.Timing.OrphanGraceMS = 2000
	b.Classes = []bundle.Class{
		{Name: "urgent", Rank: 1, Floor: 0.25, Ceiling: 0.75, QueueBound: 500, DeadlineMS: 30000, RetryBudget: 0.2, MaxAttempts: 3},
		{Name: "bulk", Rank: 5, Floor: 0.25, Ceiling: 0.75, QueueBound: 2000, RetryBudget: 0.2, MaxAttempts: 3, Preemptible: true},
	}
	b.Workspaces = []bundle.Workspace{{Name: workspace, Weight: 1, TokenHash: tokenHash}}
	return b
}

// roll signs a bundle, appends its roll to the log and returns the roll's number.
func (c *cell) roll(b bundle.Bundle) uint64 {
	c.t.Helper()
	c.version++
	b.Version = c.version
	signed := c.sign(b, signer, c.keys[signer])
	c.appendRolls(signed.Records)
	return signed.Number
}

// sign returns a signed roll of b that follows the newest roll in the log.
func (c *cell) sign(b bundle.Bundle, name string, key ed25519.PrivateKey) bundle.Signed {
	c.t.Helper()
	chain := bundle.NewChain(c.publicKeys())
	client := platformlog.NewClient(c.platform.Addresses().Log)
	defer client.Close()
	for {
		response, err := client.Read(context.Background(), "rolls", chain.Next(), 1000, 0)
		assert.NilError(c.t, err)
		if len(response.Records) == 0 {
			break
		}
		for _, r := range response.Records {
			_, _ = chain.Apply(r.Offset, r.Data)
		}
	}
	signed, err := chain.Sign(b, name, key, time.Now())
	assert.NilError(c.t, err)
	return signed
}

func (c *cell) appendRolls(records [][]byte) {
	c.t.Helper()
	client := platformlog.NewClient(c.platform.Addresses().Log)
	defer client.Close()
	_, err := client.Append(context.Background(), "rolls", records)
	assert.NilError(c.t, err)
}

// await waits until the condition holds, and fails the test after conditionTimeout. It
// then prints the states of the entry processes, before the proxies are closed.
func (c *cell) await(what string, condition func() bool) {
	c.t.Helper()
	defer func() {
		if c.t.Failed() {
			c.showStates()
		}
	}()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(conditionTimeout), poll.WithDelay(20*time.Millisecond))
}

func (c *cell) awaitReady() {
	c.t.Helper()
	c.await("all entry processes to be ready", func() bool {
		for _, e := range c.entries {
			if !e.readiness().Ready {
				return false
			}
		}
		return true
	})
}

// awaitHeld waits until the live entry processes are linked to each other and
// together hold that many workers.
func (c *cell) awaitHeld(workers int) {
	c.t.Helper()
	c.await(fmt.Sprintf("%d held workers", workers), func() bool {
		held := 0
		for _, e := range c.entries {
			d := e.dump()
			if len(d.Core.Peers) != len(c.entries)-1 {
				return false
			}
			held += len(d.Core.Held)
		}
		return held == workers
	})
}

// readiness returns the process's readiness, or the zero value on an error.
func (e *entry) readiness() operator.Readiness {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	ready, _ := e.operator.Ready(ctx)
	return ready
}

// dump returns the process's state dump, or the zero value on an error.
func (e *entry) dump() node.Dump {
	d, err := e.readDump()
	if err != nil {
		return node.Dump{}
	}
	return d
}

func (e *entry) readDump() (d node.Dump, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	data, err := e.operator.Dump(ctx)
	if err == nil {
		err = json.Unmarshal(data, &d)
	}
	return d, err
}

// kill kills an entry process, as the failure of its VM would. The VM stays in the
// VM list, which lags.
func (c *cell) kill(name string) {
	c.t.Helper()
	e := c.entries[name]
	assert.NilError(c.t, e.command.Process.Kill())
	<-e.exited
	delete(c.entries, name)
}

func (e *entry) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, e.command.Process.Signal(s))
}

func (e *entry) pause(t *testing.T)  { e.signal(t, syscall.SIGSTOP) }
func (e *entry) resume(t *testing.T) { e.signal(t, syscall.SIGCONT) }

// client returns a new caller client of an entry process.
func (c *cell) client(name string) *caller.Client {
	c.t.Helper()
	client, err := caller.NewClient("http://"+c.entries[name].address.Caller, token, workspace)
	assert.NilError(c.t, err)
	c.t.Cleanup(client.Close)
	return client
}

// request returns an urgent request that runs for the given time and whose answer
// contains answerBytes of filler.
func request(work time.Duration, answerBytes int) api.Job {
	payload, err := json.Marshal(standin.Payload{WorkMS: work.Milliseconds(), AnswerBytes: answerBytes, Echo: "e"})
	if err != nil {
		panic(err)
	}
	return api.Job{Class: "urgent", Kind: api.KindRequest, Tasks: 1, Idempotent: true,
		Resources: api.Resources{CPUMilli: 500, MemoryMB: 500, Slots: 1, Connections: 1}, Payload: payload}
}

// job returns a bulk job of the given kind.
func job(kind api.Kind, tasks int, work time.Duration) api.Job {
	j := request(work, 10)
	j.Class, j.Kind, j.Tasks = "bulk", kind, tasks
	return j
}
