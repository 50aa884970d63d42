package entry

import (
	"context"
	"errors"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fxamacker/cbor/v2"
)

// claim names the holder of a cell. Claims and their renewals form a chain: each is
// appended on the condition that the partition still ends where its writer has read, so
// of two concurrent writers one fails.
type claim struct {
	Holder      string `cbor:"1,keyasint,omitempty"` // empty if the holder has released the cell
	Incarnation string `cbor:"2,keyasint,omitempty"`
	Address     string `cbor:"3,keyasint,omitempty"`
	// Token is the fencing token: the end of the partition after the first record of the
	// claim, so the offset of that record plus one. It is 0 in that record itself, which
	// is written before its offset is known, and set in renewals.
	Token int64 `cbor:"4,keyasint,omitempty"`
	// Term is the number of the claim on the cell, counted from 1. A release keeps it.
	Term     uint32 `cbor:"5,keyasint,omitempty"`
	Renewals uint32 `cbor:"6,keyasint,omitempty"` // number of renewals so far
	// Lanes are the lanes that may hold records of the cell.
	Lanes laneSet `cbor:"7,keyasint,omitempty"`
	// BestCPUMilli is the largest CPU share of a process that has held the cell or was named
	// as a successor, in thousandths of a core.
	BestCPUMilli uint64 `cbor:"8,keyasint,omitempty"`
	// EarlyRelease is set in the release of a term that was shorter than authorityPeriod:
	// a holder before it may still renew leases.
	EarlyRelease bool `cbor:"9,keyasint,omitempty"`
	// ReleasedBy and Successor are set in a release: the process that has released the cell,
	// and the one that is to claim it next, which is empty if there is none. The others leave
	// it some time, see successorWait. Earlier versions ignore both.
	ReleasedBy string `cbor:"10,keyasint,omitempty"`
	Successor  string `cbor:"11,keyasint,omitempty"`
}

const claimKey = "holder"

// priorAuthority returns how long the holder of this claim, or one before it, may still
// renew leases of workers after it is superseded.
func (c claim) priorAuthority() time.Duration {
	if c.Holder == "" && !c.EarlyRelease {
		return 0 // the holder has released the cell, and there was no other
	}
	return authorityPeriod
}

// claimLog reads and appends the claims of one cell.
type claimLog struct {
	log       Log
	partition int
}

// claimTimeout limits one call to the log.
const claimTimeout = time.Second

// read returns the newest claim, or an empty one if there is none, and the end of the
// partition.
func (c claimLog) read(ctx context.Context) (claim, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	records, end, err := c.log.Newest(ctx, topicClaims, c.partition)
	if err != nil {
		return claim{}, 0, err
	}
	for _, r := range records {
		if r.Key != claimKey {
			continue
		}
		var newest claim
		if err := cbor.Unmarshal(r.Value, &newest); err != nil {
			return claim{}, 0, fault.Wrap(fault.Internal, err, "the claim of a cell cannot be read", "run the same version on all entry VMs")
		}
		if newest.Token == 0 {
			newest.Token = end // the claim is the last record of the partition
		}
		return newest, end, nil
	}
	return claim{}, end, nil
}

// append appends next if the partition still ends at end, and returns the new end.
func (c claimLog) append(ctx context.Context, next claim, end int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return c.log.Append(ctx, Append{
		Topic: topicClaims, Partition: c.partition, ExpectedEnd: &end,
		Records: []cell.Record{{Key: claimKey, Value: mustMarshal(next)}},
	})
}

// isEndMismatch reports whether an append failed because another record was appended
// first.
func isEndMismatch(err error) bool {
	var a *AppendError
	return errors.As(err, &a) && a.Failure == AppendEndMismatch
}
