package load

import (
	"context"
	"fmt"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

const (
	// followDelay is the delay between two requests about the same job, so that
	// an unavailable entry process does not cause a busy loop.
	followDelay = 100 * time.Millisecond
	// cancelFailed is the error kind that counts services that could not be
	// cancelled.
	cancelFailed = "cancel_failed"
)

// exchange sends the requests of one arrival, from the submission to the last
// answer. It runs on a goroutine of its own.
type exchange struct {
	runner   *runner
	arrival  Arrival
	template JobTemplate
	intended time.Time
	lag      time.Duration // from the intended to the actual send time
	id       string        // minted before the submission; empty if none was
}

// sample is the contribution of one arrival to the result.
type sample struct {
	arrival  Arrival
	class    string
	outcome  api.Outcome
	errors   []string      // kinds of faults, and cancelFailed
	lag      time.Duration // from the intended to the actual send time
	wait     time.Duration // from the intended send time to the start, without the network time of the request
	response time.Duration // from the intended send time to the answer
	inTime   bool          // whether the response counts as goodput
	wrong    string        // why the answer is wrong; empty if it is correct
}

// run submits the job, waits for its end if the template asks for it, and returns the
// sample.
func (x *exchange) run() sample {
	x.lag = time.Since(x.intended)
	ctx, cancel := x.requestContext()
	answer := x.submit(ctx)
	cancel()
	answered := time.Now()
	if answer.Outcome == api.OutcomeAccepted && x.template.Follow {
		answer = x.follow(answer.JobID)
		answered = time.Now()
	}
	s := x.sample(answer, answered.Sub(x.intended))
	if answer.Outcome == api.OutcomeAccepted && x.template.Kind == api.KindService && !x.cancelService(answer.JobID) {
		s.errors = append(s.errors, cancelFailed)
	}
	return s
}

// requestContext returns a context that ends after the experiment's timeout.
func (x *exchange) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), milliseconds(x.runner.experiment.TimeoutMS))
}

// callAt runs f with a Caller of the arrival's workspace at an entry process.
func (x *exchange) callAt(entry int, f func(c Caller) api.Answer) api.Answer {
	return x.runner.pools.with(entry, x.arrival.Workspace, f)
}

// submit submits the job, with a minted ID if the template asks for one.
func (x *exchange) submit(ctx context.Context) api.Answer {
	return x.callAt(x.arrival.Entry, func(c Caller) api.Answer {
		job := x.arrival.Job
		if x.template.Mint {
			id, err := c.Mint(ctx)
			if err != nil {
				return api.Refuse("", err) // nothing was submitted
			}
			job.ID, x.id = id, id
		}
		return c.Submit(ctx, job)
	})
}

// sample evaluates the last answer. response is the time from the intended send time
// to that answer.
func (x *exchange) sample(answer api.Answer, response time.Duration) sample {
	s := sample{arrival: x.arrival, class: x.template.Class, outcome: answer.Outcome, lag: x.lag, response: response}
	s.wait = x.lag + milliseconds(answer.WaitMS)
	if answer.Error != nil {
		s.errors = []string{string(answer.Error.Kind)}
	}
	s.wrong = x.check(answer)
	succeeded := answer.Outcome == api.OutcomeCompleted || answer.Outcome == api.OutcomeAccepted && !x.template.Follow
	s.inTime = succeeded && s.wrong == "" && (x.template.InTimeMS == 0 || response <= milliseconds(x.template.InTimeMS))
	return s
}

// check returns why an answer is wrong, or "" if it is correct or not checked.
func (x *exchange) check(answer api.Answer) string {
	if x.id != "" && answer.JobID != x.id && answer.Outcome != api.OutcomeNotRun {
		return fmt.Sprintf("job %s received the answer of job %s", x.id, answer.JobID)
	}
	if answer.Outcome != api.OutcomeCompleted || !x.runner.experiment.CheckAnswers {
		return ""
	}
	if x.template.Kind == api.KindRequest {
		if err := standin.CheckAnswer(answer.Body, answer.JobID, 0, x.arrival.Payload); err != nil {
			return err.Error()
		}
		return ""
	}
	if t := answer.Tasks; t == nil || t.Completed != x.template.Tasks {
		return fmt.Sprintf("job %s is completed without all of its %d tasks", answer.JobID, x.template.Tasks)
	}
	return ""
}

// follow waits for the end of an accepted job. When an entry process returns no
// outcome it tries the next one, because any of them may be unavailable.
func (x *exchange) follow(id string) api.Answer {
	ctx, cancel := x.requestContext()
	defer cancel()
	for entry := x.arrival.Entry; ; entry++ {
		answer := x.callAt(entry, func(c Caller) api.Answer {
			return c.Wait(ctx, id, milliseconds(x.runner.experiment.TimeoutMS))
		})
		if isFinal(answer) || !sleepUntil(ctx, time.Now().Add(followDelay)) {
			return answer
		}
	}
}

// isFinal reports whether the answer to a wait or cancellation holds the job's
// outcome. An unknown answer of a kind other than OutcomeLost means only that this
// request ended.
func isFinal(answer api.Answer) bool {
	switch answer.Outcome {
	case api.OutcomeCompleted, api.OutcomeFailed, api.OutcomeNotRun:
		return true
	case api.OutcomeUnknown:
		return answer.Error != nil && answer.Error.Kind == fault.OutcomeLost
	}
	return false
}

// cancelService cancels an accepted service after its run time. It reports false if
// no entry process confirmed the cancellation within the timeout.
func (x *exchange) cancelService(id string) bool {
	time.Sleep(milliseconds(x.arrival.Payload.WorkMS))
	ctx, cancel := x.requestContext()
	defer cancel()
	for entry := x.arrival.Entry; ; entry++ {
		answer := x.callAt(entry, func(c Caller) api.Answer { return c.Cancel(ctx, id) })
		if isFinal(answer) {
			return true
		}
		if !sleepUntil(ctx, time.Now().Add(followDelay)) {
			return false
		}
	}
}
