package node

import (
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/core"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// meshHandler implements peer.Handler. It posts the events of the mesh to the
// control goroutine.
type meshHandler struct{ n *Node }

// PeerUp reports the link to the core and requests the roll of the peer.
func (h meshHandler) PeerUp(ref api.EntryRef, domain string) {
	h.n.post(call(func(n *Node) {
		n.handleCoreEvent(core.PeerUp{Ref: ref, Domain: domain})
		n.fetchRollFrom(ref)
	}))
}

// PeerMessage passes messages about rolls to the chain and all others to the core.
// A summary goes to both.
func (h meshHandler) PeerMessage(from api.EntryRef, m message.Message) {
	switch m := m.(type) {
	case message.FetchRoll:
		h.n.post(call(func(n *Node) { n.sendRoll(from) }))
	case message.Roll:
		h.n.post(call(func(n *Node) { n.loadPeerRoll(from, m) }))
	case message.Summary:
		h.n.post(call(func(n *Node) {
			n.handleCoreEvent(core.PeerMessage{From: from, Message: m})
			n.handlePeerRoll(from, m.Roll)
		}))
	default:
		h.n.post(coreEvent{core.PeerMessage{From: from, Message: m}})
	}
}

// PeerDown reports the end of a link to the core.
func (h meshHandler) PeerDown(ref api.EntryRef, cause error) {
	h.n.log.Info("link_ended", zap.String("peer", ref.String()), zap.Error(cause))
	h.n.post(call(func(n *Node) {
		delete(n.rolls.advertised, ref)
		n.handleCoreEvent(core.PeerDown{Ref: ref})
	}))
}

// vmHandler handles changes of the VM list. Its methods are called by one goroutine.
type vmHandler struct {
	node    *Node
	entries map[string]string // address of each other entry VM, by name
}

func newVMHandler(n *Node) *vmHandler {
	return &vmHandler{node: n, entries: make(map[string]string)}
}

// handleChange makes the listed entry VMs the peers of the mesh and passes all
// changes to the core.
func (h *vmHandler) handleChange(vms []api.VM, full bool) {
	if full {
		clear(h.entries)
	}
	for _, vm := range vms {
		if vm.Role != api.RoleEntry || vm.Name == h.node.self.Name {
			continue
		}
		if vm.Gone {
			delete(h.entries, vm.Name)
			continue
		}
		h.entries[vm.Name] = vm.Address
	}
	h.node.mesh.SetPeers(h.entries)
	h.node.post(coreEvent{core.VMsChanged{VMs: vms, Full: full}})
}

func (h *vmHandler) handleError(err error) {
	h.node.log.Debug("vm_list_failed", zap.Error(err))
}
