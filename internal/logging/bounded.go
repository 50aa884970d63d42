package logging

import (
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of a bounded logger.
const (
	// maxLines is the maximum number of waiting lines.
	maxLines = 8192
	// maxInfoLines is the number of waiting lines at which lines of level info are dropped.
	// The remaining space is reserved for warnings and errors.
	maxInfoLines = 7168
	// maxRoutineLines is the number of waiting lines at which routine lines and those of
	// level debug are dropped. With about 900 starts per second and steps of 1 to 10 tasks,
	// a holder logs about 500 lines per second, 70% of them routine ones.
	maxRoutineLines = 3072
)

// Routine is a field that adds no text. It marks frequent lines that explain no decision; a
// bounded logger drops them before others of level info.
var Routine = zap.Field{Key: "routine", Type: zapcore.SkipType}

// Buffer is a queue of log lines that a goroutine writes. Adding a line never blocks:
// if the buffer has no space for such a line, it is dropped, and the number of dropped
// lines is logged. It is safe for concurrent use.
type Buffer struct {
	mu      sync.Mutex
	lines   [][]byte
	dropped int
	wake    chan struct{}
	idle    *sync.Cond // signalled when all lines are written
	writing bool       // lines were taken and are being written
}

// NewBounded returns a logger like that of New, and the buffer through which a
// separate goroutine writes its lines to w. A slow reader of the log therefore never
// blocks the process. It returns an Invalid error if the level is unknown.
func NewBounded(w io.Writer, level string, fields ...zap.Field) (*zap.Logger, *Buffer, error) {
	minLevel, encoder, err := levelAndEncoder(level)
	if err != nil {
		return nil, nil, err
	}
	b := &Buffer{wake: make(chan struct{}, 1)}
	b.idle = sync.NewCond(&b.mu)
	go b.run(w)
	return zap.New(&boundedCore{LevelEnabler: minLevel, encoder: encoder, buffer: b}).With(fields...), b, nil
}

// lineLimit returns the number of waiting lines at which a line is dropped.
func lineLimit(level zapcore.Level, fields []zapcore.Field) int {
	switch {
	case level >= zapcore.WarnLevel:
		return maxLines
	case level == zapcore.DebugLevel || slices.ContainsFunc(fields, Routine.Equals):
		return maxRoutineLines
	}
	return maxInfoLines
}

// add queues a line, or drops and counts it if limit or more lines wait.
func (b *Buffer) add(limit int, line []byte) {
	b.mu.Lock()
	if len(b.lines) >= limit {
		b.dropped++
	} else {
		b.lines = append(b.lines, line)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run writes lines as they are added. It never returns.
func (b *Buffer) run(w io.Writer) {
	for range b.wake {
		for {
			lines, dropped := b.take()
			if len(lines) == 0 {
				break
			}
			for _, line := range lines {
				_, _ = w.Write(line) // there is no other place to report an error
			}
			if dropped > 0 {
				_, _ = io.WriteString(w, "ts="+timestamp(time.Now())+" level=warn event=log_lines_dropped lines="+strconv.Itoa(dropped)+"\n")
			}
		}
	}
}

// take removes all waiting lines and resets the number of dropped ones.
func (b *Buffer) take() (lines [][]byte, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines, dropped = b.lines, b.dropped
	b.lines, b.dropped = nil, 0
	b.writing = len(lines) > 0
	if !b.writing {
		b.idle.Broadcast()
	}
	return lines, dropped
}

// Flush waits until all lines are written. At the timeout it drops the waiting lines
// and returns.
func (b *Buffer) Flush(timeout time.Duration) {
	timer := time.AfterFunc(timeout, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.writing = false
		b.lines = nil
		b.idle.Broadcast()
	})
	defer timer.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.lines) > 0 || b.writing {
		b.idle.Wait()
	}
}

// boundedCore encodes entries into a Buffer.
type boundedCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	buffer  *Buffer
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	clone := &boundedCore{LevelEnabler: c.LevelEnabler, encoder: c.encoder.Clone(), buffer: c.buffer}
	for _, f := range fields {
		f.AddTo(clone.encoder)
	}
	return clone
}

// Check implements zapcore.Core.
func (c *boundedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *boundedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.buffer.add(lineLimit(e.Level, fields), append([]byte(nil), line.Bytes()...))
	line.Free()
	return nil
}

// Sync implements zapcore.Core. It does nothing; use Buffer.Flush.
func (c *boundedCore) Sync() error { return nil }
