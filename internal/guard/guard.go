// Package guard contains panics, so that a defect in the handling of one message or
// event does not end the process or silently stop one of its goroutines.
package guard

import (
	"fmt"

	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Run calls f. If f panics, Run logs the panic with its stack as the event "panic" and
// returns a fault of kind Internal; otherwise it returns nil. where names what f does.
func Run(logger *zap.Logger, where string, f func()) error {
	recovered := panics.Try(f)
	if recovered == nil {
		return nil
	}
	logger.Error("panic", zap.String("where", where), zap.String("value", fmt.Sprint(recovered.Value)), zap.ByteString("stack", recovered.Stack))
	return fault.New(fault.Internal, fmt.Sprintf("panic in %s: %v", where, recovered.Value), "report this as a defect with the stack in the log")
}
