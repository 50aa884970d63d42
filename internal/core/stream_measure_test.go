package core

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/measure"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// TestMeasureRecords measures the sizes of the records of the work stream and the time
// to apply one. The job has a payload of 200 bytes.
func TestMeasureRecords(t *testing.T) {
	measure.Start(t)
	self := api.EntryRef{Name: "entry-a-1", Incarnation: 1764831234567}
	id := api.NewJobID(self, 123456)
	attempt := api.AttemptID{Job: id, Number: 1}
	job := newRig().job()
	job.ID, job.Kind, job.Payload = id, api.KindBatch, make([]byte, 200)
	for _, r := range []struct {
		name   string
		record record.Record
	}{
		{"claim", record.Record{Claim: &record.Claim{Workspace: "order-desk", Key: "order-00001234", JobID: id}}},
		{"accept", record.Record{Accept: &record.Accept{Job: job}}},
		{"start", record.Record{Start: &record.Start{Attempt: attempt, Worker: "worker-00001", Epoch: 12, Boot: 1764831234567}}},
		{"end, answer of 100 bytes", record.Record{End: &record.End{Attempt: attempt, Outcome: api.OutcomeCompleted, Body: make([]byte, 100)}}},
		{"adopt", record.Record{Adopt: &record.Adopt{JobID: id, Replaces: 123456}}},
		{"cancel", record.Record{Cancel: &record.Cancel{JobID: id}}},
	} {
		r.record.Writer, r.record.Sequence = self, 123456
		data, err := record.Encode(r.record)
		assert.NilError(t, err)
		measure.Figure(t, "record "+r.name, float64(len(data)), "bytes of CBOR")
	}
	const jobs = 20_000
	r := newRig()
	began := time.Now()
	r.logJobs(rigPeer, 0, jobs)
	measure.Figure(t, "accept of a peer applied", us(time.Since(began))/jobs, "us")
	vm, err := json.Marshal(rigVMs(1, "scot-west-a")[0])
	assert.NilError(t, err)
	measure.Figure(t, "one VM in the list", float64(len(vm)), "bytes of JSON")
	all, err := json.Marshal(rigVMs(13_000, "scot-west-a"))
	assert.NilError(t, err)
	measure.Figure(t, "the list of 13000 VMs", float64(len(all)), "bytes of JSON")
}

func largeBundle() bundle.Bundle {
	b := floodBundle()
	b.Workspaces = nil
	for i := range 160 {
		b.Workspaces = append(b.Workspaces, bundle.Workspace{Name: fmt.Sprintf("workspace-%03d", i), Weight: 1,
			Quota: scaled(100_000), TokenHash: fmt.Sprintf("%064x", i)})
	}
	return b
}

// TestMeasureRolls measures rolls that change one section of a bundle with 160
// workspaces and a drain list of 100 workers.
func TestMeasureRolls(t *testing.T) {
	measure.Start(t)
	public, private, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	const changes = 200
	for _, section := range []string{"classes", "workspaces", "fleet", "timing"} {
		writer := bundle.NewChain(bundle.Keys{"alice": public})
		reader := bundle.NewChain(bundle.Keys{"alice": public})
		r := newRig()
		r.hold(1500)
		b := largeBundle()
		for i := range 100 {
			b.Fleet.Drain = append(b.Fleet.Drain, fmt.Sprintf("worker-%05d", 20_000+i))
		}
		bytes := 0.0
		var signed, applied, inForce []time.Duration
		offset := uint64(0)
		for i := range changes {
			changeSection(&b, section, i)
			b.Version = uint64(i + 1)
			began := time.Now()
			roll, err := writer.Sign(b, "alice", private, r.now)
			assert.NilError(t, err)
			signed = append(signed, time.Since(began))
			began = time.Now()
			for _, data := range roll.Records {
				_, err = reader.Apply(offset, data)
				assert.NilError(t, err)
				if i > 0 {
					bytes += float64(len(data))
				}
				_, _ = writer.Apply(offset, data)
				offset++
			}
			applied = append(applied, time.Since(began))
			began = time.Now()
			r.step(BundleChanged{Roll: uint64(i + 1), Bundle: b})
			inForce = append(inForce, time.Since(began))
		}
		label := section + ": "
		measure.Figure(t, label+"one change", bytes/(changes-1), "bytes of records")
		measure.Figure(t, label+"sign, p50", us(measure.Quantile(signed, 0.5)), "us")
		measure.Figure(t, label+"check and apply at two chains, p50", us(measure.Quantile(applied, 0.5)), "us")
		measure.Figure(t, label+"in force in the core, p50", us(measure.Quantile(inForce, 0.5)), "us")
		measure.Figure(t, label+"in force in the core, p99", us(measure.Quantile(inForce, 0.99)), "us")
	}
}

func changeSection(b *bundle.Bundle, section string, i int) {
	switch section {
	case "classes":
		b.Classes[0].QueueBound = 400 + i
	case "workspaces":
		b.Workspaces[i%len(b.Workspaces)].Weight = float64(2 + i)
	case "fleet":
		b.Fleet.Drain[i%len(b.Fleet.Drain)] = fmt.Sprintf("worker-%05d", 30_000+i)
	case "timing":
		b.Timing.ReserveTimeoutMS = int64(300 + i)
	}
}
