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

// Config is the settings file of the stand-ins. Times are in milliseconds. Addresses
// are host:port; the kernel chooses the port if it is 0.
type Config struct {
	Admin   string        `json:"admin"`
	Log     LogConfig     `json:"log"`
	VMs     VMsConfig     `json:"vms"`
	Workers []WorkerGroup `json:"workers"`
	// HistoryRuns is the number of runs to keep in the history; 0 means 50,000.
	HistoryRuns int `json:"history_runs,omitempty"`
}

// LogConfig describes the log service.
type LogConfig struct {
	Address          string `json:"address"`
	RetentionMS      int64  `json:"retention_ms,omitempty"`       // 0 means one hour
	AppendsPerSecond int    `json:"appends_per_second,omitempty"` // 0 means 400
}

// VMsConfig describes the VM list. Workers are listed in addition to Entries.
type VMsConfig struct {
	Address string   `json:"address"`
	LagMS   *int64   `json:"lag_ms,omitempty"` // time until a change is listed; nil means 1000
	Entries []api.VM `json:"entries,omitempty"`
}

// WorkerGroup describes workers of equal size, named PREFIX-000, PREFIX-001 and so
// on, each with its own listener.
type WorkerGroup struct {
	Prefix    string   `json:"prefix"`
	Count     int      `json:"count"`
	Host      string   `json:"host"`       // host of the listeners, without a port
	FirstPort int      `json:"first_port"` // of consecutive ports; the kernel chooses each if it is 0
	Region    string   `json:"region"`
	Domains   []string `json:"domains"`  // failure domains, assigned round-robin
	PerRack   int      `json:"per_rack"` // workers of one domain in a rack

	Capacity   api.Resources `json:"capacity"`               // of each worker
	UsageLagMS int64         `json:"usage_lag_ms,omitempty"` // delay of usage reports; 0 means 2000
}

// Load reads the settings file at path. Errors are Invalid faults.
func Load(path string) (Config, error) {
	var config Config
	data, err := os.ReadFile(path)
	if err != nil {
		return config, fault.Wrap(fault.Invalid, err, "the settings cannot be read", "give the path of a readable file")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&config); err != nil {
		return config, fault.Wrap(fault.Invalid, err, "the settings are malformed", "correct the named field")
	}
	return config, nil
}

// setDefaults sets the defaults of omitted fields.
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

// setDefault sets *field to value if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// vm returns the VM list entry of worker i of the group, without its address.
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
