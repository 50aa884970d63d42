package queue

import (
	"maps"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// ClassStats is the state of one class, for the state dump and metrics.
type ClassStats struct {
	Class   string                `json:"class"`
	Rank    int                   `json:"rank"`
	Waiting int                   `json:"waiting"`
	Placing int                   `json:"placing"` // dispatched, not started
	Running int                   `json:"running"`
	Started uint64                `json:"started"` // attempts since the process started
	Refused map[fault.Kind]uint64 `json:"refused"`
	Use     api.Resources         `json:"use"`
	Share   float64               `json:"share"` // dominant share of the capacity not used by peers
	// ExpectedWait is the estimated time until all waiting items have started, 0 if
	// unknown.
	ExpectedWait time.Duration `json:"expected_wait_ns"`
	RetryTokens  float64       `json:"retry_tokens"`
}

// Stats returns the state of each class of the bundle, by rank and name.
func (q *Queue) Stats() []ClassStats {
	list := make([]ClassStats, 0, len(q.order))
	for _, c := range q.order {
		list = append(list, ClassStats{
			Class:        c.policy.Name,
			Rank:         c.policy.Rank,
			Waiting:      c.waiting,
			Placing:      c.placing,
			Running:      c.running,
			Started:      c.started,
			Refused:      maps.Clone(c.refused),
			Use:          c.use,
			Share:        c.use.DominantShare(q.shareCapacity),
			ExpectedWait: c.drain.expected(q.now, float64(c.waiting)),
			RetryTokens:  c.retryTokens,
		})
	}
	return list
}
