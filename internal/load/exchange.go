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
	// followPause keeps a follower from asking in a loop while an entry process
	// is gone.
	followPause = 100 * time.Millisecond
	// cancelFailed is the error kind under which a service that could not be
	// cancelled is counted.
	cancelFailed = "cancel_failed"
)

// exchange is one request from its intended send time to its last answer.
type exchange struct {
	runner   *runner
	arrival  Arrival
	work     Work
	intended time.Time
	lag      time.Duration // from the intended to the actual send time
	id       string        // minted before the submission
}

// sample is what one request adds to the result.
type sample struct {
	arrival  Arrival
	class    string
	outcome  api.Outcome
	errors   []string      // kinds
	lag      time.Duration // from the intended to the actual send time
	wait     time.Duration // from the intended send time to the start, without the way to the entry process
	response time.Duration // from the intended send time to the answer
	inTime   bool
	wrong    string // why the answer is wrong; empty if it is not
}

func (x *exchange) run() sample {
	x.lag = time.Since(x.intended)
	ctx, cancel := x.bounded()
	answer := x.submit(ctx)
	cancel()
	answered := time.Now()
	if answer.Outcome == api.OutcomeAccepted && x.work.Follow {
		answer = x.follow(answer.JobID)
		answered = time.Now()
	}
	s := x.sample(answer, answered.Sub(x.intended))
	if answer.Outcome == api.OutcomeAccepted && x.work.Kind == api.KindService && !x.endService(answer.JobID) {
		s.errors = append(s.errors, cancelFailed)
	}
	return s
}

func (x *exchange) bounded() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), milliseconds(x.runner.experiment.TimeoutMS))
}

func (x *exchange) at(entry int, f func(c Caller) api.Answer) api.Answer {
	return x.runner.pools.with(entry, x.arrival.Workspace, f)
}

func (x *exchange) submit(ctx context.Context) api.Answer {
	return x.at(x.arrival.Entry, func(c Caller) api.Answer {
		job := x.arrival.Job
		if x.work.Mint {
			id, err := c.Mint(ctx)
			if err != nil {
				return api.Refuse("", err) // nothing was submitted
			}
			job.ID, x.id = id, id
		}
		return c.Submit(ctx, job)
	})
}

func (x *exchange) sample(answer api.Answer, response time.Duration) sample {
	s := sample{arrival: x.arrival, class: x.work.Class, outcome: answer.Outcome, lag: x.lag, response: response}
	s.wait = x.lag + milliseconds(answer.WaitMS)
	if answer.Error != nil {
		s.errors = []string{string(answer.Error.Kind)}
	}
	s.wrong = x.check(answer)
	good := answer.Outcome == api.OutcomeCompleted || answer.Outcome == api.OutcomeAccepted && !x.work.Follow
	s.inTime = good && s.wrong == "" && (x.work.InTimeMS == 0 || response <= milliseconds(x.work.InTimeMS))
	return s
}

// check returns why an answer is wrong, or "".
func (x *exchange) check(answer api.Answer) string {
	if x.id != "" && answer.JobID != x.id && answer.Outcome != api.OutcomeNotRun {
		return fmt.Sprintf("job %s received the answer of job %s", x.id, answer.JobID)
	}
	if answer.Outcome != api.OutcomeCompleted || !x.runner.experiment.CheckAnswers {
		return ""
	}
	if x.work.Kind == api.KindRequest {
		if err := standin.CheckAnswer(answer.Body, answer.JobID, 0, x.arrival.Payload); err != nil {
			return err.Error()
		}
		return ""
	}
	if t := answer.Tasks; t == nil || t.Completed != x.work.Tasks {
		return fmt.Sprintf("job %s is completed without all of its %d tasks", answer.JobID, x.work.Tasks)
	}
	return ""
}

// follow waits for the end of an accepted job. It asks another entry process
// whenever one gives no outcome, because any of them may be gone.
func (x *exchange) follow(id string) api.Answer {
	ctx, cancel := x.bounded()
	defer cancel()
	for entry := x.arrival.Entry; ; entry++ {
		answer := x.at(entry, func(c Caller) api.Answer {
			return c.Wait(ctx, id, milliseconds(x.runner.experiment.TimeoutMS))
		})
		if isFinal(answer) || !sleepUntil(ctx, time.Now().Add(followPause)) {
			return answer
		}
	}
}

// isFinal reports whether the answer to a wait is the job's outcome. Other
// unknown answers only say that this wait ended.
func isFinal(answer api.Answer) bool {
	switch answer.Outcome {
	case api.OutcomeCompleted, api.OutcomeFailed, api.OutcomeNotRun:
		return true
	case api.OutcomeUnknown:
		return answer.Error != nil && answer.Error.Kind == fault.OutcomeLost
	}
	return false
}

// endService cancels an accepted service after its work time. It reports false
// if no entry process confirmed the cancellation.
func (x *exchange) endService(id string) bool {
	time.Sleep(milliseconds(x.arrival.Payload.WorkMS))
	ctx, cancel := x.bounded()
	defer cancel()
	for entry := x.arrival.Entry; ; entry++ {
		answer := x.at(entry, func(c Caller) api.Answer { return c.Cancel(ctx, id) })
		if isFinal(answer) {
			return true
		}
		if !sleepUntil(ctx, time.Now().Add(followPause)) {
			return false
		}
	}
}
