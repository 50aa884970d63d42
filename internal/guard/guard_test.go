package guard

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// A panic must become a logged error with its stack instead of ending the process.
func TestRunContainsPanics(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	logger := zap.New(core)
	assert.NilError(t, Run(logger, "a calm call", func() {}))
	assert.Equal(t, logs.Len(), 0)
	err := Run(logger, "decode", func() { var none []int; _ = none[3] })
	assert.Equal(t, fault.KindOf(err), fault.Internal)
	assert.ErrorContains(t, err, "decode")
	assert.Equal(t, logs.Len(), 1)
	assert.Assert(t, len(logs.All()[0].ContextMap()["stack"].(string)) > 0)
}
