package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/operator"
)

// rollbackCmd implements the bundle rollback command.
type rollbackCmd struct {
	logFlags
	signFlags
	To uint64 `required:"" help:"Version to put in force again." placeholder:"VERSION"`
}

// Run rolls the content of an earlier version again, under a new roll number.
func (c *rollbackCmd) Run(t *tool) error {
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	h, err := c.connect(t, c.Signer, key)
	if err != nil {
		return err
	}
	b, known := h.bundles[c.To]
	if !known {
		return fault.New(fault.NotFound, fmt.Sprintf("the log does not hold version %d", c.To), "pass the file of that version to bundle roll")
	}
	return t.rollBundle(h, &c.signFlags, key, b)
}

// showCmd implements the bundle show command.
type showCmd struct {
	logFlags
}

// Run prints the roll and the bundle in force as JSON.
func (c *showCmd) Run(t *tool) error {
	h, err := c.connect(t, "", nil)
	if err != nil {
		return err
	}
	info, b, found := h.chain.InForce()
	if !found {
		return fault.New(fault.NotFound, "the log holds no roll", "roll a bundle with bundle roll")
	}
	canonical, err := bundle.Canonical(b)
	if err != nil {
		return err
	}
	return t.printJSON(struct {
		Roll    bundle.Info     `json:"roll"`
		Settled bool            `json:"settled"` // false if the log has dropped records and holds no checkpoint
		Bundle  json.RawMessage `json:"bundle"`
	}{info, h.chain.Settled(), canonical})
}

func (t *tool) printJSON(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(t.out, string(data))
	return err
}

// statusCmd implements the status command.
type statusCmd struct {
	Addr []string `arg:"" help:"IP:port of operator listeners."`
}

// Run prints one line for each entry process. It returns an Unavailable error for
// each that does not answer.
func (c *statusCmd) Run(t *tool) error {
	var failed error
	for _, addr := range c.Addr {
		r, err := operator.NewClient(addr, nil).Ready(t.ctx)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		fmt.Fprintf(t.out, "addr=%s entry=%s ready=%t roll=%d version=%d reasons=%q\n",
			addr, r.Entry, r.Ready, r.Roll, r.Version, strings.Join(r.Reasons, "; "))
	}
	return failed
}

// dumpCmd implements the dump command.
type dumpCmd struct {
	Addr string `arg:"" help:"IP:port of an operator listener."`
}

// Run prints the state of the process as JSON.
func (c *dumpCmd) Run(t *tool) error {
	data, err := operator.NewClient(c.Addr, nil).Dump(t.ctx)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := json.Indent(&text, data, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(t.out, text.String())
	return err
}
