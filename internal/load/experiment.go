package load

import (
	"io"
	"os"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/strictjson"
)

// Experiment describes a load. Times are in milliseconds.
type Experiment struct {
	Name string `json:"name"`
	// Seed and the other fields together determine all arrivals.
	Seed uint64 `json:"seed"`
	// Entries are the caller addresses of entry processes, as http://host:port.
	Entries []string `json:"entries"`
	// EntryChoice is how an arrival's entry process is chosen: in_turn or random.
	EntryChoice string `json:"entry_choice"`
	// MaxOutstanding is the maximum number of requests without an answer, for all
	// phases together and for each flood separately. A request above the limit is
	// counted as not sent.
	MaxOutstanding int `json:"max_outstanding"`
	// TimeoutMS is the longest wait for the answer to one request and, after a job was
	// accepted, for its end.
	TimeoutMS int64 `json:"timeout_ms"`
	// CheckAnswers checks that every completed request returns the complete answer
	// of its own task. The workers must be stand-ins.
	CheckAnswers bool                   `json:"check_answers"`
	Workspaces   []Workspace            `json:"workspaces"`
	Works        map[string]JobTemplate `json:"works"`
	Phases       []Phase                `json:"phases"` // one after the other
	Floods       []Flood                `json:"floods"`
}

// Workspace is a group of callers that sends a share of the load.
type Workspace struct {
	Name   string  `json:"name"`
	Token  string  `json:"token,omitempty"`
	Weight float64 `json:"weight"`
}

// JobTemplate describes one kind of job.
type JobTemplate struct {
	Class      string   `json:"class"`
	Kind       api.Kind `json:"kind"`
	Idempotent bool     `json:"idempotent"`
	// Mint requests an ID from an entry process before the job is submitted. The
	// response time includes that request.
	Mint bool `json:"mint"`
	// Workspaces restricts the template to some workspaces; empty means all.
	Workspaces []string `json:"workspaces,omitempty"`
	Tasks      int      `json:"tasks"`
	// Resources are the resources that a task actually uses.
	Resources  api.Resources `json:"resources"`
	DeadlineMS int64         `json:"deadline_ms"`
	// WorkMS is the run time of a task, or the time after which a service is
	// cancelled.
	WorkMS      Distribution `json:"work_ms"`
	AnswerBytes Distribution `json:"answer_bytes"`
	// DeclaredFactor is the error of the declared memory and run time. Each is the
	// actual value times its own factor from this range, uniform on a logarithmic
	// scale.
	DeclaredFactor Range `json:"declared_factor"`
	// InTimeMS is the longest response time that counts as goodput; 0 counts
	// every response.
	InTimeMS int64 `json:"in_time_ms"`
	// Follow waits for the end of an accepted batch or gang. Without it the
	// acceptance is the response.
	Follow bool `json:"follow"`
}

// Range is a closed interval.
type Range struct {
	Min float64 `json:"min"`
	Max float64 `json:"max"`
}

// Phase is an interval with a constant arrival rate.
type Phase struct {
	Name       string  `json:"name"`
	DurationMS int64   `json:"duration_ms"`
	Rate       float64 `json:"rate"`     // arrivals per second
	Arrivals   string  `json:"arrivals"` // poisson or constant
	Mix        []Share `json:"mix"`
}

// Share is the weight of one job template in a mix.
type Share struct {
	Work   string  `json:"work"`
	Weight float64 `json:"weight"`
}

// Flood is an additional stream of one job template. It does not change the arrivals of
// the phases, so that runs with and without it can be compared.
type Flood struct {
	Name       string  `json:"name"`
	Work       string  `json:"work"`
	StartMS    int64   `json:"start_ms"` // from the start of the experiment
	DurationMS int64   `json:"duration_ms"`
	Rate       float64 `json:"rate"`     // arrivals per second
	Arrivals   string  `json:"arrivals"` // poisson or constant
}

// Values of EntryChoice and Arrivals.
const (
	ChoiceInTurn     = "in_turn"
	ChoiceRandom     = "random"
	ArrivalsPoisson  = "poisson"
	ArrivalsConstant = "constant"
)

// Defaults of omitted fields.
const (
	DefaultMaxOutstanding = 1000
	DefaultTimeoutMS      = 120_000
)

// maxFileBytes is the maximum size of an experiment or result file.
const maxFileBytes = 16 << 20

// Load reads an experiment from the file at path and sets its defaults. The error
// holds one *fault.Error of kind Invalid for each problem.
func Load(path string) (Experiment, error) {
	data, err := readFile(path)
	if err != nil {
		return Experiment{}, err
	}
	return Parse(data)
}

// Parse decodes an experiment and sets its defaults. The error holds one
// *fault.Error of kind Invalid for each problem.
func Parse(data []byte) (Experiment, error) {
	e, problems := strictjson.Decode(data, func(e *Experiment) strictjson.Problems {
		e.setDefaults()
		return e.problems()
	})
	return e, problems.Err()
}

// Check returns one *fault.Error of kind Invalid for each problem, or nil. Use it for
// an experiment that was changed after Parse.
func (e *Experiment) Check() error { return e.problems().Err() }

// readFile reads a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the file cannot be read", "give the path of a readable file")
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil || len(data) > maxFileBytes {
		return nil, fault.Wrap(fault.Invalid, err, path+" cannot be read or is too large", "give a readable file of at most 16 MiB")
	}
	return data, nil
}

// setDefaults sets the defaults of omitted fields.
func (e *Experiment) setDefaults() {
	setDefault(&e.EntryChoice, ChoiceInTurn)
	setDefault(&e.MaxOutstanding, DefaultMaxOutstanding)
	setDefault(&e.TimeoutMS, DefaultTimeoutMS)
	// A nil list would be encoded as null, which LoadResult rejects.
	e.Phases = append([]Phase{}, e.Phases...)
	e.Floods = append([]Flood{}, e.Floods...)
	for i := range e.Workspaces {
		setDefault(&e.Workspaces[i].Weight, 1)
	}
	for name, w := range e.Works {
		w.setDefaults()
		e.Works[name] = w
	}
	for i := range e.Phases {
		p := &e.Phases[i]
		setDefault(&p.Arrivals, ArrivalsPoisson)
		for k := range p.Mix {
			setDefault(&p.Mix[k].Weight, 1)
		}
	}
	for i := range e.Floods {
		setDefault(&e.Floods[i].Arrivals, ArrivalsPoisson)
	}
}

func (t *JobTemplate) setDefaults() {
	setDefault(&t.Kind, api.KindRequest)
	setDefault(&t.Tasks, 1)
	setDefault(&t.Resources.Slots, 1)
	setDefault(&t.DeclaredFactor, Range{1, 1})
	setDefault(&t.WorkMS.Kind, Constant)
	setDefault(&t.AnswerBytes.Kind, Constant)
}

// setDefault sets *field to value if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Scale multiplies the rates of all phases and floods by factor.
func (e *Experiment) Scale(factor float64) {
	for i := range e.Phases {
		e.Phases[i].Rate *= factor
	}
	for i := range e.Floods {
		e.Floods[i].Rate *= factor
	}
}

// SetToken sets the token of a workspace. The error is an Invalid fault if the
// experiment has no such workspace.
func (e *Experiment) SetToken(workspace, token string) error {
	for i := range e.Workspaces {
		if e.Workspaces[i].Name == workspace {
			e.Workspaces[i].Token = token
			return nil
		}
	}
	return fault.New(fault.Invalid, "the experiment has no workspace "+workspace, "name a workspace of the experiment")
}

// Duration returns the time from the start to the end of the last phase or flood.
func (e *Experiment) Duration() time.Duration {
	phases, last := int64(0), int64(0)
	for _, p := range e.Phases {
		phases += p.DurationMS
	}
	for _, f := range e.Floods {
		last = max(last, f.StartMS+f.DurationMS)
	}
	return milliseconds(max(phases, last))
}

// withoutTokens returns a copy without the workspaces' tokens, for publication.
func (e Experiment) withoutTokens() Experiment {
	workspaces := make([]Workspace, len(e.Workspaces))
	for i, ws := range e.Workspaces {
		workspaces[i] = Workspace{Name: ws.Name, Weight: ws.Weight}
	}
	e.Workspaces = workspaces
	return e
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
