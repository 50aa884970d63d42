package standin

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/upstream"
)

// workerAPI is the HTTP API of all workers, served by one app. The port of the
// listener identifies the worker.
type workerAPI struct{ byPort map[int]*worker }

// routes adds the routes of the workers' API.
func (a *workerAPI) routes(app *fiber.App) {
	app.Use(a.admit)
	app.Post(upstream.PathLease, a.lease)
	app.Post(upstream.PathPoll, a.poll)
	app.Post(upstream.PathTasks, a.start)
	app.Post(upstream.PathAck, a.acknowledge)
	app.Post(upstream.PathRelease, a.release)
	app.Get(upstream.PathTasks+"/:job/:task/:number/answer", a.answer)
	app.Post(upstream.PathTasks+"/:job/:task/:number/:command", a.control)
}

// worker returns the worker that a request is for.
func (a *workerAPI) worker(c fiber.Ctx) *worker {
	return a.byPort[c.RequestCtx().LocalAddr().(*net.TCPAddr).Port]
}

// admit is middleware that applies the worker's injected faults.
func (a *workerAPI) admit(c fiber.Ctx) error {
	w := a.worker(c)
	if !w.admit() {
		return dropConnection(c)
	}
	err := c.Next()
	// A pause also delays the responses to requests that arrived before it.
	if !w.waitWhilePaused() {
		return dropConnection(c)
	}
	return err
}

func (a *workerAPI) lease(c fiber.Ctx) error {
	request, err := body[upstream.LeaseRequest](c)
	if err != nil {
		return err
	}
	if request.Holder == "" || request.TTLMS <= 0 {
		return fault.New(fault.Invalid, "holder is empty or ttl_ms is not positive", "set both fields")
	}
	grant, refusal := a.worker(c).lease(request)
	if refusal != nil {
		return c.Status(http.StatusConflict).JSON(refusal)
	}
	return c.JSON(grant)
}

func (a *workerAPI) poll(c fiber.Ctx) error {
	request, err := body[upstream.PollRequest](c)
	if err != nil {
		return err
	}
	if request.TTLMS <= 0 {
		return fault.New(fault.Invalid, "ttl_ms is not positive", "set the length of the lease in milliseconds")
	}
	response, err := a.worker(c).poll(request)
	return reply(c, response, err)
}

func (a *workerAPI) start(c fiber.Ctx) error {
	request, err := body[upstream.StartRequest](c)
	if err != nil {
		return err
	}
	response, err := a.worker(c).start(request)
	return reply(c, response, err)
}

func (a *workerAPI) control(c fiber.Ctx) error {
	attempt, err := attemptOf(c)
	if err != nil {
		return err
	}
	request, err := body[upstream.EpochRequest](c)
	if err != nil {
		return err
	}
	err = a.worker(c).control(request.Epoch, attempt, upstream.Command(c.Params("command")))
	return reply(c, struct{}{}, err)
}

func (a *workerAPI) acknowledge(c fiber.Ctx) error {
	request, err := body[upstream.AckRequest](c)
	if err != nil {
		return err
	}
	return reply(c, struct{}{}, a.worker(c).acknowledge(request))
}

func (a *workerAPI) release(c fiber.Ctx) error {
	request, err := body[upstream.EpochRequest](c)
	if err != nil {
		return err
	}
	return reply(c, struct{}{}, a.worker(c).release(request.Epoch))
}

func (a *workerAPI) answer(c fiber.Ctx) error {
	attempt, err := attemptOf(c)
	if err != nil {
		return err
	}
	data, err := a.worker(c).answer(attempt)
	if err != nil {
		return err
	}
	c.Set("Content-Type", "application/octet-stream")
	var from, last int
	if n, _ := fmt.Sscanf(c.Get("Range"), "bytes=%d-%d", &from, &last); n != 2 || from < 0 || from > last {
		return c.Send(data)
	}
	if from >= len(data) {
		return c.SendStatus(http.StatusRequestedRangeNotSatisfiable)
	}
	last = min(last, len(data)-1)
	c.Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", from, last, len(data)))
	return c.Status(http.StatusPartialContent).Send(data[from : last+1])
}

// reply sends value as JSON, or returns err if it is not nil.
func reply(c fiber.Ctx, value any, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(value)
}

// attemptOf returns the attempt that the request's path names.
func attemptOf(c fiber.Ctx) (api.AttemptID, error) {
	job, err1 := url.PathUnescape(strings.Clone(c.Params("job")))
	task, err2 := strconv.Atoi(c.Params("task"))
	number, err3 := strconv.Atoi(c.Params("number"))
	if err1 != nil || err2 != nil || err3 != nil {
		return api.AttemptID{}, fault.New(fault.Invalid, "the attempt in the path is malformed", "use job/task/number")
	}
	return api.AttemptID{Job: job, Task: task, Number: number}, nil
}
