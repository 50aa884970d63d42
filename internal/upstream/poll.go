package upstream

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// minPollBound keeps a poll near the end of a lease long enough for a reply.
const minPollBound = 100 * time.Millisecond

// poll renews the lease until it is over. Each poll waits at the worker for
// about the renewal time, so an ended task is reported at once. After a failed
// poll the next one does not wait, so that the renewal is known soon.
func (s *Session) poll() {
	request := PollRequest{
		Epoch: s.grant.Epoch, WaitMS: s.config.Renew.Milliseconds(),
		TTLMS: s.config.Lease.Milliseconds(), TaskTTLMS: s.config.TaskLease.Milliseconds(),
	}
	for s.ctx.Err() == nil {
		sent := time.Now()
		response, err := s.client.Poll(s.ctx, request, s.pollBound(request.WaitMS))
		if err == nil && s.renewed(sent) {
			request.After = s.events(request.After, response.Events)
			request.WaitMS = s.config.Renew.Milliseconds()
			continue
		}
		if fault.KindOf(err) == fault.StaleEpoch {
			// While a release is under way its own response decides.
			if !s.releasing.Load() {
				s.lose()
			}
			return
		}
		request.WaitMS = 0
		s.sleep(retryPause)
	}
}

// pollBound leaves half of the time between two missed renewals and the end of
// the lease for a second try.
func (s *Session) pollBound(waitMS int64) time.Duration {
	spare := (s.config.Lease - 2*s.config.Renew) / 2
	return time.Duration(waitMS)*time.Millisecond + max(spare, minPollBound)
}

// renewed moves the end of the lease, unless it has already lapsed.
func (s *Session) renewed(sent time.Time) bool {
	return s.report(func() {
		if until := sent.Add(s.config.Lease); until.After(s.until) {
			s.until = until
		}
	})
}

// events reports new events and returns the last sequence number.
func (s *Session) events(after uint64, events []Event) uint64 {
	for _, event := range events {
		if event.Sequence <= after {
			continue
		}
		after = event.Sequence
		if len(event.Usage) > 0 {
			s.usage(event.Usage)
		}
		if event.Ended != nil {
			s.ending(*event.Ended)
		}
	}
	return after
}

func (s *Session) usage(list []Usage) {
	used := make(map[api.AttemptID]api.Resources, len(list))
	for _, u := range list {
		used[u.Attempt] = u.Used
	}
	s.report(func() { s.sink.Usage(s.grant.Worker, s.grant.Epoch, used) })
}

// ending reports an ended attempt at once if its answer is inline and whole.
func (s *Session) ending(report api.TaskReport) {
	if isWhole(report) {
		s.ended(report)
		return
	}
	report.Body = nil
	s.spawn(func() { s.deliver(report) })
}
