package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/operator"
)

// fakeLog is a log in memory with faults.
type fakeLog struct {
	records [][]byte
	oldest  int
	appends int
	down    bool   // every request fails
	lost    int    // answers of this many appends are lost after they took effect
	dropped int    // this many appends have no effect and no answer
	before  func() // runs once before the next append takes effect
}

func (l *fakeLog) Read(_ context.Context, from uint64) (page, error) {
	p := page{Next: uint64(len(l.records)), Oldest: uint64(l.oldest)}
	if l.down {
		return p, fault.New(fault.LogDown, "down", "wait")
	}
	for i := max(int(from), l.oldest); i < len(l.records) && len(p.Records) < 2; i++ {
		p.Records = append(p.Records, pageRecord{Offset: uint64(i), Data: l.records[i]})
	}
	return p, nil
}

func (l *fakeLog) Append(_ context.Context, records [][]byte) (uint64, error) {
	l.appends++
	if before := l.before; before != nil {
		l.before = nil
		before()
	}
	if l.down || l.dropped > 0 {
		l.dropped--
		return 0, fault.New(fault.LogDown, "down", "wait")
	}
	l.records = append(l.records, records...)
	if l.lost > 0 {
		l.lost--
		return 0, fault.New(fault.LogDown, "lost", "wait")
	}
	return uint64(len(l.records) - len(records)), nil
}

// desk runs the tool for two operators on one log.
type desk struct {
	t   *testing.T
	dir string
	log *fakeLog
}

func newDesk(t *testing.T) *desk {
	d := &desk{t: t, dir: t.TempDir(), log: &fakeLog{}}
	var operators []string
	for _, name := range []string{"isla", "ruaridh"} {
		code, out := d.run("keygen", "--out", d.path(name+".key"))
		assert.Equal(t, code, exitOK, out)
		operators = append(operators, fmt.Sprintf("%q:%q", name, strings.TrimSpace(out)))
	}
	data, err := os.ReadFile("../../examples/order-desk/settings.json")
	assert.NilError(t, err)
	var s map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(data, &s))
	s["operators"] = json.RawMessage("{" + strings.Join(operators, ",") + "}")
	data, err = json.Marshal(s)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(d.path("settings.json"), data, 0o600))
	return d
}

func (d *desk) path(name string) string { return filepath.Join(d.dir, name) }

func (d *desk) run(args ...string) (int, string) {
	var out bytes.Buffer
	t := &tool{ctx: context.Background(), out: &out, errOut: &out, now: time.Now, pause: time.Millisecond,
		open: func(string) rollLog { return d.log }}
	code := t.run(args)
	return code, out.String()
}

// file writes the example bundle under another version and returns its path.
func (d *desk) file(version int) string {
	data, err := os.ReadFile("../../examples/order-desk/bundle.json")
	assert.NilError(d.t, err)
	text := strings.Replace(string(data), `"version": 1`, `"version": `+strconv.Itoa(version), 1)
	text = strings.Replace(text, `"packing_weight": 0.8`, fmt.Sprintf(`"packing_weight": 0.%d`, version), 1)
	path := d.path(fmt.Sprintf("bundle-%d.json", version))
	assert.NilError(d.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (d *desk) signed(args []string, name string) []string {
	return append(args, "--key", d.path(name+".key"), "--signer", name, "--settings", d.path("settings.json"))
}

func (d *desk) roll(version int, name string, flags ...string) (int, string) {
	args := append([]string{"bundle", "roll", d.file(version)}, flags...)
	return d.run(d.signed(args, name)...)
}

func (d *desk) want(code int, text string) func(int, string) {
	return func(gotCode int, got string) {
		d.t.Helper()
		assert.Equal(d.t, gotCode, code, got)
		assert.Assert(d.t, strings.Contains(got, text), "%q is not in %q", text, got)
	}
}

// TestRoll guards against rolls that append more than what changed, a repeated
// command that rolls twice, a reused version, and a rollback to wrong content.
func TestRoll(t *testing.T) {
	d := newDesk(t)
	d.want(exitOK, "rolled roll=1 version=1")(d.roll(1, "isla"))
	assert.Equal(t, len(d.log.records), 5)
	d.want(exitOK, "already in force roll=1")(d.roll(1, "isla"))
	d.want(exitOK, "rolled roll=2 version=2")(d.roll(2, "ruaridh"))
	assert.Equal(t, len(d.log.records), 7)
	d.want(exitConflict, "roll 2 is in force")(d.roll(3, "isla", "--replaces", "1"))
	d.want(exitOK, "rolled roll=3 version=3")(d.roll(3, "isla", "--replaces", "2"))
	d.want(exitOK, "rolled roll=4 version=1")(d.run(d.signed([]string{"bundle", "rollback", "--to", "1"}, "isla")...))
	d.want(exitOK, `"packing_weight": 0.1`)(d.run("bundle", "show", "--settings", d.path("settings.json")))
	d.want(exitInput, "does not hold version 9")(d.run(d.signed([]string{"bundle", "rollback", "--to", "9"}, "isla")...))
	assert.NilError(t, os.Rename(d.file(2), d.path("old.json")))
	data, err := os.ReadFile(d.path("old.json"))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(d.path("new.json"), bytes.Replace(data, []byte("0.2"), []byte("0.3"), 1), 0o600))
	d.want(exitInput, "rolled before with other content")(d.run(d.signed([]string{"bundle", "roll", d.path("new.json")}, "isla")...))
}

// TestRollFaults guards against a lost answer that is guessed instead of read
// back, a lost race that is reported as rolled, and wrong exit codes.
func TestRollFaults(t *testing.T) {
	d := newDesk(t)
	d.log.lost = 1
	d.want(exitOK, "rolled roll=1")(d.roll(1, "isla"))
	assert.Equal(t, d.log.appends, 1)
	d.log.dropped = 2
	d.want(exitOK, "rolled roll=2")(d.roll(2, "isla"))
	assert.Equal(t, d.log.appends, 4)
	d.log.before = func() { d.want(exitOK, "rolled roll=3 version=4")(d.roll(4, "ruaridh")) }
	d.want(exitConflict, `by "ruaridh" was first`)(d.roll(3, "isla"))
	d.log.before = func() { d.log.down = true }
	d.want(exitLogDown, "it is not known")(d.roll(5, "isla", "--timeout", "50ms"))
	d.want(exitLogDown, "down")(d.roll(5, "isla", "--timeout", "50ms"))
}

// TestRollTruncated guards against a roll on a log that no longer shows which
// roll is in force.
func TestRollTruncated(t *testing.T) {
	d := newDesk(t)
	d.want(exitOK, "rolled roll=1")(d.roll(1, "isla"))
	d.log.oldest = len(d.log.records)
	d.want(exitConflict, "dropped earlier records")(d.roll(2, "isla"))
	d.want(exitOK, "rolled roll=1 version=2")(d.roll(2, "isla", "--replaces", "0"))
}

// TestSign guards against a signed file that cannot be rolled, or that takes
// effect after another roll came first.
func TestSign(t *testing.T) {
	d := newDesk(t)
	d.want(exitOK, "rolled roll=1")(d.roll(1, "isla"))
	d.want(exitOK, "signed roll=2")(d.run(d.signed([]string{"bundle", "sign", d.file(2), "--out", d.path("2.signed")}, "isla")...))
	assert.Equal(t, len(d.log.records), 5)
	rollSigned := []string{"bundle", "roll", d.path("2.signed"), "--settings", d.path("settings.json")}
	d.want(exitOK, "rolled roll=2")(d.run(rollSigned...))
	d.want(exitOK, "already in force")(d.run(rollSigned...))
	d.want(exitOK, "signed roll=3")(d.run(d.signed([]string{"bundle", "sign", d.file(3), "--out", d.path("3.signed")}, "isla")...))
	d.want(exitOK, "rolled roll=3")(d.roll(4, "ruaridh"))
	rollSigned[2] = d.path("3.signed")
	d.want(exitConflict, "was first")(d.run(rollSigned...))
}

// TestWrongInput guards against wrong input with another exit code than 2 or
// without a remedy, and against a key file that is overwritten.
func TestWrongInput(t *testing.T) {
	d := newDesk(t)
	d.want(exitOK, "rolled roll=1")(d.roll(1, "ruaridh"))
	bad := d.path("bad.json")
	assert.NilError(t, os.WriteFile(bad, []byte(`{"version":0}`), 0o600))
	key, log := d.path("isla.key"), "127.0.0.1:1"
	for _, c := range []struct {
		args []string
		text string
	}{
		{nil, "--help"},
		{[]string{"bundle", "roll"}, "expected"},
		{[]string{"bundle", "check", bad}, "version is missing or 0"},
		{[]string{"bundle", "check", d.path("none")}, "readable file"},
		{[]string{"bundle", "roll", d.file(2), "--log", log}, "--key"},
		{[]string{"bundle", "roll", d.file(2), "--key", key, "--signer", "isla"}, "--log"},
		{[]string{"bundle", "roll", d.file(2), "--key", bad, "--signer", "isla", "--log", log}, "no private key"},
		{[]string{"bundle", "roll", d.file(2), "--key", key, "--signer", "isla", "--log", log}, "--settings"},
		{[]string{"bundle", "roll", d.file(2), "--key", key, "--log", log}, "--signer"},
		{[]string{"bundle", "roll", d.file(2), "--key", key, "--signer", "ruaridh", "--settings", d.path("settings.json")}, "not by"},
		{[]string{"bundle", "roll", d.file(2), "--key", key, "--signer", "eve", "--settings", d.path("settings.json")}, "unknown operator"},
		{[]string{"bundle", "show", "--log", log}, "--settings"},
		{[]string{"keygen", "--out", key}, "does not exist"},
	} {
		code, out := d.run(c.args...)
		assert.Equal(t, code, exitInput, "%v: %s", c.args, out)
		assert.Assert(t, strings.Contains(out, c.text), "%v: %s", c.args, out)
	}
	assert.Equal(t, len(d.log.records), 5)
}

// TestStatusAndDump guards against a process that is down and goes unnoticed.
func TestStatusAndDump(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := operator.NewServer(operator.Sources{
		Ready: func() operator.Readiness {
			return operator.Readiness{Entry: "entry-1", Roll: 7, Reasons: []string{"stopping"}}
		},
		Dump:    func(context.Context) (any, error) { return []int{1}, nil },
		Metrics: metrics.NewRegistry(),
	})
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	d, addr := newDesk(t), ln.Addr().String()
	d.want(exitOK, "entry=entry-1 ready=false roll=7")(d.run("status", addr))
	d.want(exitOK, "[\n  1\n]")(d.run("dump", addr))
	assert.NilError(t, server.Shutdown(context.Background()))
	assert.NilError(t, <-done)
	d.want(exitLogDown, "does not answer")(d.run("status", addr))
}

// TestHTTPLog guards against requests that the log service does not understand
// and against answers that are taken for success.
func TestHTTPLog(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	status, body := fasthttp.StatusOK, ""
	var request string
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		request = string(c.Method()) + " " + string(c.RequestURI()) + " " + string(c.PostBody())
		c.SetStatusCode(status)
		c.SetBodyString(body)
	}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	log, ctx := newHTTPLog(ln.Addr().String()), context.Background()
	body = `{"records":[{"offset":5,"time_ms":1,"data":"aGk="}],"next":6,"oldest":3,"retention_ms":9}`
	p, err := log.Read(ctx, 4)
	assert.NilError(t, err)
	assert.Equal(t, request, "GET /v1/streams/rolls/records?from=4&max=64&wait_ms=0 ")
	assert.DeepEqual(t, p, page{Records: []pageRecord{{5, []byte("hi")}}, Next: 6, Oldest: 3})
	body = `{"first":6,"next":8}`
	first, err := log.Append(ctx, [][]byte{[]byte("a"), []byte("b")})
	assert.NilError(t, err)
	assert.Equal(t, first, uint64(6))
	assert.Equal(t, request, `POST /v1/streams/rolls/records {"records":["YQ==","Yg=="]}`)
	for code, kind := range map[int]fault.Kind{503: fault.LogDown, 429: fault.LogDown, 400: fault.Invalid} {
		status = code
		_, err = log.Append(ctx, nil)
		assert.Equal(t, fault.KindOf(err), kind)
	}
	status, body = 200, "hello"
	_, err = log.Read(ctx, 0)
	assert.Equal(t, fault.KindOf(err), fault.LogDown)
	assert.NilError(t, server.Shutdown())
	assert.NilError(t, <-done)
	_, err = log.Read(ctx, 0)
	assert.Equal(t, fault.KindOf(err), fault.LogDown)
}
