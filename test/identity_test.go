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

// identityFault is a fault that is injected while callers retry non-idempotent
// requests under a minted ID or a key.
type identityFault struct {
	name   string
	inject func(c *cell)
	// heal ends the fault; nil if it lasts until the end of the test.
	heal func(c *cell)
	// ownerLost is true if the fault kills the process that owns the requests.
	ownerLost bool
}

// identityFaults returns faults of the owner of the requests and of the log.
func identityFaults() []identityFault {
	logFault := func(f standin.LogFaults) func(c *cell) {
		return func(c *cell) { c.platform.SetLogFaults(f) }
	}
	return []identityFault{
		{name: "no fault", inject: func(*cell) {}},
		{name: "owner killed", ownerLost: true, inject: func(c *cell) { c.kill(owner) }},
		{name: "owner replaced", ownerLost: true, inject: func(c *cell) {
			c.kill(owner)
			c.startEntry(owner)
			c.awaitReady()
		}},
		{name: "owner paused",
			inject: func(c *cell) {
				c.entries[owner].pause(c.t)
				c.awaitHeldBy(4, "entry-0", "entry-1")
			},
			heal: func(c *cell) { c.entries[owner].resume(c.t) }},
		{name: "owner cut off",
			inject: func(c *cell) {
				c.entries[owner].peers.set(proxyFaults{Cut: true})
				c.awaitLinks(owner, 0)
			},
			heal: func(c *cell) { c.entries[owner].peers.set(proxyFaults{}) }},
		{name: "owner receives nothing from its peers",
			inject: func(c *cell) {
				c.entries[owner].peers.set(proxyFaults{DropToServer: true})
				c.awaitLinks(owner, 0)
			},
			heal: func(c *cell) { c.entries[owner].peers.set(proxyFaults{}) }},
		{name: "append responses lost", inject: logFault(standin.LogFaults{LoseAppends: -1})},
		{name: "append responses lost by 504", inject: logFault(standin.LogFaults{LoseAppends: -1, LoseBy504: true})},
		{name: "log down", inject: logFault(standin.LogFaults{Down: true}), heal: logFault(standin.LogFaults{})},
	}
}

// owner is the entry process that owns the requests. It has the largest name, so all
// peer links to it go through its proxy: the process with the smaller name dials.
const owner = "entry-2"

// retryingCaller submits one non-idempotent request until its outcome is final.
type retryingCaller struct {
	job     api.Job
	answers []api.Answer
}

// retryUntilFinal submits the request through one entry process after the other,
// until its outcome is final or done is closed.
func (r *retryingCaller) retryUntilFinal(clients []*caller.Client, done <-chan struct{}) {
	for i := 0; ; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		answer := clients[i%len(clients)].Submit(ctx, r.job)
		cancel()
		r.answers = append(r.answers, answer)
		if answer.Outcome == api.OutcomeCompleted || answer.Outcome == api.OutcomeFailed {
			return
		}
		select {
		case <-done:
			return
		case <-time.After(retryDelay):
		}
	}
}

func (r *retryingCaller) last() api.Answer { return r.answers[len(r.answers)-1] }

// identityCallers is the number of concurrent callers in
// TestNonIdempotentRunsOnce.
const identityCallers = 24

// TestNonIdempotentRunsOnce guards against a second run of a non-idempotent request
// whose caller retries it through other processes, under a minted ID or a key, and
// against an answer that contradicts the worker's history.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for _, idKind := range []string{"minted id", "key"} {
		for _, f := range identityFaults() {
			t.Run(idKind+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				c := startCell(t, defaultOptions())
				c.awaitPreferredHolders() // so that the owner is a holder too
				c.retryThroughFault(idKind, f)
			})
		}
	}
}

// retryThroughFault runs callers that retry their requests, injects the fault and
// checks the results.
func (c *cell) retryThroughFault(idKind string, f identityFault) {
	clients := []*caller.Client{c.client(owner), c.client("entry-0"), c.client("entry-1")}
	callers := make([]*retryingCaller, identityCallers)
	for i := range callers {
		callers[i] = &retryingCaller{job: c.nonIdempotentJob(idKind, i, clients[0])}
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	started := make(chan struct{}, identityCallers)
	for _, r := range callers {
		group.Go(func() {
			started <- struct{}{}
			r.retryUntilFinal(clients, done)
		})
	}
	for range callers {
		<-started
	}
	c.await("some requests to run", func() bool { return len(c.platform.History(0).Runs) > identityCallers/4 })
	f.inject(c)
	if f.heal != nil {
		f.heal(c)
	}
	if f.ownerLost {
		c.awaitSettled(4)
		c.await("all runs to end", func() bool { return c.allEnded() })
		close(done)
	}
	group.Wait()
	c.checkAtMostOnce(idKind, callers, f.ownerLost)
}

// nonIdempotentJob returns caller i's non-idempotent request, under a key or under an
// ID minted by owner.
func (c *cell) nonIdempotentJob(idKind string, i int, owner *caller.Client) api.Job {
	j := request(time.Duration(100+40*i)*time.Millisecond, 1000)
	j.Idempotent = false
	if idKind == "key" {
		j.Key = fmt.Sprintf("key-%d", i)
		return j
	}
	id, err := owner.Mint(context.Background())
	assert.NilError(c.t, err)
	j.ID = id
	return j
}

// allEnded reports whether no run is in progress.
func (c *cell) allEnded() bool {
	for _, r := range c.platform.History(0).Runs {
		if r.EndedMS == 0 {
			return false
		}
	}
	return true
}

// checkAtMostOnce fails unless every request ran at most once and every final answer
// agrees with the workers' history. Unknown outcomes are allowed only if the owner
// was lost.
func (c *cell) checkAtMostOnce(idKind string, callers []*retryingCaller, ownerLost bool) {
	c.t.Helper()
	outcomes := make(map[api.Outcome]int)
	for _, r := range callers {
		ids := make(map[string]bool)
		for _, a := range r.answers {
			if a.JobID != "" {
				ids[a.JobID] = true
			}
		}
		runs := 0
		for id := range ids {
			runs += c.runs(id)
		}
		last := r.last()
		outcomes[last.Outcome]++
		assert.Assert(c.t, runs <= 1, "%s %s%s ran %d times: %+v", idKind, r.job.ID, r.job.Key, runs, r.answers)
		switch last.Outcome {
		case api.OutcomeCompleted:
			assert.Equal(c.t, runs, 1)
			c.checkAnswer(r.job, last)
		case api.OutcomeNotRun:
			assert.Equal(c.t, runs, 0, "%+v", last)
		default:
			assert.Assert(c.t, ownerLost && last.Outcome == api.OutcomeUnknown, "%+v: %v", last, last.Error)
		}
	}
	c.t.Logf("outcomes: %v", outcomes)
	assert.Assert(c.t, len(c.platform.History(0).Runs) <= len(callers))
	c.checkWorkers()
}

// TestRacingKeys guards against two runs of a request that is sent with the same key
// through all entry processes concurrently.
func TestRacingKeys(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault standin.LogFaults
	}{
		{"no fault", standin.LogFaults{}},
		{"append responses lost", standin.LogFaults{LoseAppends: -1}},
		{"log slow", standin.LogFaults{DelayMS: 150}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, defaultOptions())
			c.platform.SetLogFaults(test.fault)
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
