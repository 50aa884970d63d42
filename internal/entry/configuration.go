package entry

import (
	"context"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// A process that does not reach the log copies the operators' configuration from the holder of a
// cell, which usually does.

// configurationRequest asks for the configuration that the receiver knows.
type configurationRequest struct {
	Known uint64 `cbor:"1,keyasint"` // version that the sender knows
}

// configurationReply is a ConfigurationCopy.
type configurationReply struct {
	Version uint64 `cbor:"1,keyasint"`
	AgeMS   int64  `cbor:"2,keyasint"` // rounded up
	Record  []byte `cbor:"3,keyasint,omitempty"`
}

// CopyConfiguration returns the configuration that the holder of a cell knows, by the copy with
// the lowest age if there are several holders, with its record if the version is newer than the
// known one. Errors are *fault.Error: Unavailable if no other process that holds a cell answers.
func (n *Node) CopyConfiguration(ctx context.Context, known uint64) (ConfigurationCopy, error) {
	var best ConfigurationCopy
	var err error = fault.New(fault.Unavailable, "no other process that holds a cell is reached", "retry when one is")
	found := false
	for _, a := range n.agents() {
		_, l, _ := a.route()
		if l == nil {
			continue
		}
		got, callErr := copyConfiguration(ctx, l, known)
		switch {
		case callErr != nil:
			if !found {
				err = callErr
			}
		case !found || got.Age < best.Age:
			best, found, err = got, true, nil
		}
	}
	return best, err
}

// copyConfiguration asks the process at the other end of a link for its configuration. The age in
// the result is that at the time of the call.
func copyConfiguration(ctx context.Context, l *link.Link, known uint64) (ConfigurationCopy, error) {
	var reply configurationReply
	if err := l.Call(ctx, kindConfiguration, configurationRequest{known}, &reply); err != nil {
		return ConfigurationCopy{}, err
	}
	return ConfigurationCopy{Version: reply.Version, Age: time.Duration(reply.AgeMS) * time.Millisecond, Record: reply.Record}, nil
}

// handleConfigurationRequest replies with the configuration that this process knows.
func (n *Node) handleConfigurationRequest(r *link.Request) {
	var in configurationRequest
	if !decode(r, &in) {
		return
	}
	if n.platform.Configuration == nil {
		r.Reply(nil, fault.New(fault.Unavailable, "this process has no configuration", "ask another process"))
		return
	}
	c := n.platform.Configuration.Copy(in.Known)
	r.Reply(configurationReply{Version: c.Version, AgeMS: (c.Age + time.Millisecond - 1).Milliseconds(), Record: c.Record}, nil)
}
