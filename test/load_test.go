package test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/caller"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// callerResult is a submitted job and the answer that its caller received.
type callerResult struct {
	job    api.Job
	answer api.Answer
}

// workload sends mixed requests through all entry processes while a test injects
// faults.
type workload struct {
	c     *cell
	stop  chan struct{}
	group conc.WaitGroup

	mu      sync.Mutex // guards the fields below
	clients []*caller.Client
	results []callerResult
}

// callersPerEntry is the number of concurrent callers at each entry process.
const callersPerEntry = 6

// startWorkload starts concurrent callers, each of which sends one request after the
// other until finish is called.
func (c *cell) startWorkload(seed uint64) *workload {
	w := &workload{c: c, stop: make(chan struct{})}
	for i := range len(c.entries) {
		w.clients = append(w.clients, c.client(entryName(i)))
	}
	for i := range callersPerEntry * len(w.clients) {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		w.group.Go(func() { w.callRepeatedly(i, rng) })
	}
	return w
}

// client returns the client of entry process i, modulo their number.
func (w *workload) client(i int) *caller.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clients[i%len(w.clients)]
}

// useReplacement connects the callers of entry process i to the process that
// replaced it.
func (w *workload) useReplacement(i int) {
	client := w.c.client(entryName(i))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clients[i] = client
}

// retryDelay is a caller's delay before it tries another entry process.
const retryDelay = 20 * time.Millisecond

// callRepeatedly sends one request after the other to an entry process, and moves on
// to the next process when a request does not complete, as behind a load balancer.
func (w *workload) callRepeatedly(entry int, rng *rand.Rand) {
	for {
		select {
		case <-w.stop:
			return
		default:
		}
		j := randomRequest(rng)
		ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
		if rng.IntN(3) == 0 {
			w.callMinted(ctx, w.client(entry), j, rng)
		} else if answer := w.client(entry).Submit(ctx, j); w.record(j, answer) != api.OutcomeCompleted {
			entry++
			time.Sleep(retryDelay)
		}
		cancel()
	}
}

// callMinted submits a non-idempotent request under a minted ID. While the outcome
// is unknown, it retries up to two times through randomly chosen entry processes, as a
// caller does that lost its connection.
func (w *workload) callMinted(ctx context.Context, client *caller.Client, j api.Job, rng *rand.Rand) {
	id, err := client.Mint(ctx)
	if err != nil {
		return
	}
	j.ID = id
	j.Idempotent = false
	for range 3 {
		answer := client.Submit(ctx, j)
		if answer.JobID == "" {
			answer.JobID = id
		}
		if w.record(j, answer) != api.OutcomeUnknown {
			return
		}
		client = w.client(rng.Int())
	}
}

func randomRequest(rng *rand.Rand) api.Job {
	j := request(time.Duration(rng.IntN(400))*time.Millisecond, rng.IntN(200)*rng.IntN(1000))
	j.Resources.CPUMilli = 100 + rng.Int64N(1500)
	j.Resources.MemoryMB = 100 + rng.Int64N(3000)
	j.Idempotent = rng.IntN(2) == 0
	if rng.IntN(2) == 0 {
		j.Class = "bulk"
	}
	return j
}

// record stores an answer and returns its outcome.
func (w *workload) record(j api.Job, answer api.Answer) api.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, callerResult{j, answer})
	return answer.Outcome
}

// finish stops the callers and checks their results and the workers.
func (w *workload) finish() {
	w.c.t.Helper()
	close(w.stop)
	w.group.Wait()
	runs := w.runsByJob()
	outcomes := make(map[api.Outcome]int)
	for _, r := range w.results {
		w.checkResult(r, runs[r.answer.JobID])
		outcomes[r.answer.Outcome]++
	}
	w.c.t.Logf("outcomes: %v", outcomes)
	assert.Assert(w.c.t, outcomes[api.OutcomeCompleted] > 0)
	w.c.checkWorkers()
}

// checkResult checks one result against the number of runs of its job.
func (w *workload) checkResult(r callerResult, runs int) {
	w.c.t.Helper()
	id := r.answer.JobID
	switch r.answer.Outcome {
	case api.OutcomeCompleted:
		w.c.checkAnswer(r.job, r.answer)
		assert.Assert(w.c.t, runs > 0, "job %s did not run and was answered completed", id)
	case api.OutcomeNotRun:
		assert.Equal(w.c.t, runs, 0, "job %s ran and was answered not_run: %v", id, r.answer.Error)
	default:
		assert.Assert(w.c.t, r.answer.Error != nil, "job %s has no error", id)
		assert.Assert(w.c.t, r.answer.Error.Kind != fault.Internal, "job %s: %v", id, r.answer.Error)
	}
	if !r.job.Idempotent {
		assert.Assert(w.c.t, runs <= 1, "non-idempotent job %s ran %d times", id, runs)
	}
}

func (w *workload) runsByJob() map[string]int {
	runs := make(map[string]int)
	for page := w.c.platform.History(0); len(page.Runs) > 0; page = w.c.platform.History(page.Next) {
		for _, r := range page.Runs {
			runs[r.Attempt.Job]++
		}
	}
	return runs
}

// completed returns the number of requests completed so far.
func (w *workload) completed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, r := range w.results {
		if r.answer.Outcome == api.OutcomeCompleted {
			count++
		}
	}
	return count
}

// awaitProgress waits until that many more requests have completed.
func (w *workload) awaitProgress(requests int) {
	w.c.t.Helper()
	target := w.completed() + requests
	w.c.await("requests to complete", func() bool { return w.completed() >= target })
}
