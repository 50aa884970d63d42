package load

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/strictjson"
)

// Limits on an experiment, to catch slips of the pen.
const (
	maxOutstanding = 100_000
	maxRate        = 100_000       // arrivals per second
	maxTimeMS      = 24 * 3600_000 // a day
	maxAnswerBytes = 16 << 20
	maxFactor      = 1000
	maxSigma       = 10
	maxWeight      = 1e6
)

// problems returns every problem of a completed experiment.
func (e *Experiment) problems() strictjson.Problems {
	var p strictjson.Problems
	if len(e.Entries) == 0 {
		p.Add("entries", "is empty", "name the caller addresses of entry processes")
	}
	for i, entry := range e.Entries {
		checkEntry(&p, fmt.Sprintf("entries[%d]", i), entry)
	}
	checkOneOf(&p, "entry_choice", e.EntryChoice, ChoiceInTurn, ChoiceRandom)
	checkNumber(&p, "max_outstanding", float64(e.MaxOutstanding), 1, maxOutstanding)
	checkNumber(&p, "timeout_ms", float64(e.TimeoutMS), 1, maxTimeMS)
	e.checkWorkspaces(&p)
	if len(e.Works) == 0 {
		p.Add("works", "is empty", "describe the jobs")
	}
	for _, name := range slices.Sorted(maps.Keys(e.Works)) {
		e.checkWork(&p, "works."+name, e.Works[name])
	}
	e.checkStreams(&p)
	return p
}

func checkEntry(p *strictjson.Problems, path, entry string) {
	u, err := url.Parse(entry)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		p.Add(path, fmt.Sprintf("is %q", entry), "use http://host:port")
	}
}

func (e *Experiment) checkWorkspaces(p *strictjson.Problems) {
	if len(e.Workspaces) == 0 {
		p.Add("workspaces", "is empty", "name a workspace of the bundle")
	}
	seen := map[string]bool{}
	for i, t := range e.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		if t.Name == "" || seen[t.Name] {
			p.Add(path+".name", fmt.Sprintf("is %q, which is empty or appears twice", t.Name), "name each workspace once")
		}
		seen[t.Name] = true
		checkNumber(p, path+".weight", t.Weight, 0, maxWeight)
	}
}

func (e *Experiment) checkWork(p *strictjson.Problems, path string, w Work) {
	sample := api.Job{Class: w.Class, Kind: w.Kind, Tasks: w.Tasks, Resources: w.Resources, DeadlineMS: w.DeadlineMS}
	if err := sample.Check(); err != nil {
		p.Add(path, "describes a job that is refused: "+err.Error(), "correct the field")
	}
	for i, name := range w.Workspaces {
		if !slices.ContainsFunc(e.Workspaces, func(t Workspace) bool { return t.Name == name }) {
			p.Add(fmt.Sprintf("%s.workspaces[%d]", path, i), fmt.Sprintf("is %q", name), "name a workspace of the experiment")
		}
	}
	checkNumber(p, path+".in_time_ms", float64(w.InTimeMS), 0, maxTimeMS)
	w.WorkMS.problems(p, path+".work_ms", maxTimeMS)
	w.AnswerBytes.problems(p, path+".answer_bytes", maxAnswerBytes)
	checkNumber(p, path+".declared_factor.min", w.DeclaredFactor.Min, 1.0/maxFactor, maxFactor)
	checkNumber(p, path+".declared_factor.max", w.DeclaredFactor.Max, w.DeclaredFactor.Min, maxFactor)
	if w.Follow && w.Kind != api.KindBatch && w.Kind != api.KindGang {
		p.Add(path+".follow", "is set for a "+string(w.Kind), "leave it out; it is for batch and gang")
	}
}

func (e *Experiment) checkStreams(p *strictjson.Problems) {
	if len(e.Phases) == 0 && len(e.Floods) == 0 {
		p.Add("phases", "is empty", "describe a phase")
	}
	seen := map[string]bool{totalName: true}
	for i, phase := range e.Phases {
		path := fmt.Sprintf("phases[%d]", i)
		checkStream(p, path, seen, stream{phase.Name, phase.DurationMS, phase.Rate, phase.Arrivals})
		if len(phase.Mix) == 0 {
			p.Add(path+".mix", "is empty", "name works and their weights")
		}
		for k, share := range phase.Mix {
			at := fmt.Sprintf("%s.mix[%d]", path, k)
			e.checkWorkName(p, at+".work", share.Work)
			checkNumber(p, at+".weight", share.Weight, 0, maxWeight)
		}
	}
	for i, f := range e.Floods {
		path := fmt.Sprintf("floods[%d]", i)
		checkStream(p, path, seen, stream{f.Name, f.DurationMS, f.Rate, f.Arrivals})
		e.checkWorkName(p, path+".work", f.Work)
		checkNumber(p, path+".start_ms", float64(f.StartMS), 0, maxTimeMS)
	}
}

// stream is what phases and floods have in common.
type stream struct {
	name       string
	durationMS int64
	rate       float64
	arrivals   string
}

func checkStream(p *strictjson.Problems, path string, seen map[string]bool, s stream) {
	if s.name == "" || seen[s.name] {
		p.Add(path+".name", fmt.Sprintf("is %q, which is empty, reserved or appears twice", s.name), "give each phase and flood a name of its own")
	}
	seen[s.name] = true
	checkNumber(p, path+".duration_ms", float64(s.durationMS), 1, maxTimeMS)
	checkNumber(p, path+".rate", s.rate, 0, maxRate)
	checkOneOf(p, path+".arrivals", s.arrivals, ArrivalsPoisson, ArrivalsConstant)
}

func (e *Experiment) checkWorkName(p *strictjson.Problems, path, name string) {
	if _, ok := e.Works[name]; !ok {
		p.Add(path, fmt.Sprintf("is %q", name), "name one of the works")
	}
}

func checkNumber(p *strictjson.Problems, path string, value, least, most float64) {
	if !(value >= least && value <= most) {
		p.Add(path, "is "+number(value), "use "+number(least)+" to "+number(most))
	}
}

func number(value float64) string { return strconv.FormatFloat(value, 'g', 10, 64) }

func checkOneOf(p *strictjson.Problems, path, value, a, b string) {
	if value != a && value != b {
		p.Add(path, fmt.Sprintf("is %q", value), "use "+a+" or "+b)
	}
}
