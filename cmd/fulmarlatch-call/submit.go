package main

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/caller"
)

// maxFileBytes is the maximum size of a job that is read from a file or standard
// input. It is the default limit of the server.
const maxFileBytes = caller.DefaultMaxBodyBytes

// submitCommand implements the submit command.
type submitCommand struct {
	File string `help:"JSON file with the job, - for standard input; --class and --payload are then refused and the other flags of the job ignored." placeholder:"PATH"`
	Mint bool   `help:"Mint an id first, so that the outcome can be asked for after a lost answer."`
	Key  string `help:"Idempotency key, unique within the workspace."`
	ID   string `help:"Id that was minted before."`

	Class        string        `help:"Class of the job."`
	Kind         string        `help:"request, batch, gang or service." enum:"request,batch,gang,service" default:"request"`
	Idempotent   bool          `help:"The job may be run again after a failure."`
	Tasks        int           `help:"Number of tasks." default:"1"`
	CPUMilli     int64         `name:"cpu-milli" help:"Thousandths of a processor per task."`
	MemoryMB     int64         `name:"memory-mb" help:"Memory per task in MiB."`
	Accelerators int64         `help:"Accelerators per task."`
	Slots        int64         `help:"Slots per task." default:"1"`
	Connections  int64         `help:"Connections per task."`
	RunTime      time.Duration `help:"Declared run time of a task."`
	Deadline     time.Duration `help:"Time within which the job must start; 0 takes the class's."`
	Payload      string        `help:"JSON payload of every task."`
}

// Run submits the job.
func (c *submitCommand) Run(s *session) (api.Answer, error) {
	job, err := c.job(s.stdin)
	if err != nil {
		return api.Answer{}, err
	}
	if job.Workspace == "" {
		job.Workspace = s.workspace
	}
	if err := job.Check(); err != nil {
		return api.Answer{}, err
	}
	if c.Mint {
		if job.ID, err = s.client.Mint(s.ctx); err != nil {
			return api.Refuse("", err), nil // nothing was submitted
		}
	}
	return s.client.Submit(s.ctx, job), nil
}

// job returns the job from the file or the flags, with --id and --key applied.
func (c *submitCommand) job(stdin io.Reader) (api.Job, error) {
	job, err := c.fromFileOrFlags(stdin)
	if err != nil {
		return api.Job{}, err
	}
	if c.ID != "" {
		job.ID = c.ID
	}
	if c.Key != "" {
		job.Key = c.Key
	}
	if c.Mint && job.ID != "" {
		return api.Job{}, invalid("the job has an ID already", "leave out --mint or the id")
	}
	return job, nil
}

// fromFileOrFlags returns the job from --file if it is set, or from the flags that
// describe a job.
func (c *submitCommand) fromFileOrFlags(stdin io.Reader) (api.Job, error) {
	if c.File == "" {
		return c.fromFlags()
	}
	if c.Class != "" || c.Payload != "" {
		return api.Job{}, invalid("--file comes with flags that describe the job", "put class and payload into the file")
	}
	data, err := readFile(c.File, stdin)
	if err != nil {
		return api.Job{}, err
	}
	return caller.DecodeJob(data)
}

// fromFlags returns the job that the flags describe.
func (c *submitCommand) fromFlags() (api.Job, error) {
	if c.Payload != "" && !json.Valid([]byte(c.Payload)) {
		return api.Job{}, invalid("the payload is not JSON", "quote text as a JSON string")
	}
	return api.Job{
		Class:      c.Class,
		Kind:       api.Kind(c.Kind),
		Idempotent: c.Idempotent,
		Tasks:      c.Tasks,
		Resources: api.Resources{
			CPUMilli:     c.CPUMilli,
			MemoryMB:     c.MemoryMB,
			Accelerators: c.Accelerators,
			Slots:        c.Slots,
			Connections:  c.Connections,
		},
		RunTimeMS:  c.RunTime.Milliseconds(),
		DeadlineMS: c.Deadline.Milliseconds(),
		Payload:    json.RawMessage(c.Payload),
	}, nil
}

// readFile reads the file at path, or stdin if path is "-".
func readFile(path string, stdin io.Reader) ([]byte, error) {
	if path == "-" {
		return readLimited(stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readLimited(file)
}

// readLimited reads r to its end. It returns an Invalid fault if r is longer than
// maxFileBytes.
func readLimited(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		return nil, invalid("the job is too large", "shorten the payload")
	}
	return data, err
}
