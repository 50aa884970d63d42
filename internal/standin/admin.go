package standin

import (
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// adminRoutes adds the routes that set faults and return the addresses, the history
// and the violations.
func (p *Platform) adminRoutes(app *fiber.App) {
	app.Get("/admin/addresses", func(c fiber.Ctx) error { return c.JSON(p.addresses) })
	app.Get("/admin/violations", func(c fiber.Ctx) error { return c.JSON(p.Violations()) })
	app.Get("/admin/history", func(c fiber.Ctx) error {
		return c.JSON(p.History(fiber.Query[uint64](c, "from")))
	})
	app.Post("/admin/log", func(c fiber.Ctx) error {
		faults, err := body[LogFaults](c)
		if err == nil {
			p.SetLog(faults)
		}
		return reply(c, struct{}{}, err)
	})
	app.Post("/admin/vms", func(c fiber.Ctx) error {
		vms, err := body[[]api.VM](c)
		for _, vm := range vms {
			p.SetVM(vm)
		}
		return reply(c, struct{}{}, err)
	})
	app.Post("/admin/workers/:name", p.handleWorkerFaults)
}

// handleWorkerFaults sets the faults of one worker.
func (p *Platform) handleWorkerFaults(c fiber.Ctx) error {
	faults, err := body[WorkerFaults](c)
	if err == nil {
		err = p.SetWorker(strings.Clone(c.Params("name")), faults)
	}
	return reply(c, struct{}{}, err)
}
