package node

import (
	"context"
	"fmt"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/core"
	"github.com/fulmarlatch/fulmarlatch/internal/credential"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// jobService implements caller.JobService with the core.
type jobService struct{ n *Node }

// Execute passes an operation to the core and waits for the answer.
func (s jobService) Execute(ctx context.Context, op message.Operation, job api.Job) (api.Answer, error) {
	n := s.n
	token := n.lastToken.Add(1)
	reply := make(chan api.Answer, 1)
	n.post(call(func(n *Node) {
		n.replies[token] = reply
		n.handleCoreEvent(core.CallerRequest{Token: token, Operation: op, Job: job})
	}))
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		n.post(call(func(n *Node) {
			delete(n.replies, token)
			n.handleCoreEvent(core.CallerGone{Token: token})
		}))
		return api.Answer{}, fault.New(fault.Unavailable, "no answer arrived in time", "look up the status of the job, or repeat the request with the same ID or key")
	case <-n.done:
		return api.Answer{}, errStopped()
	}
}

// MintID returns a new job ID of this process.
func (s jobService) MintID() (string, error) {
	n := s.n
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
		return "", errStopped()
	}
}

func errStopped() *fault.Error {
	return fault.New(fault.NotReady, "the entry process has stopped", "use another entry process")
}

// tokenHashes maps each workspace of the bundle in force to its token hash.
type tokenHashes map[string]string

func newTokenHashes(workspaces []bundle.Workspace) *tokenHashes {
	hashes := make(tokenHashes, len(workspaces))
	for _, w := range workspaces {
		hashes[w.Name] = w.TokenHash
	}
	return &hashes
}

// Authorize checks the token of a workspace against the bundle in force. A
// workspace without a token hash accepts any token.
func (s jobService) Authorize(token, workspace string) error {
	hashes := s.n.tokenHashes.Load()
	if hashes == nil {
		return fault.New(fault.NotReady, "no bundle is in force yet", "send the request again, or use another entry process")
	}
	want, ok := (*hashes)[workspace]
	if !ok {
		return fault.New(fault.Unauthorized, fmt.Sprintf("workspace %q is not in the bundle", workspace), "use a workspace of the bundle in force")
	}
	if want == "" {
		return nil
	}
	if token == "" {
		return fault.New(fault.Unauthorized, "the bearer token is missing", "send the header Authorization: Bearer with the workspace's token")
	}
	if digest, err := credential.ParseDigest(want); err != nil || !digest.Equal(credential.DigestOf(token)) {
		return fault.New(fault.Unauthorized, fmt.Sprintf("the token does not belong to workspace %q", workspace), "send the workspace's token as bearer token")
	}
	return nil
}
