package load

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/caller"
	"github.com/valyala/fasthttp"
)

// Caller sends the requests of one workspace to one entry process. It is safe for
// concurrent use. *caller.Client implements it.
type Caller interface {
	Mint(ctx context.Context) (string, error)
	Submit(ctx context.Context, job api.Job) api.Answer
	Wait(ctx context.Context, id string, wait time.Duration) api.Answer
	Cancel(ctx context.Context, id string) api.Answer
	Close()
}

// Dial returns a Caller for an entry process and a workspace.
type Dial func(entry string, workspace Workspace) (Caller, error)

// DialHTTP returns a Caller that uses the callers' HTTP API. The error is an
// Invalid fault if the entry is not a URL.
func DialHTTP(entry string, workspace Workspace) (Caller, error) {
	client, err := caller.NewClient(entry, workspace.Token, workspace.Name)
	if err != nil {
		return nil, err
	}
	return client, nil
}

// maxRequestsPerClient bounds the concurrent requests of one caller.Client to the
// connections that it opens. Beyond them the client itself refuses requests, which
// would be counted as refusals by the entry process.
const maxRequestsPerClient = fasthttp.DefaultMaxConnsPerHost

// pool holds the Callers of one workspace at one entry process. Each Caller is used
// by at most maxRequestsPerClient requests at once.
type pool struct {
	entry     string
	workspace Workspace
	dial      Dial

	mu    sync.Mutex // guards slots
	slots []*slot
}

// slot is one Caller of a pool.
type slot struct {
	caller Caller
	inUse  int // requests that use the Caller
}

// acquire returns a slot for one request. It dials a new Caller if every slot is
// full.
func (p *pool) acquire() (*slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.slots {
		if s.inUse < maxRequestsPerClient {
			s.inUse++
			return s, nil
		}
	}
	c, err := p.dial(p.entry, p.workspace)
	if err != nil {
		return nil, err
	}
	s := &slot{caller: c, inUse: 1}
	p.slots = append(p.slots, s)
	return s, nil
}

// release returns a slot after its request.
func (p *pool) release(s *slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.inUse--
}

// close closes all Callers. No request may be using them.
func (p *pool) close() {
	for _, s := range p.slots {
		s.caller.Close()
	}
}

// pools holds one pool for each entry process and workspace.
type pools struct {
	entries    int
	workspaces int
	list       []*pool
}

func newPools(e *Experiment, dial Dial) *pools {
	p := &pools{entries: len(e.Entries), workspaces: len(e.Workspaces)}
	for _, entry := range e.Entries {
		for _, workspace := range e.Workspaces {
			p.list = append(p.list, &pool{entry: entry, workspace: workspace, dial: dial})
		}
	}
	return p
}

// with runs f with a Caller of a workspace at an entry process.
func (p *pools) with(entry, workspace int, f func(c Caller) api.Answer) api.Answer {
	pool := p.list[entry%p.entries*p.workspaces+workspace]
	s, err := pool.acquire()
	if err != nil {
		return api.Refuse("", err)
	}
	defer pool.release(s)
	return f(s.caller)
}

func (p *pools) close() {
	for _, pool := range p.list {
		pool.close()
	}
}
