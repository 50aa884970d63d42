package load

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/standin"
)

// Arrival is one job and the time at which it is to be sent.
type Arrival struct {
	At        time.Duration // from the start of the experiment
	Stream    string        // name of the phase or flood
	Work      string        // name of the work
	Entry     int           // index in Entries
	Workspace int           // index in Workspaces
	Job       api.Job       // without an id
	Payload   standin.Payload
}

// Schedule returns the arrivals of an experiment in the order of their times.
// It makes them one by one, so that a long experiment needs no more memory than
// a short one.
type Schedule struct {
	experiment *Experiment
	sources    []*source
}

// source makes the arrivals of one phase or flood. Each has its own random
// numbers, so that adding a flood changes no other arrival.
type source struct {
	stream
	mix    []Share
	random *rand.Rand
	start  time.Duration
	end    time.Duration
	next   time.Duration
	count  int
}

// floodSeeds keeps the seeds of floods apart from those of phases.
const floodSeeds = 1 << 32

// NewSchedule returns the schedule of an experiment that Parse returned.
func NewSchedule(e *Experiment) *Schedule {
	s := &Schedule{experiment: e}
	start := int64(0)
	for i, p := range e.Phases {
		s.add(stream{p.Name, p.DurationMS, p.Rate, p.Arrivals}, p.Mix, start, uint64(i))
		start += p.DurationMS
	}
	for i, f := range e.Floods {
		mix := []Share{{Work: f.Work, Weight: 1}}
		s.add(stream{f.Name, f.DurationMS, f.Rate, f.Arrivals}, mix, f.StartMS, uint64(floodSeeds+i))
	}
	return s
}

func (s *Schedule) add(st stream, mix []Share, startMS int64, number uint64) {
	if st.rate == 0 {
		return
	}
	src := &source{stream: st, mix: mix, random: rand.New(rand.NewPCG(s.experiment.Seed, number)),
		start: milliseconds(startMS), end: milliseconds(startMS + st.durationMS)}
	src.next = src.start
	if st.arrivals == ArrivalsPoisson {
		src.next += src.gap()
	}
	s.sources = append(s.sources, src)
}

// gap returns the time from one Poisson arrival to the next.
func (src *source) gap() time.Duration {
	return time.Duration(src.random.ExpFloat64() / src.rate * float64(time.Second))
}

// advance moves to the time of the next arrival. Constant arrivals are counted
// from the start, so that rounding does not add up.
func (src *source) advance() {
	src.count++
	if src.arrivals == ArrivalsPoisson {
		src.next += src.gap()
		return
	}
	src.next = src.start + time.Duration(math.Round(float64(src.count)/src.rate*float64(time.Second)))
}

// Next returns the next arrival, or false at the end.
func (s *Schedule) Next() (Arrival, bool) {
	var first *source
	for _, src := range s.sources {
		if src.next < src.end && (first == nil || src.next < first.next) {
			first = src
		}
	}
	if first == nil {
		return Arrival{}, false
	}
	arrival := s.draw(first)
	first.advance()
	return arrival, true
}

// draw makes the arrival of a source that is due next.
func (s *Schedule) draw(src *source) Arrival {
	e := s.experiment
	name := src.mix[pick(src.random, src.mix, func(m Share) float64 { return m.Weight })].Work
	w := e.Works[name]
	a := Arrival{At: src.next, Stream: src.name, Work: name, Entry: src.count % len(e.Entries)}
	if e.EntryChoice == ChoiceRandom {
		a.Entry = src.random.IntN(len(e.Entries))
	}
	a.Workspace = pick(src.random, e.Workspaces, func(t Workspace) float64 {
		if len(w.Workspaces) > 0 && !slices.Contains(w.Workspaces, t.Name) {
			return 0
		}
		return t.Weight
	})
	a.Payload = standin.Payload{
		WorkMS:      w.WorkMS.Draw(src.random),
		AnswerBytes: int(w.AnswerBytes.Draw(src.random)),
		UseMemoryMB: w.Resources.MemoryMB,
		Echo:        fmt.Sprintf("%d/%s/%d", e.Seed, src.name, src.count),
	}
	a.Job = w.job(src.random, a.Payload)
	a.Job.Workspace = e.Workspaces[a.Workspace].Name
	return a
}

func (w *Work) job(random *rand.Rand, payload standin.Payload) api.Job {
	declared := w.Resources
	declared.MemoryMB = scale(w.Resources.MemoryMB, w.DeclaredFactor.Draw(random))
	encoded, err := json.Marshal(payload)
	if err != nil {
		panic(err) // numbers and text always encode
	}
	return api.Job{
		Class:      w.Class,
		Kind:       w.Kind,
		Idempotent: w.Idempotent,
		Tasks:      w.Tasks,
		Resources:  declared,
		RunTimeMS:  scale(payload.WorkMS, w.DeclaredFactor.Draw(random)),
		DeadlineMS: w.DeadlineMS,
		Payload:    encoded,
	}
}

// scale keeps an amount above 0 above 0, because 0 means unknown.
func scale(amount int64, factor float64) int64 {
	if amount == 0 {
		return 0
	}
	return max(1, int64(math.Round(float64(amount)*factor)))
}

// pick returns a random index by weight. If all weights are 0, it returns 0.
func pick[T any](random *rand.Rand, list []T, weight func(T) float64) int {
	total := 0.0
	for _, item := range list {
		total += weight(item)
	}
	at := random.Float64() * total
	last := 0
	for i, item := range list {
		w := weight(item)
		if w <= 0 {
			continue
		}
		last = i
		if at < w {
			return i
		}
		at -= w
	}
	return last
}
