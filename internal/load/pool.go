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

// maxRequestsPerClient is the maximum number of concurrent requests of one
// caller.Client, which is also the number of connections that it opens. The client
// itself refuses further requests, which would be counted as refusals by the entry
// process.
const maxRequestsPerClient = fasthttp.DefaultMaxConnsPerHost

// pool holds the Callers of one workspace at one entry process. Each Caller is used
// by at most maxRequestsPerClient requests at once.
type pool struct {
	entry     string
	workspace Workspace
	dial      Dial

	mu      sync.Mutex // guards callers
	callers []*pooledCaller
}

// pooledCaller is a Caller of a pool and the number of its users.
type pooledCaller struct {
	caller Caller
	inUse  int // requests that use the Caller
}

// acquire returns a Caller for one request. It dials a new one if all Callers have
// maxRequestsPerClient requests.
func (p *pool) acquire() (*pooledCaller, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pooled := range p.callers {
		if pooled.inUse < maxRequestsPerClient {
			pooled.inUse++
			return pooled, nil
		}
	}
	c, err := p.dial(p.entry, p.workspace)
	if err != nil {
		return nil, err
	}
	pooled := &pooledCaller{caller: c, inUse: 1}
	p.callers = append(p.callers, pooled)
	return pooled, nil
}

// release returns a Caller to the pool after its request.
func (p *pool) release(pooled *pooledCaller) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pooled.inUse--
}

// close closes all Callers. No request may be using them.
func (p *pool) close() {
	for _, pooled := range p.callers {
		pooled.caller.Close()
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
	pooled, err := pool.acquire()
	if err != nil {
		return api.Refuse("", err)
	}
	defer pool.release(pooled)
	return f(pooled.caller)
}

func (p *pools) close() {
	for _, pool := range p.list {
		pool.close()
	}
}
