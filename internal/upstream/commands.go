package upstream

import (
	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// errStarting makes retry wait for the start that a command refers to.
var errStarting = fault.New(fault.Unavailable, "the start has not been answered", "wait for the worker")

// Start starts an attempt; reported by Started or StartRefused, or by neither
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
	s.report(func() {
		if refusal == nil {
			s.started(spec.Attempt)
			return
		}
		s.settle(spec.Attempt)
		s.sink.StartRefused(s.grant.Worker, s.grant.Epoch, spec.Attempt, refusal)
	})
}

// started reports a start once. The event of a short task may arrive before the
// response to its start, so the end of the task calls it too. The caller holds mu.
func (s *Session) started(attempt api.AttemptID) {
	if s.settle(attempt) {
		s.sink.Started(s.grant.Worker, s.grant.Epoch, attempt)
	}
}

// settle removes attempt from the starts without an answer; it returns false if
// it is not one of them.
func (s *Session) settle(attempt api.AttemptID) bool {
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

// Control sends a command for a running attempt, after the start of the attempt
// has been answered. An attempt that the worker does not list is skipped.
func (s *Session) Control(attempt api.AttemptID, command Command) {
	s.spawn(func() {
		s.retry(func() error {
			if s.isStarting(attempt) {
				return errStarting
			}
			return s.client.Control(s.ctx, s.grant.Epoch, attempt, command)
		})
	})
}

// Acknowledge lets the worker forget ended attempts. Acknowledgements that come
// while one is under way are sent together.
func (s *Session) Acknowledge(attempts []api.AttemptID) {
	s.workMu.Lock()
	s.acks = append(s.acks, attempts...)
	idle := !s.acking && !s.closed
	if idle {
		s.acking = true
		s.work.Go(s.acknowledge)
	}
	s.workMu.Unlock()
}

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

// Release gives the lease back; reported by Released, or by Lost if it lapses
// before the worker answers. Starts that were not answered before are reported
// by neither Started nor StartRefused; the next grant lists them if they run.
func (s *Session) Release() {
	s.releasing.Store(true)
	s.spawn(func() {
		_, ok := s.retry(func() error { return s.client.Release(s.ctx, s.grant.Epoch) })
		if !ok {
			if s.ctx.Err() == nil {
				s.lose()
			}
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.finish(func() { s.sink.Released(s.grant.Worker, s.grant.Epoch) })
	})
}

// deliver reports an ended attempt when its whole answer has been read. It does
// not hold up renewals, because a long answer may take longer than a lease.
func (s *Session) deliver(report api.TaskReport) {
	select {
	case s.slots <- struct{}{}:
	case <-s.ctx.Done():
		return
	}
	defer func() { <-s.slots }()
	mismatches := 0
	for s.ctx.Err() == nil {
		body, err := s.client.Answer(s.ctx, report)
		if err == nil {
			report.Body = body
			s.ended(report)
			return
		}
		if fault.KindOf(err) == fault.OutcomeLost {
			mismatches++
		}
		if fault.KindOf(err) == fault.NotFound || mismatches >= answerMismatches {
			s.ended(unreadable(report, err))
			return
		}
		s.sleep(retryPause)
	}
}

// unreadable turns a report whose answer cannot be read into a failure, so that
// the caller learns of it instead of receiving a part of the answer.
func unreadable(report api.TaskReport, err error) api.TaskReport {
	report.Outcome = api.OutcomeFailed
	report.Error = "the answer cannot be read: " + err.Error()
	report.Body, report.Length, report.Checksum = nil, 0, 0
	return report
}

func (s *Session) ended(report api.TaskReport) {
	s.report(func() {
		s.started(report.Spec.Attempt)
		s.sink.Ended(s.grant.Worker, s.grant.Epoch, report)
	})
}
