package entry

import (
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// updateWorkspaces passes the limits of the newest configuration that this process knows to the
// scheduler, if its version has changed.
func (h *holder) updateWorkspaces() {
	if !h.node.cfg.LimitsRequired || h.node.platform.Configuration == nil {
		return
	}
	list, version := h.node.platform.Configuration.Workspaces()
	if version == h.workspacesVersion {
		return
	}
	h.workspacesVersion = version
	h.sched.SetWorkspaces(shareLimits(list, h.agent.cell, len(h.node.agents())))
	h.logger.Info("limits_in_force", zap.Uint64("version", version), zap.Int("workspaces", len(list)))
}

// shareLimits returns the workspaces with the part of their limits that one of the cells may use.
// The cells do not know of each other's tasks, so they divide each limit evenly. A cell that is
// left without a part gets a negative amount, because 0 means no limit.
func shareLimits(list []cell.Workspace, index, cells int) []cell.Workspace {
	share := func(amount int64) int64 {
		if amount == 0 {
			return 0
		}
		part := amount / int64(cells)
		if int64(index) < amount%int64(cells) {
			part++
		}
		if part == 0 {
			return -1
		}
		return part
	}
	out := make([]cell.Workspace, len(list))
	for i, w := range list {
		w.Limit = cell.Resources{CPUMilli: share(w.Limit.CPUMilli), MemoryMB: share(w.Limit.MemoryMB), GPUs: share(w.Limit.GPUs)}
		out[i] = w
	}
	return out
}
