package test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// TestWholePath guards against a failure anywhere between a caller and a worker: a
// request through any entry process must run once and get a complete answer.
func TestWholePath(t *testing.T) {
	c := startCell(t, defaultOptions())
	for i := range 3 {
		client := c.client(entryName(i))
		j := request(10*time.Millisecond, 100)
		answer := client.Submit(context.Background(), j)
		c.checkAnswer(j, answer)
		assert.Equal(t, c.runs(answer.JobID), 1)
	}
	c.checkWorkers()
}

// TestJobKinds guards against a kind of job that is accepted but never run.
func TestJobKinds(t *testing.T) {
	c := startCell(t, defaultOptions())
	client := c.client("entry-0")
	for _, kind := range []api.Kind{api.KindBatch, api.KindGang} {
		accepted := client.Submit(context.Background(), job(kind, 6, 50*time.Millisecond))
		assert.Equal(t, accepted.Outcome, api.OutcomeAccepted, "%v", accepted.Error)
		done := c.client("entry-1").Wait(context.Background(), accepted.JobID, 30*time.Second)
		assert.Equal(t, done.Outcome, api.OutcomeCompleted, "%v", done.Error)
		assert.Equal(t, c.runs(accepted.JobID), 6)
	}
	accepted := client.Submit(context.Background(), job(api.KindService, 2, 0))
	assert.Equal(t, accepted.Outcome, api.OutcomeAccepted, "%v", accepted.Error)
	c.await("the service to run", func() bool { return c.runs(accepted.JobID) == 2 })
	cancelled := c.client("entry-2").Cancel(context.Background(), accepted.JobID)
	assert.Equal(t, cancelled.Outcome, api.OutcomeFailed, "%v", cancelled.Error)
	c.checkWorkers()
}
