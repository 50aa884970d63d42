package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Config is the settings file of the stand-ins. Times are in milliseconds; an
// address is host:port, and port 0 lets the kernel choose.
type Config struct {
	Admin   string        `json:"admin"`
	Log     LogConfig     `json:"log"`
	VMs     VMsConfig     `json:"vms"`
	Workers []WorkerGroup `json:"workers"`
	// HistoryRuns bounds the runs kept in the history; 0 takes 50,000.
	HistoryRuns int `json:"history_runs,omitempty"`
}

// LogConfig describes the log service.
type LogConfig struct {
	Address          string `json:"address"`
	RetentionMS      int64  `json:"retention_ms,omitempty"`       // 0 takes one hour
	AppendsPerSecond int    `json:"appends_per_second,omitempty"` // 0 takes 400
}

// VMsConfig describes the VM list. Workers are listed without an entry here.
type VMsConfig struct {
	Address string   `json:"address"`
	LagMS   *int64   `json:"lag_ms,omitempty"` // nil takes 1000
	Entries []api.VM `json:"entries,omitempty"`
}

// WorkerGroup describes workers of equal size, named prefix-000 and on, each
// with its own listener.
type WorkerGroup struct {
	Prefix    string   `json:"prefix"`
	Count     int      `json:"count"`
	Host      string   `json:"host"`       // address without a port
	FirstPort int      `json:"first_port"` // 0 lets the kernel choose each port
	Region    string   `json:"region"`
	Domains   []string `json:"domains"`  // taken in turn
	PerRack   int      `json:"per_rack"` // workers of one domain in a rack

	Capacity   api.Resources `json:"capacity"`
	UsageLagMS int64         `json:"usage_lag_ms,omitempty"` // 0 takes 2000
}

// Load reads a settings file. Errors are Invalid faults.
func Load(path string) (Config, error) {
	var config Config
	data, err := os.ReadFile(path)
	if err != nil {
		return config, fault.Wrap(fault.Invalid, err, "the settings cannot be read", "name a readable file")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&config); err != nil {
		return config, fault.Wrap(fault.Invalid, err, "the settings are malformed", "correct the named field")
	}
	return config, nil
}

func (c *Config) setDefaults() {
	lag := int64(1000)
	if c.VMs.LagMS == nil {
		c.VMs.LagMS = &lag
	}
	setDefault(&c.Admin, "127.0.0.1:0")
	setDefault(&c.Log.Address, "127.0.0.1:0")
	setDefault(&c.Log.RetentionMS, time.Hour.Milliseconds())
	setDefault(&c.Log.AppendsPerSecond, 400)
	setDefault(&c.VMs.Address, "127.0.0.1:0")
	setDefault(&c.HistoryRuns, 50_000)
	for i := range c.Workers {
		g := &c.Workers[i]
		setDefault(&g.Host, "127.0.0.1")
		setDefault(&g.Prefix, "worker")
		setDefault(&g.PerRack, 8)
		setDefault(&g.UsageLagMS, 2000)
		if len(g.Domains) == 0 {
			g.Domains = []string{"domain-a"}
		}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// vm returns the entry of worker i of the group, without its address.
func (g *WorkerGroup) vm(i int) api.VM {
	domain := g.Domains[i%len(g.Domains)]
	return api.VM{
		Name:     fmt.Sprintf("%s-%03d", g.Prefix, i),
		Role:     api.RoleWorker,
		Domain:   domain,
		Region:   g.Region,
		Rack:     fmt.Sprintf("%s-rack-%d", domain, i/len(g.Domains)/g.PerRack),
		Capacity: g.Capacity,
	}
}
