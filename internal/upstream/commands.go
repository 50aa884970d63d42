package upstream

import (
	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// errStartPending makes retry wait until the worker has responded to the start of
// the attempt that a command is for.
var errStartPending = fault.New(fault.Unavailable, "the worker has not responded to the start of the attempt", "wait for the worker")

// Start starts an attempt. The sink receives Started or StartRefused, or neither
// if the lease ends first.
func (s *Session) Start(spec api.TaskSpec) {
	s.workMu.Lock()
	s.starting[spec.Attempt] = true
	s.workMu.Unlock()
	s.spawn(func() { s.start(spec) })
}

func (s *Session) start(spec api.TaskSpec) {
	refusal, ok := s.retry(func() error {
		_, err := s.client.Start(s.ctx, s.grant.Epoch, spec)
		return err
	})
	if !ok {
		return
	}
	s.ifHeld(func() {
		if refusal == nil {
			s.reportStarted(spec.Attempt)
			return
		}
		s.removeStarting(spec.Attempt)
		s.sink.StartRefused(s.grant.Worker, s.grant.Epoch, spec.Attempt, refusal)
	})
}

// reportStarted calls Started once per start. It is called for the response to a
// start and for the end of the task, because the end of a short task may arrive
// first. The caller holds mu.
func (s *Session) reportStarted(attempt api.AttemptID) {
	if s.removeStarting(attempt) {
		s.sink.Started(s.grant.Worker, s.grant.Epoch, attempt)
	}
}

// removeStarting removes attempt from the starts without a response and reports
// whether it was one of them.
func (s *Session) removeStarting(attempt api.AttemptID) bool {
	s.workMu.Lock()
	defer s.workMu.Unlock()
	found := s.starting[attempt]
	delete(s.starting, attempt)
	return found
}

func (s *Session) isStarting(attempt api.AttemptID) bool {
	s.workMu.Lock()
	defer s.workMu.Unlock()
	return s.starting[attempt]
}

// Control sends a command for a running attempt, once the worker has responded to
// its start. An attempt that the worker does not list is skipped.
func (s *Session) Control(attempt api.AttemptID, command Command) {
	s.spawn(func() {
		s.retry(func() error {
			if s.isStarting(attempt) {
				return errStartPending
			}
			return s.client.Control(s.ctx, s.grant.Epoch, attempt, command)
		})
	})
}

// Acknowledge allows the worker to delete ended attempts. Attempts added while a
// request is in progress are sent together in the next one.
func (s *Session) Acknowledge(attempts []api.AttemptID) {
	s.workMu.Lock()
	s.acks = append(s.acks, attempts...)
	idle := !s.acking && !s.closed
	if idle {
		s.acking = true
		s.goroutines.Go(s.acknowledge)
	}
	s.workMu.Unlock()
}

// acknowledge sends acks in batches until there are none left.
func (s *Session) acknowledge() {
	for {
		s.workMu.Lock()
		batch := s.acks
		s.acks = nil
		s.acking = len(batch) > 0
		s.workMu.Unlock()
		if len(batch) == 0 {
			return
		}
		if _, ok := s.retry(func() error { return s.client.Acknowledge(s.ctx, s.grant.Epoch, batch) }); !ok {
			return
		}
	}
}

// Release ends the lease. The sink receives Released, or Lost if the lease expires
// before the worker responds. It receives neither Started nor StartRefused for
// starts without a response; the next grant lists those attempts if they run.
func (s *Session) Release() {
	s.releasing.Store(true)
	s.spawn(func() {
		_, ok := s.retry(func() error { return s.client.Release(s.ctx, s.grant.Epoch) })
		if !ok {
			if s.ctx.Err() == nil {
				s.loseLease()
			}
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.finish(func() { s.sink.Released(s.grant.Worker, s.grant.Epoch) })
	})
}

// fetchAnswer fetches the answer of an ended attempt and reports the attempt. It
// runs apart from the renewals, because a long answer may take longer than a
// lease.
func (s *Session) fetchAnswer(report api.TaskReport) {
	select {
	case s.fetchSlots <- struct{}{}:
	case <-s.ctx.Done():
		return
	}
	defer func() { <-s.fetchSlots }()
	mismatches := 0
	for s.ctx.Err() == nil {
		body, err := s.client.Answer(s.ctx, report)
		if err == nil {
			report.Body = body
			s.reportEnded(report)
			return
		}
		if fault.KindOf(err) == fault.OutcomeLost {
			mismatches++
		}
		if fault.KindOf(err) == fault.NotFound || mismatches >= maxAnswerMismatches {
			s.reportEnded(asFailed(report, err))
			return
		}
		s.sleep(retryDelay)
	}
}

// asFailed returns report as a failure without an answer, so that the caller
// receives an error instead of a part of the answer.
func asFailed(report api.TaskReport, err error) api.TaskReport {
	report.Outcome = api.OutcomeFailed
	report.Error = "the answer cannot be read: " + err.Error()
	report.Body, report.Length, report.Checksum = nil, 0, 0
	return report
}

// reportEnded calls Ended, after Started if that was not called yet.
func (s *Session) reportEnded(report api.TaskReport) {
	s.ifHeld(func() {
		s.reportStarted(report.Spec.Attempt)
		s.sink.Ended(s.grant.Worker, s.grant.Epoch, report)
	})
}
