//go:build review3

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Topics of the product, as the store sees them. A cell writes the records of its jobs to one of the
// topics of jobs, and to the next one if that does not answer.
const (
	topicClaims = "keyed.fulmarlatch-claims"
	topicJobs   = "keyed.fulmarlatch-jobs"
)

// jobTopic returns the topic of a lane.
func jobTopic(lane int) string {
	if lane == 0 {
		return topicJobs
	}
	return fmt.Sprintf("%s-%d", topicJobs, lane)
}

// Figures of sequence.
const (
	// The partitions of the first topic of jobs and of the claims are down first, from the append on
	// whose answer is lost, then those of the other topics of jobs: 2, 4 and 3 of 16 at a time.
	firstDown  = 1800 * time.Millisecond
	claimsDown = 900 * time.Millisecond
	othersDown = 1500 * time.Millisecond
	jobGap     = 60 * time.Millisecond // between two jobs
	longWorkMS = 60_000
	calmAfter  = 8 * time.Second // from the last disruption to the questions of the clients
)

// partialOutage is a series of outages of some partitions of the store, which turn calls away (503).
// The answer of the first append that it meets is lost. Its methods are called with the mutex of the
// proxy held.
type partialOutage struct {
	rig      *rig
	began    time.Time // zero before the first append
	sequence string    // of the append whose answer is lost
	movedOn  bool      // the writer has left the first topic
	othersAt time.Time // when the others are down first, from the next append of a job on; zero before
	taken    []string  // keys in the first append that the first topic answers afterwards
	done     chan struct{}
}

// isDown reports whether the partition of a topic is down.
func (o *partialOutage) isDown(topic string, at time.Time) bool {
	switch {
	case o.began.IsZero():
		return false
	case topic == jobTopic(0):
		return at.Sub(o.began) < firstDown
	case topic == topicClaims:
		return at.Sub(o.began) < claimsDown
	case topic == jobTopic(1) || topic == jobTopic(2) || topic == jobTopic(3):
		return !o.othersAt.IsZero() && at.Sub(o.othersAt) < othersDown
	}
	return false
}

// decide decides about an append.
func (o *partialOutage) decide(call appendCall) verdict {
	isLast := call.topic == jobTopic(0) && len(call.keys) > 0
	switch {
	case o.began.IsZero() && isLast:
		o.began, o.sequence = call.at, call.sequence
		return loseAnswer
	case o.isDown(call.topic, call.at):
		return turnAway
	case call.topic == jobTopic(1) && !o.movedOn:
		o.movedOn = len(call.keys) > 0 // the records of the first append are stored here
	case call.topic == jobTopic(1) && call.hasJob() && o.othersAt.IsZero():
		o.othersAt = call.at
		return turnAway
	case isLast && !o.othersAt.IsZero() && o.taken == nil:
		o.taken = call.keys
		o.rig.record("store: append to %s with sequence %s and %d records; the append whose answer was lost had sequence %s", call.topic, call.sequence, len(call.keys), o.sequence)
		close(o.done)
	}
	return carryOut
}

// sequence takes some partitions of the store down for a moment, and others after them. The answer of
// the append that the first outage meets is lost. The holder is killed some time later, and all clients
// whose jobs were accepted ask for them.
func sequence(binary, dir string, trouble bool) (*rig, error) {
	q := &queue{name: "r-keep", prefix: "/keep930/"}
	r, err := newRig(binary, dir, 3, 8, q)
	if err != nil {
		return r, err
	}
	holder := r.holder()
	if holder == nil {
		return r, errors.New("no process says that it is the holder")
	}
	var mu sync.Mutex
	var accepted []*job
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(jobGap):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				j := r.newJob(q, 1, longWorkMS)
				j.cpu, j.mem = 100, 64
				if r.submit(j, 0) {
					mu.Lock()
					accepted = append(accepted, j)
					mu.Unlock()
				}
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	o := &partialOutage{rig: r, done: make(chan struct{})}
	if trouble {
		r.proxy.set(o.decide, func(topic string) bool { return o.isDown(topic, time.Now()) })
		select {
		case <-o.done:
		case <-time.After(10 * time.Second):
			close(stop)
			clients.Wait()
			return r, errors.New("the outages did not meet the writer as planned")
		}
		time.Sleep(othersDown)
		writes, lost, away := r.proxy.counts()
		r.record("store: of %d appends in %.1f s, the answer of %d was lost and %d were turned away (503)", writes, time.Since(o.began).Seconds(), lost, away)
		r.proxy.set(nil, nil)
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	clients.Wait()
	if trouble {
		r.record("holder %s is killed", holder.name)
		_ = holder.cmd.Process.Signal(syscall.SIGKILL)
		_, _ = holder.cmd.Process.Wait()
		time.Sleep(300 * time.Millisecond)
		if err := r.startEntry(holder); err != nil {
			return r, err
		}
		r.record("process %s is started again", holder.name)
	}
	time.Sleep(calmAfter)
	for _, j := range accepted {
		status, text := r.call("GET", j, nil)
		if status == http.StatusGone {
			r.violation("LOST", "job %s was accepted at %.3f, nobody has cancelled it, and a GET at %.3f is answered 410", j.id, r.since(j.accepted), time.Since(r.began).Seconds())
		} else {
			r.record("client: GET %s%s -> %d %s", q.prefix, j.id, status, text)
		}
	}
	r.record("%d jobs were accepted", len(accepted))
	return r, nil
}
