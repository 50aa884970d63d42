package node

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/core"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// backend lets callers reach the core.
type backend struct{ n *Node }

// Do hands an operation to the core and waits for its answer.
func (b backend) Do(ctx context.Context, op message.Operation, job api.Job) (api.Answer, error) {
	n := b.n
	token := n.tokens.Add(1)
	reply := make(chan api.Answer, 1)
	n.post(call(func(n *Node) {
		n.waiting[token] = reply
		n.step(core.CallerRequest{Token: token, Operation: op, Job: job})
	}))
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		n.post(call(func(n *Node) {
			delete(n.waiting, token)
			n.step(core.CallerGone{Token: token})
		}))
		return api.Answer{}, fault.New(fault.Unavailable, "the answer did not come in time", "ask for the status of the job, or repeat the request under the same id or key")
	case <-n.done:
		return api.Answer{}, errEnded()
	}
}

// MintID returns a new job id of this process.
func (b backend) MintID() (string, error) {
	n := b.n
	type minted struct {
		id  string
		err error
	}
	reply := make(chan minted, 1)
	n.post(call(func(n *Node) {
		id, err := n.core.MintID(time.Now())
		reply <- minted{id, err}
	}))
	select {
	case m := <-reply:
		return m.id, m.err
	case <-n.done:
		return "", errEnded()
	}
}

func errEnded() *fault.Error {
	return fault.New(fault.NotReady, "the entry process has stopped", "use another entry process")
}

// workspaceTokens holds the token hashes of the bundle in force by workspace.
type workspaceTokens map[string]string

func newWorkspaceTokens(workspaces []bundle.Workspace) *workspaceTokens {
	tokens := make(workspaceTokens, len(workspaces))
	for _, t := range workspaces {
		tokens[t.Name] = t.TokenHash
	}
	return &tokens
}

// Authorize checks a workspace's token against the bundle in force.
func (b backend) Authorize(token, workspace string) error {
	tokens := b.n.workspaces.Load()
	if tokens == nil {
		return fault.New(fault.NotReady, "no bundle is in force yet", "send the request again, or use another entry process")
	}
	want, ok := (*tokens)[workspace]
	if !ok {
		return fault.New(fault.Unauthorized, fmt.Sprintf("workspace %q is not in the bundle", workspace), "use a workspace of the bundle in force")
	}
	if want == "" {
		return nil
	}
	if token == "" {
		return fault.New(fault.Unauthorized, "the bearer token is missing", "send the header Authorization: Bearer with the workspace's token")
	}
	sum := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(want)) != 1 {
		return fault.New(fault.Unauthorized, fmt.Sprintf("the token is not that of workspace %q", workspace), "send the workspace's token as bearer token")
	}
	return nil
}
