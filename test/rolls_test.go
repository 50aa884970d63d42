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

// rollLimit is the required limit on the time from the append of a roll until its
// bundle is in force at every entry process.
const rollLimit = 6 * time.Second

// TestRollInTime guards against a roll that takes longer than rollLimit to be in
// force at every entry process, including processes that cannot read it from the log.
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
		{"log slow", func(c *cell) { c.platform.SetLogFaults(standin.LogFaults{DelayMS: 500}) }},
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
// entry process, and fails the test after rollLimit.
func (c *cell) awaitRollInTime(number uint64) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, e := range c.entries {
			if got := e.dump().Core.Roll; got != number {
				return poll.Continue("%s has roll %d instead of %d", e.name, got, number)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(rollLimit), poll.WithDelay(20*time.Millisecond))
}

// TestRollAfterPause guards against a process that is paused during a roll and keeps
// the older bundle after it resumes.
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

// TestRacingRolls guards against different bundles in force after concurrent rolls
// by two operators: of the rolls that replace the same roll, the one with the lowest
// offset must win at every entry process.
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

// rollIDs returns the IDs of the rolls in force at the entry processes.
func (c *cell) rollIDs() map[string]bool {
	ids := make(map[string]bool)
	for _, e := range c.entries {
		ids[e.readiness().RollID] = true
	}
	return ids
}

// TestForgedRoll guards against rolls without a valid signature, and records that
// are not rolls, that change the bundle in force or block a valid roll.
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
		// The next valid roll is signed before the forged one is appended. Both
		// replace the same roll, so the valid one takes effect only at processes
		// that rejected the forged one.
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

// forged returns the records of a roll that was changed by forge after it was
// signed.
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

// TestOperatorCommands guards against fulmarlatchctl exit codes that contradict the
// entry processes, for a roll, a conflict, a refused key and a rollback.
func TestOperatorCommands(t *testing.T) {
	t.Parallel()
	c := startCell(t, defaultOptions())
	key, otherKey := c.writeKey(signer), c.writeKey(otherSigner)
	second, third := c.writeBundle(2), c.writeBundle(3)

	codes := make([]int, 2)
	var race sync.WaitGroup
	race.Go(func() {
		codes[0] = c.ctl("bundle", "roll", second, "--key", key, "--signer", signer, "--replaces", "1")
	})
	race.Go(func() {
		codes[1] = c.ctl("bundle", "roll", third, "--key", otherKey, "--signer", otherSigner, "--replaces", "1")
	})
	race.Wait()
	c.awaitRollInTime(2)
	versions := map[uint64]bool{}
	for _, e := range c.entries {
		versions[e.readiness().Version] = true
	}
	assert.DeepEqual(t, versions, map[uint64]bool{map[bool]uint64{true: 2, false: 3}[codes[0] == 0]: true})
	assert.Equal(t, codes[0]+codes[1], 3, "expected exit code 0 from one command and 3 (conflict) from the other: %v", codes)

	assert.Equal(t, c.ctl("bundle", "roll", c.writeBundle(4), "--key", key, "--signer", otherSigner), 2)
	assert.Equal(t, c.ctl("bundle", "rollback", "--to", "1", "--key", key, "--signer", signer), 0)
	c.awaitRollInTime(3)
	for _, e := range c.entries {
		assert.Equal(t, e.readiness().Version, uint64(1))
	}
}

// ctl runs fulmarlatchctl with the settings of entry-0 and returns its exit code, or
// -1 if it could not be started.
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

// writeKey writes the private key of an operator and returns the path.
func (c *cell) writeKey(name string) string {
	der, err := x509.MarshalPKCS8PrivateKey(c.keys[name])
	assert.NilError(c.t, err)
	return c.writeFile(name+".pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))
}

// writeBundle writes the test bundle with a version and returns the path.
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

// readinessWatch polls the readiness of a process and collects the readings.
type readinessWatch struct {
	stop     chan struct{}
	done     sync.WaitGroup
	readings []operator.Readiness
}

// watchReadiness polls a process continuously until finish is called.
func watchReadiness(e *entry) *readinessWatch {
	w := &readinessWatch{stop: make(chan struct{})}
	w.done.Go(func() {
		for {
			select {
			case <-w.stop:
				return
			default:
				w.readings = append(w.readings, e.readiness())
			}
		}
	})
	return w
}

// finish stops the polling and returns all readings.
func (w *readinessWatch) finish() []operator.Readiness {
	close(w.stop)
	w.done.Wait()
	return w.readings
}
