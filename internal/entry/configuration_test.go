package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Guards against a process without the log that cannot tell whether its configuration is still the newest one.
func TestFollowerCopiesConfigurationOfHolder(t *testing.T) {
	holder, follower := startPair(t, newFakeLog(), newFakeFleet(1))
	eventually(t, "a link", follower.reaches)
	got, err := follower.CopyConfiguration(within(time.Second), 6)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, ConfigurationCopy{Version: 7, Age: 2 * time.Millisecond, Record: []byte(holder.cfg.Name)})
	got, err = follower.CopyConfiguration(within(time.Second), 7)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Record), 0, "the follower knows the version")
	_, err = holder.CopyConfiguration(within(time.Second), 6)
	assert.Equal(t, fault.KindOf(err), fault.Unavailable, "a holder has no other process to ask")
}
