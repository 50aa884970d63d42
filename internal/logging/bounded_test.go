package logging

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	mu      sync.Mutex
	text    strings.Builder
	release chan struct{}
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestBoundedNeverBlocks guards against a logger that blocks the process because the
// reader of its output has stopped reading. Lines that do not fit are dropped and
// counted, info lines before warnings.
func TestBoundedNeverBlocks(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	log, buffer, err := NewBounded(w, "info")
	assert.NilError(t, err)
	const infoLines = 10 * maxLines
	start := time.Now()
	for range infoLines {
		log.Info("plain")
	}
	for range maxLines - maxInfoLines {
		log.Warn("kept")
	}
	log.Info("dropped")
	assert.Assert(t, time.Since(start) < 5*time.Second)
	close(w.release)
	buffer.Flush(5 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	text := w.text.String()
	// The goroutine may have taken the first lines before the buffer fills up.
	assert.Assert(t, strings.Count(text, "event=plain") >= maxInfoLines)
	assert.Assert(t, strings.Count(text, "event=plain") < 3*maxLines)
	assert.Equal(t, strings.Count(text, "event=kept"), maxLines-maxInfoLines)
	assert.Equal(t, strings.Count(text, "event=log_lines_dropped"), 1)
	assert.Equal(t, strings.Count(text, "event=dropped"), 0)
}

// Guards against routine lines that take the space of others of level info, or whose mark is written.
func TestRoutineLinesAreDroppedFirst(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	log, buffer, err := NewBounded(w, "info")
	assert.NilError(t, err)
	const attempts = 3 * maxLines
	for range attempts {
		log.Info("routine", Routine)
	}
	for range maxInfoLines - maxRoutineLines {
		log.Info("kept")
	}
	close(w.release)
	buffer.Flush(5 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	text := w.text.String()
	// The goroutine may have taken the first lines before the buffer fills up.
	assert.Assert(t, strings.Count(text, "event=routine\n") >= maxRoutineLines)
	assert.Assert(t, strings.Count(text, "event=routine\n") <= 2*maxRoutineLines)
	assert.Equal(t, strings.Count(text, "event=kept\n"), maxInfoLines-maxRoutineLines)
	assert.Equal(t, strings.Count(text, "event=log_lines_dropped"), 1)
}
