package main

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/settings"
	"github.com/fulmarlatch/fulmarlatch/internal/strictjson"
)

// checkCmd implements the bundle check command.
type checkCmd struct {
	File string `arg:"" help:"Bundle file (JSON)."`
}

// Run checks the file and returns every problem in it.
func (c *checkCmd) Run(t *tool) error {
	b, err := readBundle(c.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "ok version=%d classes=%d workspaces=%d\n", b.Version, len(b.Classes), len(b.Workspaces))
	return nil
}

// readBundle reads and checks a bundle file.
func readBundle(path string) (bundle.Bundle, error) {
	data, err := readInput(path)
	if err != nil {
		return bundle.Bundle{}, err
	}
	return bundle.Parse(data)
}

// logFlags select the log and the public keys of the operators.
type logFlags struct {
	Log      string `help:"IP:port of the log service; by default the one in the settings." placeholder:"ADDR"`
	Settings string `env:"FULMARLATCH_SETTINGS" help:"Settings of any entry process, for the operators' public keys." placeholder:"FILE"`
}

// connect opens the log and reads it to its end. Without --settings only rolls
// signed with key can be verified, so a roll by another signer is an error.
func (f *logFlags) connect(t *tool, signer string, key ed25519.PrivateKey) (*history, error) {
	keys := bundle.Keys{}
	if f.Settings != "" {
		// Parse does not read the TLS files, which exist only on the entry VMs.
		data, err := readInput(f.Settings)
		if err != nil {
			return nil, err
		}
		s, err := settings.Parse(data)
		if err != nil {
			return nil, err
		}
		keys = s.OperatorKeys()
		if f.Log == "" {
			f.Log = s.Log
		}
	} else if key != nil {
		keys[signer] = key.Public().(ed25519.PublicKey)
	}
	if f.Log == "" || len(keys) == 0 {
		return nil, fault.New(fault.Invalid, "the address of the log or the operators' keys are missing", "pass --log and --settings")
	}
	h := newHistory(t.open(f.Log), keys, t.retryDelay)
	if err := h.catchUp(t.ctx); err != nil {
		return nil, err
	}
	if f.Settings == "" && h.unknownSigner != nil {
		return nil, fault.Wrap(fault.Unauthorized, h.unknownSigner, "the log holds a roll that your key alone cannot verify",
			"pass --settings with the public keys of all operators")
	}
	return h, nil
}

// signFlags select the signing key and the roll to replace.
type signFlags struct {
	Key      string  `required:"" help:"Private key made by keygen." placeholder:"FILE"`
	Signer   string  `required:"" help:"Your name in the settings of the entry processes." placeholder:"NAME"`
	Replaces *uint64 `help:"Number of the roll to replace; the command stops if another one is in force." placeholder:"NUMBER"`
}

// prepare signs b as the next roll. It reports false, with the roll in force, if b
// is in force already.
func (f *signFlags) prepare(t *tool, h *history, key ed25519.PrivateKey, b bundle.Bundle) (bundle.Signed, bool, error) {
	info, now, found := h.chain.InForce()
	if found && info.Version == b.Version && sameContent(now, b) {
		return bundle.Signed{Number: info.Number, ID: info.ID}, false, nil
	}
	if err := errors.Join(h.checkVersion(b), h.checkInForce(f.Replaces)); err != nil {
		return bundle.Signed{}, false, err
	}
	s, err := h.chain.Sign(b, f.Signer, key, t.now())
	return s, true, err
}

// report prints the result of a command for one roll.
func (t *tool) report(result string, s bundle.Signed, version uint64) {
	fmt.Fprintf(t.out, "%s roll=%d version=%d id=%s\n", result, s.Number, version, s.ID)
}

// signedFile is the file form of a signed roll that is not yet in the log.
type signedFile struct {
	Number  uint64   `json:"number"`
	Version uint64   `json:"version"`
	Records []string `json:"records"` // base64
}

// signCmd implements the bundle sign command.
type signCmd struct {
	logFlags
	signFlags
	File string `arg:"" help:"Bundle file (JSON)."`
	Out  string `required:"" help:"File for the signed roll. It must not exist." placeholder:"FILE"`
}

// Run signs the bundle as the next roll and writes it to a file.
func (c *signCmd) Run(t *tool) error {
	b, err := readBundle(c.File)
	if err != nil {
		return err
	}
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	h, err := c.connect(t, c.Signer, key)
	if err != nil {
		return err
	}
	s, changed, err := c.prepare(t, h, key, b)
	if err != nil || !changed {
		return t.reportInForce(err, s, b.Version)
	}
	if err := writeNew(c.Out, encodeSigned(s, b.Version)); err != nil {
		return err
	}
	t.report("signed", s, b.Version)
	return nil
}

// reportInForce returns err, or reports that the bundle is in force already if err
// is nil.
func (t *tool) reportInForce(err error, s bundle.Signed, version uint64) error {
	if err == nil {
		t.report("already in force", s, version)
	}
	return err
}

// rollCmd implements the bundle roll command.
type rollCmd struct {
	logFlags
	File     string  `arg:"" help:"Bundle file, or a file that bundle sign wrote."`
	Key      string  `help:"Private key made by keygen; not for a signed file." placeholder:"FILE"`
	Signer   string  `help:"Your name in the settings; not for a signed file." placeholder:"NAME"`
	Replaces *uint64 `help:"Number of the roll to replace; the command stops if another one is in force." placeholder:"NUMBER"`
}

// Run puts a bundle, or a roll from a signed file, in force.
func (c *rollCmd) Run(t *tool) error {
	data, err := readInput(c.File)
	if err != nil {
		return err
	}
	if s, version, err := decodeSigned(data); err == nil {
		return c.rollSigned(t, s, version)
	}
	b, err := bundle.Parse(data)
	if err != nil {
		return err
	}
	if c.Key == "" || c.Signer == "" {
		return fault.New(fault.Invalid, "the key or the signer's name is missing", "pass --key and --signer")
	}
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	h, err := c.connect(t, c.Signer, key)
	if err != nil {
		return err
	}
	return t.rollBundle(h, &signFlags{c.Key, c.Signer, c.Replaces}, key, b)
}

// rollBundle signs b and appends it to the log as the next roll.
func (t *tool) rollBundle(h *history, f *signFlags, key ed25519.PrivateKey, b bundle.Bundle) error {
	s, changed, err := f.prepare(t, h, key, b)
	if err != nil || !changed {
		return t.reportInForce(err, s, b.Version)
	}
	return t.appendAndReport(h, s, b.Version)
}

// appendAndReport appends a signed roll to the log and reports the result.
func (t *tool) appendAndReport(h *history, s bundle.Signed, version uint64) error {
	if err := h.roll(t.ctx, s); err != nil {
		return err
	}
	t.report("rolled", s, version)
	if !h.chain.Settled() {
		fmt.Fprintln(t.errOut, "the log has dropped earlier records; check with status that every entry process has this roll")
	}
	return nil
}

// rollSigned appends a roll that was read from a signed file.
func (c *rollCmd) rollSigned(t *tool, s bundle.Signed, version uint64) error {
	h, err := c.connect(t, "", nil)
	if err != nil {
		return err
	}
	if err := verifySigned(s, h.keys); err != nil {
		return err
	}
	if done, err := h.outcome(s); done {
		return t.reportInForce(err, s, version)
	}
	if err := h.checkInForce(c.Replaces); err != nil {
		return err
	}
	return t.appendAndReport(h, s, version)
}

// encodeSigned returns the file form of a signed roll. The result decodes as a
// signedFile.
func encodeSigned(s bundle.Signed, version uint64) []byte {
	data, err := json.MarshalIndent(map[string]any{"number": s.Number, "version": version, "records": s.Records}, "", "  ")
	if err != nil {
		panic(err) // numbers and bytes can always be encoded
	}
	return append(data, '\n')
}

// decodeSigned decodes a file written by bundle sign. It does not verify the
// signature: verifySigned does so before the append, and the chain when the
// records are read back from the log.
func decodeSigned(data []byte) (bundle.Signed, uint64, error) {
	var f signedFile
	if p := strictjson.Read(data, &f); len(p) > 0 {
		return bundle.Signed{}, 0, p
	}
	return f.decode()
}
