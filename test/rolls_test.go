package test

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/operator"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// rollBound is the requirement: a bundle is in force everywhere within this time
// of the append of its roll.
const rollBound = 6 * time.Second

// TestRollInTime guards against a roll that takes more than 6 s to be in force at
// every entry process, also where one of them does not learn of it from the log.
func TestRollInTime(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(c *cell)
	}{
		{"no fault", func(*cell) {}},
		{"one log link cut", func(c *cell) { c.entries["entry-1"].log.set(proxyFaults{Cut: true}) }},
		{"one log link silent", func(c *cell) { c.entries["entry-1"].log.set(proxyFaults{DropToClient: true}) }},
		{"two log links silent", func(c *cell) {
			c.entries["entry-0"].log.set(proxyFaults{DropToClient: true})
			c.entries["entry-2"].log.set(proxyFaults{DropToServer: true})
		}},
		{"one peer link cut", func(c *cell) { c.entries["entry-2"].peers.set(proxyFaults{Cut: true}) }},
		{"log slow", func(c *cell) { c.platform.SetLog(standin.LogFaults{DelayMS: 500}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, defaultOptions())
			test.fault(c)
			for range 3 {
				c.awaitRollInTime(c.roll(testBundle()))
			}
		})
	}
}

// awaitRollInTime waits until the roll that was just appended is in force at every
// entry process, at most for the required time.
func (c *cell) awaitRollInTime(number uint64) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, e := range c.entries {
			if got := e.dump().Core.Roll; got != number {
				return poll.Continue("%s has roll %d instead of %d", e.name, got, number)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(rollBound), poll.WithDelay(20*time.Millisecond))
}

// TestRollAfterPause guards against a process that misses a roll while it is
// paused, and against one that serves an older bundle afterwards.
func TestRollAfterPause(t *testing.T) {
	t.Parallel()
	c := startCell(t, defaultOptions())
	paused := c.entries["entry-1"]
	paused.pause(t)
	number := c.roll(testBundle())
	delete(c.entries, paused.name)
	c.awaitRollInTime(number)
	c.entries[paused.name] = paused
	paused.resume(t)
	c.awaitRollInTime(number)
}

// TestRacingRolls guards against two bundles in force at once when operators race:
// of the rolls that replace the same one, the first by offset wins everywhere.
func TestRacingRolls(t *testing.T) {
	t.Parallel()
	c := startCell(t, defaultOptions())
	var race sync.WaitGroup
	for range 5 {
		first, second := testBundle(), testBundle()
		first.Version, second.Version = c.version+1, c.version+2
		c.version += 2
		one := c.sign(first, signer, c.keys[signer])
		other := c.sign(second, otherSigner, c.keys[otherSigner])
		for _, signed := range []bundle.Signed{one, other} {
			race.Go(func() { c.appendRolls(signed.Records) })
		}
		race.Wait()
		c.awaitRollInTime(one.Number)
		winner := c.rollIDs()
		assert.Equal(t, len(winner), 1, "%v", winner)
		assert.Assert(t, winner[one.ID.String()] || winner[other.ID.String()],
			"%v is neither %s nor %s", winner, one.ID, other.ID)
	}
}

// rollIDs returns the ids of the rolls in force at the entry processes.
func (c *cell) rollIDs() map[string]bool {
	ids := make(map[string]bool)
	for _, e := range c.entries {
		ids[e.readiness().RollID] = true
	}
	return ids
}

// TestForgedRoll guards against a roll without a valid signature, or a record that
// is no roll, that changes the bundle in force or keeps a valid roll out.
func TestForgedRoll(t *testing.T) {
	t.Parallel()
	c := startCell(t, defaultOptions())
	_, wrong, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	for _, forge := range []func(r *bundle.RollRecord){
		func(r *bundle.RollRecord) { r.Sign(wrong) },
		func(r *bundle.RollRecord) { r.Signature[0] ^= 1 },
		func(r *bundle.RollRecord) { r.Signature = nil },
		func(r *bundle.RollRecord) { r.Signer = otherSigner },
		func(r *bundle.RollRecord) { r.Signer = "mallory"; r.Sign(wrong) },
		func(r *bundle.RollRecord) { r.Version++ },
		func(r *bundle.RollRecord) { r.Number += 5; r.Sign(wrong) },
	} {
		// The next roll is signed first. It replaces the one before the forged
		// one, so it takes effect only where the forged one had none.
		next := testBundle()
		c.version++
		next.Version = c.version
		signed := c.sign(next, signer, c.keys[signer])
		c.appendRolls(c.forged(forge))
		c.appendRolls([][]byte{[]byte("no record"), {}})
		c.appendRolls(signed.Records)
		c.awaitRollInTime(signed.Number)
		for _, e := range c.entries {
			assert.Equal(t, e.readiness().Version, c.version)
		}
	}
}

// forged returns the records of a roll after a change that its signature does not
// cover.
func (c *cell) forged(forge func(r *bundle.RollRecord)) [][]byte {
	b := testBundle()
	b.Version = 1000 + c.version
	b.Workspaces = nil
	records := c.sign(b, signer, c.keys[signer]).Records
	last := len(records) - 1
	record, err := bundle.DecodeRecord(records[last])
	assert.NilError(c.t, err)
	forge(record.Roll)
	records[last] = bundle.EncodeRecord(record)
	return records
}

// TestOperatorCommands guards against fulmarlatchctl and the entry processes
// disagreeing: a roll, a conflict, a refused key and a rollback have the same
// effect at every process as the exit code says.
func TestOperatorCommands(t *testing.T) {
	t.Parallel()
	c := startCell(t, defaultOptions())
	mine, theirs := c.writeKey(signer), c.writeKey(otherSigner)
	second, third := c.writeBundle(2), c.writeBundle(3)

	codes := make([]int, 2)
	var race sync.WaitGroup
	race.Go(func() {
		codes[0] = c.ctl("bundle", "roll", second, "--key", mine, "--signer", signer, "--replaces", "1")
	})
	race.Go(func() {
		codes[1] = c.ctl("bundle", "roll", third, "--key", theirs, "--signer", otherSigner, "--replaces", "1")
	})
	race.Wait()
	c.awaitRollInTime(2)
	versions := map[uint64]bool{}
	for _, e := range c.entries {
		versions[e.readiness().Version] = true
	}
	assert.DeepEqual(t, versions, map[uint64]bool{map[bool]uint64{true: 2, false: 3}[codes[0] == 0]: true})
	assert.Equal(t, codes[0]+codes[1], 3, "one command reports success and the other a conflict: %v", codes)

	assert.Equal(t, c.ctl("bundle", "roll", c.writeBundle(4), "--key", mine, "--signer", otherSigner), 2)
	assert.Equal(t, c.ctl("bundle", "rollback", "--to", "1", "--key", mine, "--signer", signer), 0)
	c.awaitRollInTime(3)
	for _, e := range c.entries {
		assert.Equal(t, e.readiness().Version, uint64(1))
	}
}

// ctl runs fulmarlatchctl with the settings of an entry process and returns its
// exit code.
func (c *cell) ctl(args ...string) int {
	command := exec.Command(filepath.Join(binaries, "fulmarlatchctl"), args...)
	command.Env = append(os.Environ(), "FULMARLATCH_SETTINGS="+filepath.Join(c.dir, "entry-0.json"))
	out, err := command.CombinedOutput()
	c.t.Logf("fulmarlatchctl %s: %s", strings.Join(args, " "), out)
	if err != nil && command.ProcessState == nil {
		c.t.Error(err)
		return -1
	}
	return command.ProcessState.ExitCode()
}

func (c *cell) writeKey(name string) string {
	der, err := x509.MarshalPKCS8PrivateKey(c.keys[name])
	assert.NilError(c.t, err)
	return c.writeFile(name+".pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))
}

func (c *cell) writeBundle(version uint64) string {
	b := testBundle()
	b.Version = version
	data, err := json.Marshal(b)
	assert.NilError(c.t, err)
	return c.writeFile("bundle-"+strconv.FormatUint(version, 10)+".json", data)
}

func (c *cell) writeFile(name string, data []byte) string {
	path := filepath.Join(c.dir, name)
	assert.NilError(c.t, os.WriteFile(path, data, 0o600))
	return path
}

// readinessWatch collects every answer of a process about its readiness.
type readinessWatch struct {
	stop    chan struct{}
	done    sync.WaitGroup
	answers []operator.Readiness
}

// watchReadiness asks a process again and again from now on.
func watchReadiness(e *entry) *readinessWatch {
	w := &readinessWatch{stop: make(chan struct{})}
	w.done.Go(func() {
		for {
			select {
			case <-w.stop:
				return
			default:
				w.answers = append(w.answers, e.readiness())
			}
		}
	})
	return w
}

// finish returns all answers.
func (w *readinessWatch) finish() []operator.Readiness {
	close(w.stop)
	w.done.Wait()
	return w.answers
}
