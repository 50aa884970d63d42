package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// TestNew guards against an event that takes more than one line because a value
// contains line breaks, and against a level that is not applied.
func TestNew(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info", zap.String("entry", "entry-1"))
	assert.NilError(t, err)
	log.Debug("hidden")
	cause := errors.New("line 1\nline 2")
	log.Info("roll_refused", Fault(fault.Wrap(fault.Conflict, cause, "a b", "roll\nagain"))...)
	line := out.String()
	assert.Equal(t, strings.Count(line, "\n"), 1)
	_, rest, ok := strings.Cut(line, " ")
	assert.Assert(t, ok && strings.HasPrefix(line, "ts="))
	assert.Equal(t, rest, `level=info event=roll_refused entry=entry-1 kind=conflict error="a b" cause="line 1\nline 2" remedy="roll\nagain"`+"\n")
	_, err = New(&out, "loud")
	assert.Equal(t, fault.KindOf(err), fault.Invalid)
}
