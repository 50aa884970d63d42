package upstream

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// minPollTimeout leaves time for a response if the lease is little longer than two
// renewal intervals.
const minPollTimeout = 100 * time.Millisecond

// poll renews the lease until it ends. Each poll waits at the worker for up to the
// renewal interval, so that an ended task is reported at once. The poll after a
// failed one does not wait, so that the lease is renewed as soon as possible.
func (s *Session) poll() {
	request := PollRequest{
		Epoch: s.grant.Epoch, WaitMS: s.config.RenewInterval.Milliseconds(),
		TTLMS: s.config.Lease.Milliseconds(), TaskTTLMS: s.config.TaskLease.Milliseconds(),
	}
	for s.ctx.Err() == nil {
		sent := time.Now()
		response, err := s.client.Poll(s.ctx, request, s.pollTimeout(request.WaitMS))
		if err == nil && s.extendLease(sent) {
			request.After = s.handleEvents(request.After, response.Events)
			request.WaitMS = s.config.RenewInterval.Milliseconds()
			continue
		}
		if fault.KindOf(err) == fault.StaleEpoch {
			// During a release, the response to the release decides.
			if !s.releasing.Load() {
				s.loseLease()
			}
			return
		}
		request.WaitMS = 0
		s.sleep(retryDelay)
	}
}

// pollTimeout returns the timeout of a poll. It leaves half of the time between
// two missed renewals and the end of the lease for a second attempt.
func (s *Session) pollTimeout(waitMS int64) time.Duration {
	spare := (s.config.Lease - 2*s.config.RenewInterval) / 2
	return time.Duration(waitMS)*time.Millisecond + max(spare, minPollTimeout)
}

// extendLease sets the end of the lease after a renewal that was sent at the given
// time. It returns false if the lease has already ended.
func (s *Session) extendLease(sent time.Time) bool {
	return s.ifHeld(func() {
		if until := sent.Add(s.config.Lease); until.After(s.leaseEnd) {
			s.leaseEnd = until
		}
	})
}

// handleEvents reports the events after the given sequence number and returns the
// last sequence number.
func (s *Session) handleEvents(after uint64, events []Event) uint64 {
	for _, event := range events {
		if event.Sequence <= after {
			continue
		}
		after = event.Sequence
		if len(event.Usage) > 0 {
			s.reportUsage(event.Usage)
		}
		if event.Ended != nil {
			s.handleEnded(*event.Ended)
		}
	}
	return after
}

// reportUsage reports the use of running tasks.
func (s *Session) reportUsage(list []Usage) {
	used := make(map[api.AttemptID]api.Resources, len(list))
	for _, u := range list {
		used[u.Attempt] = u.Used
	}
	s.ifHeld(func() { s.sink.Usage(s.grant.Worker, s.grant.Epoch, used) })
}

// handleEnded reports an ended attempt at once if its complete answer is inline,
// and fetches the answer otherwise.
func (s *Session) handleEnded(report api.TaskReport) {
	if isComplete(report) {
		s.reportEnded(report)
		return
	}
	report.Body = nil
	s.spawn(func() { s.fetchAnswer(report) })
}
