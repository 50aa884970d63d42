package peer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/measure"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestMeasureFrames measures the sizes of the frames between entry processes.
func TestMeasureFrames(t *testing.T) {
	measure.Start(t)
	self := api.EntryRef{Name: "entry-a-1", Incarnation: 1764831234567}
	id := api.AttemptID{Job: api.NewJobID(self, 123456), Number: 1}
	need := api.Resources{CPUMilli: 2000, MemoryMB: 4000, Slots: 1, Connections: 1}
	spec := api.TaskSpec{Coordinator: self, Workspace: "quotes-west", Class: "urgent", Kind: api.KindRequest, Idempotent: true, Resources: need, RunTimeMS: 2000}
	place := message.Place{Attempt: id, Worker: "worker-00001", Epoch: 12, Boot: 1764831234567}
	ended := api.TaskReport{Spec: spec, State: api.TaskEnded, Outcome: api.OutcomeCompleted, Length: 100, Checksum: 1 << 60, Body: make([]byte, 100)}
	ended.Spec.Attempt = id
	whole := 0
	for _, m := range []message.Message{
		message.Reserve{Attempts: []api.AttemptID{id}, Spec: spec, TTLMS: 2000},
		message.Reserved{Places: []message.Place{place}},
		message.Commit{Place: place, Payload: make([]byte, 200)},
		message.Started{Attempt: id},
		message.Ended{Report: ended},
		message.Acknowledge{Attempts: []api.AttemptID{id}},
	} {
		frame, err := encodeMessage(m)
		assert.NilError(t, err)
		whole += len(frame)
		measure.Figure(t, fmt.Sprintf("frame %T", m), float64(len(frame)), "bytes")
	}
	measure.Figure(t, "frames of one start at a peer, 200 bytes in, 100 out", float64(whole), "bytes")
	s := message.Summary{Roll: 1234, Held: 1500, Capacity: need.Scale(12000), Free: need.Scale(3000), Largest: need.Scale(8),
		FreeByClass: map[string]api.Resources{}}
	for i := range 6 {
		s.FreeByClass[fmt.Sprintf("class-%d", i)] = need.Scale(1000)
	}
	frame, err := encodeMessage(s)
	assert.NilError(t, err)
	measure.Figure(t, "summary with 6 classes", float64(len(frame)), "bytes")
	for _, workspaces := range []int{1, 40, 160} {
		use := message.WorkspaceUse{Use: map[string]api.Resources{}}
		for i := range workspaces {
			use.Use[fmt.Sprintf("workspace-%03d", i)] = need.Scale(int64(10 + i))
		}
		frame, err := encodeMessage(use)
		assert.NilError(t, err)
		measure.Figure(t, fmt.Sprintf("use by %d workspaces", workspaces), float64(len(frame)), "bytes")
	}
}
