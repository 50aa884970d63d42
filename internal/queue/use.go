package queue

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

const (
	// defaultRunTime is charged until a run time of the class is measured.
	defaultRunTime = time.Second
	// runTimeWeight is the weight of a new measurement in the moving average.
	runTimeWeight = 0.1
	// maxRunTimeFactor bounds the time charged to a workspace for one attempt, as a
	// multiple of the class's average. A service that ran for weeks would
	// otherwise keep its workspace from being served for as long.
	maxRunTimeFactor = 10
	// minChargedShare is charged for an item without any need, so that fair
	// share holds for such items too.
	minChargedShare = 1e-6
	// retryBurst is the number of retries allowed before any first attempt has
	// started, so that single failures in a quiet class are retried.
	retryBurst = 10
	// retryMemory is the number of first attempts whose unused retries are kept.
	retryMemory = 1000
)

// charge is the use of one item that was handed out or is running.
type charge struct {
	item      Item
	need      api.Resources
	class     *class
	workspace *workspace
	flow      *flow
	sequence  uint64
	backfill  backfill
	started   bool
	rate      float64       // share by weight, charged per second
	assumed   time.Duration // run time charged to the flow in advance
}

// handOut charges the use of an item to its class and workspace, and an assumed run
// time to its flow. The declared run time is not used: it may be far off, and
// Finished corrects the charge by the measured one.
func (q *Queue) handOut(e *entry) *charge {
	f := e.flow
	ch := &charge{
		item: e.item, need: e.need, class: f.class, workspace: f.workspace, flow: f,
		sequence: e.sequence, backfill: e.backfill,
		rate:    q.chargeRate(e.need, f.workspace),
		assumed: f.class.averageRunTime(),
	}
	f.virtualTime += ch.rate * ch.assumed.Seconds()
	ch.class.use = ch.class.use.Add(ch.need)
	ch.workspace.use = ch.workspace.use.Add(ch.need)
	q.use = q.use.Add(ch.need)
	ch.class.placing++
	q.handedOut[e.item.Key] = ch
	return ch
}

// chargeRate returns the virtual time that a workspace is charged per second of run
// time: the dominant share of the cell by the workspace's weight. While no capacity
// is known the share is 1, which makes fair share count items.
func (q *Queue) chargeRate(need api.Resources, t *workspace) float64 {
	if q.scale == (api.Resources{}) {
		return 1 / t.weight()
	}
	return max(need.DominantShare(q.scale), minChargedShare) / t.weight()
}

func (c *class) averageRunTime() time.Duration {
	if c.runTime > 0 {
		return c.runTime
	}
	return defaultRunTime
}

// release gives the use of an item back. It returns nil if the item is not
// handed out.
func (q *Queue) release(key Key) *charge {
	ch := q.handedOut[key]
	if ch == nil {
		return nil
	}
	delete(q.handedOut, key)
	ch.class.use = ch.class.use.Sub(ch.need)
	ch.workspace.use = ch.workspace.use.Sub(ch.need)
	q.use = q.use.Sub(ch.need)
	if ch.started {
		ch.class.running--
		return ch
	}
	ch.class.placing--
	ch.flow.virtualTime -= ch.rate * ch.assumed.Seconds()
	return ch
}

// Started records that an attempt of the item runs. The item may also come from
// elsewhere, as when a job is adopted; a class or workspace that is not in force is
// then ignored.
func (q *Queue) Started(now time.Time, it Item) {
	q.observe(now)
	if e := q.waiting[it.Key]; e != nil {
		q.remove(e)
	}
	ch := q.handedOut[it.Key]
	if ch == nil {
		ch = q.adopt(it)
	}
	if ch == nil || ch.started {
		return
	}
	ch.started = true
	c := ch.class
	c.placing--
	c.running++
	c.started++
	c.drain.start(q.now)
	if !it.Retry {
		c.earnRetries()
	}
}

func (q *Queue) adopt(it Item) *charge {
	c, t := q.classes[it.Class], q.workspaces[it.Workspace]
	if c == nil || t == nil {
		return nil
	}
	e := q.newEntry(it)
	e.flow = c.flow(t)
	return q.handOut(e)
}

// Finished records that an attempt is over after it ran for the given time, or
// that a handed out item will not start. The class's average run time and the
// workspace's fair share follow the measured time.
func (q *Queue) Finished(now time.Time, it Item, ran time.Duration) {
	q.observe(now)
	ch := q.release(it.Key)
	if ch == nil || !ch.started {
		return
	}
	counted := min(max(ran, 0), maxRunTimeFactor*ch.assumed)
	ch.flow.virtualTime += ch.rate * (counted - ch.assumed).Seconds()
	if ran > 0 {
		ch.class.measure(ran)
	}
}

func (c *class) measure(ran time.Duration) {
	if c.runTime == 0 {
		c.runTime = ran
		return
	}
	c.runTime += time.Duration(runTimeWeight * float64(ran-c.runTime))
}

func (c *class) earnRetries() {
	limit := retryBurst + retryMemory*c.policy.RetryBudget
	c.retryTokens = min(c.retryTokens+c.policy.RetryBudget, limit)
}

// AllowRetry reports whether the class may retry an attempt now, and takes the
// retry from its budget. Over any time the retries are at most a burst of 10
// plus the class's RetryBudget for each first attempt started. A class without
// a budget is never allowed any.
func (q *Queue) AllowRetry(className string) bool {
	c := q.classes[className]
	if c == nil || !c.live || c.policy.RetryBudget <= 0 || c.retryTokens < 1 {
		return false
	}
	c.retryTokens--
	return true
}
