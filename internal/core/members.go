package core

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// members holds the state of the other entry processes.
type members struct {
	peers map[string]*peerState
	// downSince is when an incarnation was found to be down.
	downSince map[api.EntryRef]time.Time
	// leaving holds the entry VMs that the VM list reports as leaving or gone.
	leaving map[string]bool
	// sharedUse is the use by workspace that was last sent to the peers.
	sharedUse map[string]api.Resources
	sharedAt  time.Time // when sharedUse was last compared with the present use
}

// peerState is an entry process with a working link.
type peerState struct {
	ref     api.EntryRef
	domain  string
	summary message.Summary
	// requested is the total of the resources requested from the peer for single
	// tasks since its last summary.
	requested    api.Resources
	workspaceUse map[string]api.Resources
}

func newMembers() members {
	return members{
		peers:     make(map[string]*peerState),
		downSince: make(map[api.EntryRef]time.Time),
		leaving:   make(map[string]bool),
		sharedUse: make(map[string]api.Resources),
	}
}

// isUp reports whether the incarnation is this process or a peer with a working link.
func (c *Core) isUp(ref api.EntryRef) bool {
	if ref == c.cfg.Self {
		return true
	}
	p := c.members.peers[ref.Name]
	return p != nil && p.ref == ref
}

// isStopping reports whether an incarnation announced its shutdown or the VM list
// reports its VM as leaving or gone.
func (c *Core) isStopping(ref api.EntryRef) bool {
	if ref == c.cfg.Self {
		return c.stopping
	}
	p := c.members.peers[ref.Name]
	return p != nil && p.ref == ref && (p.summary.Stopping || c.members.leaving[ref.Name])
}

func (c *Core) peerUp(e PeerUp) {
	if old := c.members.peers[e.Ref.Name]; old != nil && old.ref != e.Ref {
		c.peerDown(old.ref)
	}
	c.members.peers[e.Ref.Name] = &peerState{ref: e.Ref, domain: e.Domain}
	delete(c.members.downSince, e.Ref)
	c.logEvent("peer_up", Field{"peer", e.Ref.String()}, Field{"domain", e.Domain})
	c.chooseHolders()
	c.resendEndedTo(e.Ref)
	c.announceLeases(e.Ref)
	c.send(e.Ref, message.WorkspaceUse{Use: maps.Clone(c.members.sharedUse), Full: true})
}

func (c *Core) peerDown(ref api.EntryRef) {
	p := c.members.peers[ref.Name]
	if p == nil || p.ref != ref {
		return
	}
	delete(c.members.peers, ref.Name)
	c.members.downSince[ref] = c.now
	c.logEvent("peer_down", Field{"peer", ref.String()})
	c.holderDown(ref)
	c.answerLostForwards(ref)
	c.dropWaitersOf(ref)
	c.chooseHolders()
}

func (c *Core) peerSummary(from api.EntryRef, s message.Summary) {
	p := c.members.peers[from.Name]
	if p == nil || p.ref != from {
		return
	}
	wasStopping := p.summary.Stopping
	hasMoreFree := s.Free.DominantShare(s.Capacity) > p.summary.Free.DominantShare(p.summary.Capacity)
	p.summary = s
	p.requested = api.Resources{}
	if s.Stopping != wasStopping {
		c.chooseHolders()
	}
	if hasMoreFree {
		c.queue.CapacityFreed(c.now)
	}
}

// livePeers returns the peers that accept new work, sorted by name.
func (c *Core) livePeers() []*peerState {
	var live []*peerState
	for _, p := range c.members.peers {
		if !c.isStopping(p.ref) {
			live = append(live, p)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ref.Name < live[j].ref.Name })
	return live
}

// candidate is an entry process that can be chosen by rendezvous hashing.
type candidate struct {
	ref    api.EntryRef
	domain string
}

// candidates returns the live entry processes, sorted by name. It includes this one
// unless it is stopping and keepsWorkers is false.
func (c *Core) candidates() []candidate {
	var list []candidate
	if !c.stopping || c.keepsWorkers {
		list = append(list, candidate{ref: c.cfg.Self, domain: c.cfg.Domain})
	}
	for _, p := range c.livePeers() {
		list = append(list, candidate{ref: p.ref, domain: p.domain})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.ref.Name < b.ref.Name {
			return -1
		}
		return 1
	})
	return list
}

// choose returns the first and the second choice among the candidates for a subject,
// which is a worker or a job. Candidates in the subject's failure domain come first,
// because links between failure domains are slow and cost money.
func choose(list []candidate, subject, domain string) (first, second api.EntryRef) {
	var best, next uint64
	for _, cand := range list {
		score := rendezvousScore(subject, cand.ref.Name)
		if cand.domain == domain {
			score |= sameDomainBit
		}
		switch {
		case score > best:
			second, next = first, best
			first, best = cand.ref, score
		case score > next:
			second, next = cand.ref, score
		}
	}
	return first, second
}

// sameDomainBit raises the scores of candidates in the subject's failure domain above
// all others.
const sameDomainBit = 1 << 63

// rendezvousScore returns a score below sameDomainBit that is never 0.
func rendezvousScore(subject, name string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(subject)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(name)
	return h.Sum64()>>1 | 1
}

// updatePeerUse passes the use of workspaces through other processes to the queue.
func (c *Core) updatePeerUse() {
	use := make(map[string]api.Resources)
	for _, p := range c.members.peers {
		// A peer sends no summary while its summary does not change, so the
		// requested reservations must not stay subtracted until the next one.
		p.requested = api.Resources{}
		for workspace, amount := range p.workspaceUse {
			use[workspace] = use[workspace].Add(amount)
		}
	}
	c.queue.SetPeerUse(use)
}

const (
	// workspaceUseInterval is the interval between two comparisons of the use by
	// workspace with the use last sent to the peers.
	workspaceUseInterval = 5 * time.Second
	// workspaceUseStep is the relative change of a workspace's use above which it is
	// sent.
	workspaceUseStep = 0.1
)

// shareWorkspaceUse sends the peers the use of workspaces whose use has changed.
func (c *Core) shareWorkspaceUse() {
	if c.now.Sub(c.members.sharedAt) < workspaceUseInterval {
		return
	}
	c.members.sharedAt = c.now
	changed := make(map[string]api.Resources)
	for workspace, now := range c.attempts.workspaceUse {
		if useDiffers(now, c.members.sharedUse[workspace]) {
			changed[workspace] = now
		}
	}
	for workspace := range c.members.sharedUse {
		if _, used := c.attempts.workspaceUse[workspace]; !used {
			changed[workspace] = api.Resources{}
		}
	}
	if len(changed) == 0 {
		return
	}
	mergeUse(c.members.sharedUse, changed)
	for _, name := range sortedKeys(c.members.peers) {
		c.send(c.members.peers[name].ref, message.WorkspaceUse{Use: changed})
	}
}

// useDiffers reports whether a use has changed by more than workspaceUseStep in some
// dimension, relative to the larger value.
func useDiffers(now, before api.Resources) bool {
	return now.Sub(before).DominantShare(before.Max(now)) > workspaceUseStep ||
		before.Sub(now).DominantShare(before.Max(now)) > workspaceUseStep
}

// mergeUse applies changes to a map of use by workspace; zero use removes the entry.
func mergeUse(into, changed map[string]api.Resources) {
	for workspace, use := range changed {
		if use == (api.Resources{}) {
			delete(into, workspace)
			continue
		}
		into[workspace] = use
	}
}

// peerUse handles a peer's report on the use by workspace.
func (c *Core) peerUse(from api.EntryRef, m message.WorkspaceUse) {
	p := c.members.peers[from.Name]
	if p == nil || p.ref != from {
		return
	}
	if m.Full || p.workspaceUse == nil {
		p.workspaceUse = make(map[string]api.Resources)
	}
	mergeUse(p.workspaceUse, m.Use)
}

// Summary returns the summary that the next heartbeat sends to the peers.
func (c *Core) Summary() message.Summary {
	s := c.pool.Summary()
	return message.Summary{
		Stopping:    c.stopping,
		Roll:        c.roll,
		Held:        c.workers.heldCount,
		Capacity:    s.Capacity,
		Free:        s.Free,
		Largest:     s.Largest,
		FreeByClass: s.FreeByClass,
	}
}
