package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// layout is the division of a deployment into cells. The first process that finds none
// in the log decides it, and it never changes afterwards.
type layout struct {
	Cells int `cbor:"1,keyasint"`
}

const layoutKey = "layout"

// Parameters of the layout decision.
const (
	// workersPerCell is the intended number of workers of a cell. A gang must fit on
	// those workers of its cell that it may use, which for some queues is a quarter of
	// them; larger cells mean more work for the holder.
	workersPerCell = 400
	// registrySettleTime is how long the number of workers must be unchanged before the
	// layout is derived from it.
	registrySettleTime = 1200 * time.Millisecond
	// registryTimeout limits the wait for the number of workers to settle.
	registryTimeout = 6 * time.Second
	// layoutTimeout limits one call to the log for the layout or the registrations.
	layoutTimeout    = time.Second
	layoutRetryDelay = 150 * time.Millisecond
)

// cellsFor returns the number of cells for the given number of workers.
func cellsFor(workers int) int { return max((workers+workersPerCell/2)/workersPerCell, 1) }

// findLayout returns the number of cells from the log. If the log has none, this
// process derives one and writes it. It returns 0 if ctx ends.
func (n *Node) findLayout(ctx context.Context) int {
	watch, stop := context.WithCancel(ctx)
	defer stop()
	counts := make(chan int, 1)
	n.spawn(func() { n.countWorkers(watch, counts) })
	start, workers, since := time.Now(), 0, time.Now()
	for ctx.Err() == nil {
		found, end, err := n.readLayout(ctx)
		switch {
		case err != nil:
			n.cfg.Logger.Debug("layout_not_read", zap.Error(err))
		case found.Cells > 0:
			return found.Cells
		case workers > 0 && time.Since(since) > registrySettleTime || time.Since(start) > registryTimeout:
			if n.writeLayout(ctx, layout{Cells: cellsFor(workers)}, end) {
				continue
			}
		}
		select {
		case count := <-counts:
			if count != workers {
				workers, since = count, time.Now()
			}
		default:
		}
		if !clock.Sleep(ctx, layoutRetryDelay) {
			break
		}
	}
	return 0
}

// countWorkers keeps the current number of workers in counts until ctx ends.
func (n *Node) countWorkers(ctx context.Context, counts chan int) {
	n.platform.Registry.WatchWorkers(ctx, func(infos []cell.WorkerInfo) {
		select {
		case <-counts:
		default:
		}
		counts <- len(infos)
	})
}

func (n *Node) readLayout(ctx context.Context) (layout, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, layoutTimeout)
	defer cancel()
	records, end, err := n.platform.Log.Newest(ctx, topicLayout, 0)
	if err != nil {
		return layout{}, 0, err
	}
	if len(records) == 0 {
		return layout{}, end, nil
	}
	var l layout
	if err := cbor.Unmarshal(records[0].Value, &l); err != nil {
		return layout{}, 0, fault.Wrap(fault.Internal, err, "the layout of the cells cannot be read", "run the same version on all entry VMs")
	}
	return l, end, nil
}

// writeLayout appends a layout unless another process has appended one. It reports whether the
// log has one then, which the caller reads back in either case.
func (n *Node) writeLayout(ctx context.Context, l layout, end int64) bool {
	ctx, cancel := context.WithTimeout(ctx, layoutTimeout)
	defer cancel()
	_, err := n.platform.Log.Append(ctx, Append{Topic: topicLayout, ExpectedEnd: &end, Records: []cell.Record{{Key: layoutKey, Value: mustMarshal(l)}}})
	n.cfg.Logger.Info("layout_proposed", zap.Int("cells", l.Cells), zap.Error(err))
	return err == nil || isEndMismatch(err)
}

func mustMarshal(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the records of this package can always be encoded
	}
	return data
}
