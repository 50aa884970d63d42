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

// Upper limits of the values in an experiment, to catch typing errors.
const (
	maxOutstanding = 100_000
	maxRate        = 100_000       // arrivals per second
	maxTimeMS      = 24 * 3600_000 // one day, in milliseconds
	maxAnswerBytes = 16 << 20
	maxFactor      = 1000
	maxSigma       = 10
	maxWeight      = 1e6
)

// problems returns every problem of an experiment whose defaults are set.
func (e *Experiment) problems() strictjson.Problems {
	var p strictjson.Problems
	if len(e.Entries) == 0 {
		p.Add("entries", "is empty", "list the caller addresses of entry processes")
	}
	for i, entry := range e.Entries {
		checkEntry(&p, fmt.Sprintf("entries[%d]", i), entry)
	}
	checkOneOf(&p, "entry_choice", e.EntryChoice, ChoiceInTurn, ChoiceRandom)
	checkNumber(&p, "max_outstanding", float64(e.MaxOutstanding), 1, maxOutstanding)
	checkNumber(&p, "timeout_ms", float64(e.TimeoutMS), 1, maxTimeMS)
	e.checkWorkspaces(&p)
	if len(e.Works) == 0 {
		p.Add("works", "is empty", "describe the kinds of jobs")
	}
	for _, name := range slices.Sorted(maps.Keys(e.Works)) {
		e.checkTemplate(&p, "works."+name, e.Works[name])
	}
	e.checkStreams(&p)
	return p
}

// checkEntry reports an entry address that is not an HTTP URL.
func checkEntry(p *strictjson.Problems, path, entry string) {
	u, err := url.Parse(entry)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		p.Add(path, fmt.Sprintf("is %q", entry), "use http://host:port")
	}
}

// checkWorkspaces reports problems of the workspaces.
func (e *Experiment) checkWorkspaces(p *strictjson.Problems) {
	if len(e.Workspaces) == 0 {
		p.Add("workspaces", "is empty", "list workspaces of the bundle")
	}
	seen := map[string]bool{}
	for i, ws := range e.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		if ws.Name == "" || seen[ws.Name] {
			p.Add(path+".name", fmt.Sprintf("is %q, which is empty or appears twice", ws.Name), "name each workspace once")
		}
		seen[ws.Name] = true
		checkNumber(p, path+".weight", ws.Weight, 0, maxWeight)
	}
}

// checkTemplate reports problems of one job template.
func (e *Experiment) checkTemplate(p *strictjson.Problems, path string, t JobTemplate) {
	sample := api.Job{Class: t.Class, Kind: t.Kind, Tasks: t.Tasks, Resources: t.Resources, DeadlineMS: t.DeadlineMS}
	if err := sample.Check(); err != nil {
		p.Add(path, "describes an invalid job: "+err.Error(), "correct the field")
	}
	for i, name := range t.Workspaces {
		if !slices.ContainsFunc(e.Workspaces, func(ws Workspace) bool { return ws.Name == name }) {
			p.Add(fmt.Sprintf("%s.workspaces[%d]", path, i), fmt.Sprintf("is %q", name), "name a workspace of the experiment")
		}
	}
	checkNumber(p, path+".in_time_ms", float64(t.InTimeMS), 0, maxTimeMS)
	t.WorkMS.problems(p, path+".work_ms", maxTimeMS)
	t.AnswerBytes.problems(p, path+".answer_bytes", maxAnswerBytes)
	checkNumber(p, path+".declared_factor.min", t.DeclaredFactor.Min, 1.0/maxFactor, maxFactor)
	checkNumber(p, path+".declared_factor.max", t.DeclaredFactor.Max, t.DeclaredFactor.Min, maxFactor)
	if t.Follow && t.Kind != api.KindBatch && t.Kind != api.KindGang {
		p.Add(path+".follow", "is set for a "+string(t.Kind), "remove it; only batch and gang jobs can be followed")
	}
}

// checkStreams reports problems of the phases and floods.
func (e *Experiment) checkStreams(p *strictjson.Problems) {
	if len(e.Phases) == 0 && len(e.Floods) == 0 {
		p.Add("phases", "is empty", "add a phase or a flood")
	}
	seen := map[string]bool{totalName: true}
	for i, phase := range e.Phases {
		path := fmt.Sprintf("phases[%d]", i)
		checkStream(p, path, seen, stream{phase.Name, phase.DurationMS, phase.Rate, phase.Arrivals})
		if len(phase.Mix) == 0 {
			p.Add(path+".mix", "is empty", "list works and their weights")
		}
		for k, share := range phase.Mix {
			sharePath := fmt.Sprintf("%s.mix[%d]", path, k)
			e.checkWorkName(p, sharePath+".work", share.Work)
			checkNumber(p, sharePath+".weight", share.Weight, 0, maxWeight)
		}
	}
	for i, f := range e.Floods {
		path := fmt.Sprintf("floods[%d]", i)
		checkStream(p, path, seen, stream{f.Name, f.DurationMS, f.Rate, f.Arrivals})
		e.checkWorkName(p, path+".work", f.Work)
		checkNumber(p, path+".start_ms", float64(f.StartMS), 0, maxTimeMS)
	}
}

// stream holds the fields that phases and floods have in common.
type stream struct {
	name       string
	durationMS int64
	rate       float64 // arrivals per second
	arrivals   string  // poisson or constant
}

// checkStream reports problems of one phase or flood. seen holds the names that are
// already used.
func checkStream(p *strictjson.Problems, path string, seen map[string]bool, s stream) {
	if s.name == "" || seen[s.name] {
		p.Add(path+".name", fmt.Sprintf("is %q, which is empty, reserved or appears twice", s.name), "give each phase and flood a unique name")
	}
	seen[s.name] = true
	checkNumber(p, path+".duration_ms", float64(s.durationMS), 1, maxTimeMS)
	checkNumber(p, path+".rate", s.rate, 0, maxRate)
	checkOneOf(p, path+".arrivals", s.arrivals, ArrivalsPoisson, ArrivalsConstant)
}

// checkWorkName reports a name that is not in Works.
func (e *Experiment) checkWorkName(p *strictjson.Problems, path, name string) {
	if _, ok := e.Works[name]; !ok {
		p.Add(path, fmt.Sprintf("is %q", name), "name one of the works")
	}
}

// checkNumber reports a value outside lowest to highest, or NaN.
func checkNumber(p *strictjson.Problems, path string, value, lowest, highest float64) {
	if !(value >= lowest && value <= highest) {
		p.Add(path, "is "+formatNumber(value), "use "+formatNumber(lowest)+" to "+formatNumber(highest))
	}
}

// formatNumber formats a value for a message.
func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', 10, 64) }

// checkOneOf reports a value that is neither a nor b.
func checkOneOf(p *strictjson.Problems, path, value, a, b string) {
	if value != a && value != b {
		p.Add(path, fmt.Sprintf("is %q", value), "use "+a+" or "+b)
	}
}
