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

// Arrival is one job and its intended send time.
type Arrival struct {
	At        time.Duration   // from the start of the experiment
	Stream    string          // name of the phase or flood
	Work      string          // name of the job template
	Entry     int             // index in Entries
	Workspace int             // index in Workspaces
	Job       api.Job         // without an ID
	Payload   standin.Payload // decoded payload of Job
}

// Schedule generates the arrivals of an experiment in the order of their times. It
// generates them one at a time, so that memory use does not depend on the length of
// the experiment. It is not safe for concurrent use.
type Schedule struct {
	experiment *Experiment
	generators []*generator
}

// generator generates the arrivals of one phase or flood. Each has its own random
// number generator, so that adding a flood does not change other arrivals.
type generator struct {
	stream
	mix    []Share
	random *rand.Rand
	start  time.Duration
	end    time.Duration
	next   time.Duration // time of the next arrival
	count  int           // arrivals before the next one
}

// floodSeedOffset keeps the seeds of floods distinct from those of phases.
const floodSeedOffset = 1 << 32

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
		s.add(stream{f.Name, f.DurationMS, f.Rate, f.Arrivals}, mix, f.StartMS, uint64(floodSeedOffset+i))
	}
	return s
}

// add adds a generator for a phase or flood. number selects its random sequence.
func (s *Schedule) add(st stream, mix []Share, startMS int64, number uint64) {
	if st.rate == 0 {
		return
	}
	g := &generator{stream: st, mix: mix, random: rand.New(rand.NewPCG(s.experiment.Seed, number)),
		start: milliseconds(startMS), end: milliseconds(startMS + st.durationMS)}
	g.next = g.start
	if st.arrivals == ArrivalsPoisson {
		g.next += g.gap()
	}
	s.generators = append(s.generators, g)
}

// gap returns a random time from one Poisson arrival to the next.
func (g *generator) gap() time.Duration {
	return time.Duration(g.random.ExpFloat64() / g.rate * float64(time.Second))
}

// advance moves to the time of the next arrival. Times of constant arrivals are
// computed from the start, so that rounding errors do not accumulate.
func (g *generator) advance() {
	g.count++
	if g.arrivals == ArrivalsPoisson {
		g.next += g.gap()
		return
	}
	g.next = g.start + time.Duration(math.Round(float64(g.count)/g.rate*float64(time.Second)))
}

// Next returns the next arrival, or false after the last one.
func (s *Schedule) Next() (Arrival, bool) {
	var first *generator
	for _, g := range s.generators {
		if g.next < g.end && (first == nil || g.next < first.next) {
			first = g
		}
	}
	if first == nil {
		return Arrival{}, false
	}
	arrival := s.draw(first)
	first.advance()
	return arrival, true
}

// draw returns the next arrival of a generator, with random choices and amounts.
func (s *Schedule) draw(g *generator) Arrival {
	e := s.experiment
	name := g.mix[pick(g.random, g.mix, func(share Share) float64 { return share.Weight })].Work
	w := e.Works[name]
	a := Arrival{At: g.next, Stream: g.name, Work: name, Entry: g.count % len(e.Entries)}
	if e.EntryChoice == ChoiceRandom {
		a.Entry = g.random.IntN(len(e.Entries))
	}
	a.Workspace = pick(g.random, e.Workspaces, func(ws Workspace) float64 {
		if len(w.Workspaces) > 0 && !slices.Contains(w.Workspaces, ws.Name) {
			return 0
		}
		return ws.Weight
	})
	a.Payload = standin.Payload{
		WorkMS:      w.WorkMS.Draw(g.random),
		AnswerBytes: int(w.AnswerBytes.Draw(g.random)),
		UseMemoryMB: w.Resources.MemoryMB,
		Echo:        fmt.Sprintf("%d/%s/%d", e.Seed, g.name, g.count),
	}
	a.Job = w.job(g.random, a.Payload)
	a.Job.Workspace = e.Workspaces[a.Workspace].Name
	return a
}

// job returns a job of the template with declared memory and run time that differ from
// the actual ones by random factors.
func (t *JobTemplate) job(random *rand.Rand, payload standin.Payload) api.Job {
	declared := t.Resources
	declared.MemoryMB = scale(t.Resources.MemoryMB, t.DeclaredFactor.Draw(random))
	encoded, err := json.Marshal(payload)
	if err != nil {
		panic(err) // numbers and text can always be encoded
	}
	return api.Job{
		Class:      t.Class,
		Kind:       t.Kind,
		Idempotent: t.Idempotent,
		Tasks:      t.Tasks,
		Resources:  declared,
		RunTimeMS:  scale(payload.WorkMS, t.DeclaredFactor.Draw(random)),
		DeadlineMS: t.DeadlineMS,
		Payload:    encoded,
	}
}

// scale multiplies an amount by factor. It returns at least 1 for an amount above 0,
// because 0 means unknown.
func scale(amount int64, factor float64) int64 {
	if amount == 0 {
		return 0
	}
	return max(1, int64(math.Round(float64(amount)*factor)))
}

// pick returns a random index, in proportion to the weights. It returns 0 if all
// weights are 0.
func pick[T any](random *rand.Rand, list []T, weight func(T) float64) int {
	total := 0.0
	for _, item := range list {
		total += weight(item)
	}
	point := random.Float64() * total
	last := 0
	for i, item := range list {
		w := weight(item)
		if w <= 0 {
			continue
		}
		last = i
		if point < w {
			return i
		}
		point -= w
	}
	return last
}
