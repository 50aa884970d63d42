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

// layout is the division of a deployment into cells. The first process that finds
// none decides it; it stays as it is.
type layout struct {
	Cells int `cbor:"1,keyasint"`
}

const layoutKey = "layout"

// Decision of the layout.
const (
	// workersPerCell is the number of workers that a cell should have. A gang has to
	// find its room among the workers of its cell that it is allowed to use, a
	// quarter of them for some queues; in larger cells the holder's work grows.
	workersPerCell = 400
	// registryQuiet is how long the number of workers must stay the same before
	// it decides the layout.
	registryQuiet = 1200 * time.Millisecond
	// registryPatience bounds the wait for that.
	registryPatience = 6 * time.Second
	layoutTimeout    = time.Second
	layoutRetry      = 150 * time.Millisecond
)

// cellsFor returns the number of cells for a number of workers.
func cellsFor(workers int) int { return max((workers+workersPerCell/2)/workersPerCell, 1) }

// findLayout returns the number of cells: that of the log, or else one that this
// process decides and writes. It returns 0 if ctx ends.
func (n *Node) findLayout(ctx context.Context) int {
	watch, stop := context.WithCancel(ctx)
	defer stop()
	counts := make(chan int, 1)
	n.spawn(func() { n.countWorkers(watch, counts) })
	begun, workers, since := time.Now(), 0, time.Now()
	for ctx.Err() == nil {
		found, end, err := n.readLayout(ctx)
		switch {
		case err != nil:
			n.cfg.Logger.Debug("layout_not_read", zap.Error(err))
		case found.Cells > 0:
			return found.Cells
		case workers > 0 && time.Since(since) > registryQuiet || time.Since(begun) > registryPatience:
			n.writeLayout(ctx, layout{Cells: cellsFor(workers)}, end)
			continue
		}
		select {
		case count := <-counts:
			if count != workers {
				workers, since = count, time.Now()
			}
		default:
		}
		clock.Sleep(ctx, layoutRetry)
	}
	return 0
}

// countWorkers sends the newest number of workers until ctx ends.
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

// writeLayout appends a layout unless another process was first; the caller reads
// it back in either case.
func (n *Node) writeLayout(ctx context.Context, l layout, end int64) {
	ctx, cancel := context.WithTimeout(ctx, layoutTimeout)
	defer cancel()
	_, err := n.platform.Log.Append(ctx, Append{Topic: topicLayout, At: &end, Records: []cell.Record{{Key: layoutKey, Value: mustMarshal(l)}}})
	n.cfg.Logger.Info("layout_proposed", zap.Int("cells", l.Cells), zap.Error(err))
}

func mustMarshal(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the package's records always have a CBOR form
	}
	return data
}
