package node

import (
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/core"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// meshHandler turns the events of the mesh into events of the control goroutine.
type meshHandler struct{ n *Node }

// PeerUp reports a working link.
func (h meshHandler) PeerUp(ref api.EntryRef, domain string) {
	h.n.post(call(func(n *Node) {
		n.step(core.PeerUp{Ref: ref, Domain: domain})
		n.fetchRollFrom(ref)
	}))
}

// PeerMessage passes a message on. The messages about rolls are for the chain,
// all others for the core.
func (h meshHandler) PeerMessage(from api.EntryRef, m message.Message) {
	switch m := m.(type) {
	case message.FetchRoll:
		h.n.post(call(func(n *Node) { n.sendRoll(from) }))
	case message.Roll:
		h.n.post(call(func(n *Node) { n.rollFromPeer(from, m) }))
	case message.Summary:
		h.n.post(call(func(n *Node) {
			n.step(core.PeerMessage{From: from, Message: m})
			n.compareRoll(from, m.Roll)
		}))
	default:
		h.n.post(coreEvent{core.PeerMessage{From: from, Message: m}})
	}
}

// PeerDown reports the end of a link.
func (h meshHandler) PeerDown(ref api.EntryRef, cause error) {
	h.n.log.Info("link_ended", zap.String("peer", ref.String()), zap.Error(cause))
	h.n.post(call(func(n *Node) {
		delete(n.rolls.offered, ref)
		n.step(core.PeerDown{Ref: ref})
	}))
}

// memberList follows the VM list. One goroutine calls it.
type memberList struct {
	node    *Node
	entries map[string]string // address by name
}

func newMemberList(n *Node) *memberList {
	return &memberList{node: n, entries: make(map[string]string)}
}

// changed takes changes of the VM list: entry VMs become peers, and the core
// learns of all.
func (l *memberList) changed(vms []api.VM, full bool) {
	if full {
		clear(l.entries)
	}
	for _, vm := range vms {
		if vm.Role != api.RoleEntry || vm.Name == l.node.self.Name {
			continue
		}
		if vm.Gone {
			delete(l.entries, vm.Name)
			continue
		}
		l.entries[vm.Name] = vm.Address
	}
	l.node.mesh.SetPeers(l.entries)
	l.node.post(coreEvent{core.VMsChanged{VMs: vms, Full: full}})
}

func (l *memberList) failed(err error) {
	l.node.log.Debug("vm_list_failed", zap.Error(err))
}
