package test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/caller"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// identityFault is a fault that acts while callers retry non-idempotent requests.
type identityFault struct {
	name string
	act  func(c *cell)
	// end ends the fault; nil if it stays.
	end func(c *cell)
	// lost is true if the process that owns the requests is gone.
	lost bool
}

// identityFaults act on the owner of the requests and on the log.
func identityFaults() []identityFault {
	logFault := func(f standin.LogFaults) func(c *cell) {
		return func(c *cell) { c.platform.SetLog(f) }
	}
	return []identityFault{
		{name: "no fault", act: func(*cell) {}},
		{name: "owner killed", lost: true, act: func(c *cell) { c.kill(owner) }},
		{name: "owner replaced", lost: true, act: func(c *cell) {
			c.kill(owner)
			c.startEntry(owner)
			c.awaitReady()
		}},
		{name: "owner paused",
			act: func(c *cell) {
				c.entries[owner].pause(c.t)
				c.awaitHeldBy(4, "entry-0", "entry-1")
			},
			end: func(c *cell) { c.entries[owner].resume(c.t) }},
		{name: "owner cut off",
			act: func(c *cell) {
				c.entries[owner].peers.set(proxyFaults{Cut: true})
				c.awaitLinks(owner, 0)
			},
			end: func(c *cell) { c.entries[owner].peers.set(proxyFaults{}) }},
		{name: "owner receives nothing from its peers",
			act: func(c *cell) {
				c.entries[owner].peers.set(proxyFaults{DropToServer: true})
				c.awaitLinks(owner, 0)
			},
			end: func(c *cell) { c.entries[owner].peers.set(proxyFaults{}) }},
		{name: "append answers lost", act: logFault(standin.LogFaults{LoseAppends: -1})},
		{name: "append answers lost by 504", act: logFault(standin.LogFaults{LoseAppends: -1, LoseBy504: true})},
		{name: "log down", act: logFault(standin.LogFaults{Down: true}), end: logFault(standin.LogFaults{})},
	}
}

// owner is the entry process that owns the requests. All links to it go through
// its own proxy, because the process with the smaller name dials.
const owner = "entry-2"

// onceCaller sends one non-idempotent request until its outcome is final.
type onceCaller struct {
	job     api.Job
	answers []api.Answer
}

// retryUntilFinal retries through one entry process after the other. A caller
// whose outcome stays unknown gives up when done is closed.
func (o *onceCaller) retryUntilFinal(clients []*caller.Client, done <-chan struct{}) {
	for i := 0; ; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		answer := clients[i%len(clients)].Submit(ctx, o.job)
		cancel()
		o.answers = append(o.answers, answer)
		if answer.Outcome == api.OutcomeCompleted || answer.Outcome == api.OutcomeFailed {
			return
		}
		select {
		case <-done:
			return
		case <-time.After(turnAwayPause):
		}
	}
}

func (o *onceCaller) last() api.Answer { return o.answers[len(o.answers)-1] }

// onceRequests is the number of callers in the tests of identities.
const onceRequests = 24

// TestNonIdempotentRunsOnce guards against a second run of a non-idempotent request
// whose caller retries it through other processes, under a minted id or a key, and
// against an answer that is not true.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for _, way := range []string{"minted id", "key"} {
		for _, f := range identityFaults() {
			t.Run(way+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				c := startCell(t, defaultOptions())
				c.awaitPreferredHolders() // so that the owner is a holder too
				c.runOnce(way, f)
			})
		}
	}
}

func (c *cell) runOnce(way string, f identityFault) {
	clients := []*caller.Client{c.client(owner), c.client("entry-0"), c.client("entry-1")}
	callers := make([]*onceCaller, onceRequests)
	for i := range callers {
		callers[i] = &onceCaller{job: c.onceJob(way, i, clients[0])}
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	started := make(chan struct{}, onceRequests)
	for _, o := range callers {
		group.Go(func() {
			started <- struct{}{}
			o.retryUntilFinal(clients, done)
		})
	}
	for range callers {
		<-started
	}
	c.await("some requests to run", func() bool { return len(c.platform.History(0).Runs) > onceRequests/4 })
	f.act(c)
	if f.end != nil {
		f.end(c)
	}
	if f.lost {
		c.awaitSettled(4)
		c.await("all runs to end", func() bool { return c.allEnded() })
		close(done)
	}
	group.Wait()
	c.checkOnce(way, callers, f.lost)
}

// onceJob returns a non-idempotent request. Its echo identifies the caller.
func (c *cell) onceJob(way string, i int, owner *caller.Client) api.Job {
	j := request(time.Duration(100+40*i)*time.Millisecond, 1000)
	j.Idempotent = false
	if way == "key" {
		j.Key = fmt.Sprintf("key-%d", i)
		return j
	}
	id, err := owner.Mint(context.Background())
	assert.NilError(c.t, err)
	j.ID = id
	return j
}

func (c *cell) allEnded() bool {
	for _, r := range c.platform.History(0).Runs {
		if r.EndedMS == 0 {
			return false
		}
	}
	return true
}

// checkOnce fails unless every request ran at most once and every answer is true.
func (c *cell) checkOnce(way string, callers []*onceCaller, lost bool) {
	c.t.Helper()
	outcomes := make(map[api.Outcome]int)
	for _, o := range callers {
		ids := make(map[string]bool)
		for _, a := range o.answers {
			if a.JobID != "" {
				ids[a.JobID] = true
			}
		}
		runs := 0
		for id := range ids {
			runs += c.runs(id)
		}
		last := o.last()
		outcomes[last.Outcome]++
		assert.Assert(c.t, runs <= 1, "%s %s%s ran %d times: %+v", way, o.job.ID, o.job.Key, runs, o.answers)
		switch last.Outcome {
		case api.OutcomeCompleted:
			assert.Equal(c.t, runs, 1)
			c.checkAnswer(o.job, last)
		case api.OutcomeNotRun:
			assert.Equal(c.t, runs, 0, "%+v", last)
		default:
			assert.Assert(c.t, lost && last.Outcome == api.OutcomeUnknown, "%+v: %v", last, last.Error)
		}
	}
	c.t.Logf("outcomes: %v", outcomes)
	assert.Assert(c.t, len(c.platform.History(0).Runs) <= len(callers))
	c.checkWorkers()
}

// TestRacingKeys guards against two runs of a request whose caller sends the same
// key through all entry processes at once.
func TestRacingKeys(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault standin.LogFaults
	}{
		{"no fault", standin.LogFaults{}},
		{"append answers lost", standin.LogFaults{LoseAppends: -1}},
		{"log slow", standin.LogFaults{DelayMS: 150}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, defaultOptions())
			c.platform.SetLog(test.fault)
			s := &submissions{c: c}
			const keys = 10
			for k := range keys {
				j := request(100*time.Millisecond, 100)
				j.Idempotent = false
				j.Key = fmt.Sprintf("key-%d", k)
				for i := range 3 {
					s.submitAll(entryName(i), 2, j)
				}
			}
			jobs := make(map[string]string)
			for _, r := range s.awaitAll() {
				c.checkAnswer(r.job, r.answer)
				if jobs[r.job.Key] == "" {
					jobs[r.job.Key] = r.answer.JobID
				}
				assert.Equal(t, jobs[r.job.Key], r.answer.JobID)
			}
			assert.Equal(t, len(c.platform.History(0).Runs), keys)
			c.checkWorkers()
		})
	}
}
