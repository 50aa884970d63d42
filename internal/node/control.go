package node

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/core"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// event is a unit of work for the control goroutine.
type event interface{ apply(n *Node) }

// coreEvent passes an event to the core.
type coreEvent struct{ event core.Event }

func (e coreEvent) apply(n *Node) { n.handleCoreEvent(e.event) }

// call is a function to run on the control goroutine.
type call func(n *Node)

func (c call) apply(n *Node) { c(n) }

// post queues an event for the control goroutine. It blocks while the queue is full
// and drops the event once the node has stopped.
func (n *Node) post(e event) {
	select {
	case n.events <- e:
	case <-n.done:
	}
}

// Intervals of the control goroutine.
const (
	summaryInterval = 250 * time.Millisecond
	statusInterval  = time.Second
)

// control is the control goroutine. It owns the core and the chain of rolls.
func (n *Node) control() {
	tick := time.NewTicker(core.TickInterval)
	defer tick.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	status := time.NewTicker(statusInterval)
	defer status.Stop()
	for {
		select {
		case e := <-n.events:
			e.apply(n)
		case <-tick.C:
			n.handleCoreEvent(core.Tick{})
		case <-summary.C:
			n.publishSummary()
		case <-status.C:
			n.refetchAdvertised()
			n.publishStatus()
		case <-n.done:
			return
		}
	}
}

// handleCoreEvent passes an event to the core and executes the resulting actions.
func (n *Node) handleCoreEvent(ev core.Event) {
	began := time.Now()
	actions := n.core.Step(began, ev)
	metrics.GetOrRegisterTimer("core.step", n.registry).UpdateSince(began)
	for _, action := range actions {
		n.execute(action)
	}
	if _, ok := ev.(core.StopRequested); ok {
		n.publishSummary()
		n.publishStatus()
	}
}

// execute passes one action to its driver. Drivers do not block here.
func (n *Node) execute(action core.Action) {
	switch a := action.(type) {
	case core.AcquireLease:
		n.workers.acquire(a)
	case core.ReleaseLease:
		n.workers.release(a)
	case core.StartTask:
		n.workers.startTask(a)
	case core.ControlTask:
		n.workers.controlTask(a)
	case core.AcknowledgeTasks:
		n.workers.acknowledge(a)
	case core.Send:
		n.send(a)
	case core.Append:
		n.appendRecords(a.Records)
	case core.AnswerCaller:
		n.answer(a.Token, a.Answer)
	case core.LogEvent:
		n.logEvent(a)
	case core.Stopped:
		close(n.stopped)
	}
}

func (n *Node) send(a core.Send) {
	if err := n.mesh.Send(a.To, a.Message, a.Urgent); err != nil {
		n.log.Debug("send_failed", zap.String("to", a.To.String()), zap.Error(err))
	}
}

func (n *Node) appendRecords(records []record.Record) {
	for _, r := range records {
		data, err := record.Encode(r)
		if err != nil {
			n.log.Error("record_not_encoded", zap.Error(err))
			continue
		}
		n.appender.Submit(recordID(r), data)
	}
}

// answer passes an answer of the core to the caller that waits for it.
func (n *Node) answer(token uint64, answer api.Answer) {
	reply, ok := n.replies[token]
	if !ok {
		return
	}
	delete(n.replies, token)
	reply <- answer
}

// logEvent writes a log event of the core.
func (n *Node) logEvent(a core.LogEvent) {
	fields := make([]zap.Field, len(a.Fields))
	for i, f := range a.Fields {
		fields[i] = zap.String(f.Key, f.Value)
	}
	n.log.Info(a.Event, fields...)
}

func (n *Node) publishSummary() {
	if err := n.mesh.SetSummary(n.core.Summary()); err != nil {
		n.log.Error("summary_not_sent", zap.Error(err))
	}
}
