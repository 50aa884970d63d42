package bundle

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

const (
	goodClass     = `{"name":"quick","rank":0,"floor":0.2,"ceiling":0.8,"queue_bound":10,"deadline_ms":0,"retry_budget":0.1,"max_attempts":2,"preemptible":false}`
	goodWorkspace = `{"name":"growers","weight":1,"quota":{"slots":5}}`
	goodBundle    = `{"version":1,"classes":[` + goodClass + `],"workspaces":[` + goodWorkspace + `],"fleet":{"packing_weight":0.5},"timing":{}}`
)

func bundleWith(old, new string) string { return strings.Replace(goodBundle, old, new, 1) }

// TestParseRejects guards against an invalid bundle that passes the checks or is
// reported without the path of the field and a remedy.
func TestParseRejects(t *testing.T) {
	timing := func(fields string) string { return bundleWith(`"timing":{}`, `"timing":{`+fields+`}`) }
	many := func(n int, format string) string {
		list := make([]string, n)
		for i := range list {
			list[i] = fmt.Sprintf(format, i)
		}
		return strings.Join(list, ",")
	}
	for _, c := range []struct{ name, data, path string }{
		{"empty file", ``, "document"},
		{"syntax", `{"version":`, "document"},
		{"not UTF-8", "{\"version\":1,\"comment\":\"\xff\"}", "document"},
		{"data after end", goodBundle + `{}`, "document"},
		{"list", `[]`, "document"},
		{"null", bundleWith(`"workspaces":[`+goodWorkspace+`]`, `"workspaces":null`), "workspaces"},
		{"deep nesting", bundleWith(`"version":1`, `"version":`+strings.Repeat("[", 50)), "document"},
		{"unknown field", bundleWith(`"fleet":{`, `"fleet":{"speed":1,`), "fleet.speed"},
		{"unknown field by case", bundleWith(`"version"`, `"Version"`), "Version"},
		{"duplicate key", bundleWith(`"version":1`, `"version":1,"version":2`), "version"},
		{"duplicate nested key", bundleWith(`"weight":1`, `"weight":1,"weight":2`), "workspaces[0].weight"},
		{"wrong type", bundleWith(`"rank":0`, `"rank":"0"`), "classes[0].rank"},
		{"fraction", bundleWith(`"queue_bound":10`, `"queue_bound":1.5`), "classes[0].queue_bound"},
		{"missing version", bundleWith(`"version":1,`, ``), "version"},
		{"negative version", bundleWith(`"version":1`, `"version":-1`), "version"},
		{"long comment", bundleWith(`"version":1`, `"version":1,"comment":"`+strings.Repeat("x", MaxCommentBytes+1)+`"`), "comment"},
		{"no classes", bundleWith(goodClass, ``), "classes"},
		{"duplicate class", bundleWith(goodClass, goodClass+`,`+goodClass), "classes[1].name"},
		{"class name", bundleWith(`"name":"quick"`, `"name":"Quick work"`), "classes[0].name"},
		{"rank", bundleWith(`"rank":0`, `"rank":-1`), "classes[0].rank"},
		{"floor", bundleWith(`"floor":0.2`, `"floor":-0.1`), "classes[0].floor"},
		{"floor above ceiling", bundleWith(`"floor":0.2`, `"floor":0.9`), "classes[0].floor"},
		{"floors above 1", bundleWith(goodClass, strings.ReplaceAll(goodClass, "0.2", "0.6")+`,`+strings.ReplaceAll(strings.ReplaceAll(goodClass, "0.2", "0.6"), "quick", "slow")), "classes"},
		{"ceiling", bundleWith(`"ceiling":0.8`, `"ceiling":1.1`), "classes[0].ceiling"},
		{"missing ceiling", bundleWith(`"ceiling":0.8,`, ``), "classes[0].ceiling"},
		{"queue bound", bundleWith(`"queue_bound":10`, `"queue_bound":0`), "classes[0].queue_bound"},
		{"deadline", bundleWith(`"deadline_ms":0`, `"deadline_ms":-5`), "classes[0].deadline_ms"},
		{"retry budget", bundleWith(`"retry_budget":0.1`, `"retry_budget":2`), "classes[0].retry_budget"},
		{"attempts", bundleWith(`"max_attempts":2`, `"max_attempts":0`), "classes[0].max_attempts"},
		{"kind", bundleWith(`"max_attempts":2`, `"max_attempts":2,"kinds":["cron"]`), "classes[0].kinds[0]"},
		{"duplicate kind", bundleWith(`"max_attempts":2`, `"max_attempts":2,"kinds":["batch","batch"]`), "classes[0].kinds[1]"},
		{"duplicate workspace", bundleWith(goodWorkspace, goodWorkspace+`,`+goodWorkspace), "workspaces[1].name"},
		{"workspace name", bundleWith(`"growers"`, `""`), "workspaces[0].name"},
		{"weight", bundleWith(`"weight":1`, `"weight":0`), "workspaces[0].weight"},
		{"quota", bundleWith(`"slots":5`, `"slots":-5`), "workspaces[0].quota.slots"},
		{"token hash", bundleWith(`"weight":1`, `"weight":1,"token_hash":"abc"`), "workspaces[0].token_hash"},
		{"shared token", bundleWith(goodWorkspace, many(2, `{"name":"t%d","weight":1,"quota":{},"token_hash":"`+strings.Repeat("ab", 32)+`"}`)), "workspaces[1].token_hash"},
		{"too many classes", bundleWith(goodClass, many(MaxClasses+1, `{"name":"c%d","rank":0,"floor":0,"ceiling":1,"queue_bound":1,"deadline_ms":0,"retry_budget":0,"max_attempts":1,"preemptible":false}`)), "classes"},
		{"too many workspaces", bundleWith(goodWorkspace, many(MaxWorkspaces+1, `{"name":"t%d","weight":1,"quota":{}}`)), "workspaces"},
		{"packing weight", bundleWith(`0.5`, `1.5`), "fleet.packing_weight"},
		{"duplicate drain", bundleWith(`0.5`, `0.5,"drain":["w","w"]`), "fleet.drain[1]"},
		{"empty drain", bundleWith(`0.5`, `0.5,"drain":[""]`), "fleet.drain[0]"},
		{"negative interval", timing(`"heartbeat_ms":-1`), "timing.heartbeat_ms"},
		{"long interval", timing(`"orphan_grace_ms":99999999999`), "timing.orphan_grace_ms"},
		{"worker lease", timing(`"worker_lease_ms":2000`), "timing.worker_lease_ms"},
		{"task lease", timing(`"task_lease_ms":9000`), "timing.task_lease_ms"},
		{"peer down", timing(`"peer_down_ms":1000`), "timing.peer_down_ms"},
		{"reservation", timing(`"reservation_ttl_ms":300`), "timing.reservation_ttl_ms"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.data))
			assert.Assert(t, err != nil)
			found := false
			for _, e := range problems(t, err) {
				found = found || strings.HasPrefix(e.Message, c.path+" ")
				assert.Equal(t, e.Kind, fault.Invalid)
				assert.Assert(t, e.Remedy != "" && !strings.Contains(e.Error(), "\n"))
			}
			assert.Assert(t, found, "no problem at %s in: %v", c.path, err)
		})
	}
}

// problems returns the errors that err holds.
func problems(t *testing.T, err error) []*fault.Error {
	t.Helper()
	var list interface{ Unwrap() []error }
	assert.Assert(t, errors.As(err, &list))
	var out []*fault.Error
	for _, err := range list.Unwrap() {
		out = append(out, fault.As(err))
	}
	return out
}

// TestParseReportsAll guards against a parser that stops at the first problem or
// reports a problem twice.
func TestParseReportsAll(t *testing.T) {
	data := strings.NewReplacer(`"version":1`, `"verson":1`, `"rank":0`, `"rank":"a"`, `"weight":1`, `"weight":-1`).Replace(goodBundle)
	_, err := Parse([]byte(data))
	var messages []string
	for _, e := range problems(t, err) {
		word, _, _ := strings.Cut(e.Message, " ")
		messages = append(messages, word)
	}
	assert.DeepEqual(t, messages, []string{"verson", "classes[0].rank", "version", "workspaces[0].weight"})
}

// TestParseCanonical guards against files with equal content and different sections: a
// roll would then append sections that have not changed.
func TestParseCanonical(t *testing.T) {
	second := strings.Replace(goodWorkspace, "growers", "depots", 1)
	a, err := Parse([]byte(bundleWith(goodWorkspace, goodWorkspace+`,`+second)))
	assert.NilError(t, err)
	b, err := Parse([]byte(bundleWith(goodWorkspace, second+` , `+goodWorkspace)))
	assert.NilError(t, err)
	x, err := Canonical(a)
	assert.NilError(t, err)
	y, err := Canonical(b)
	assert.NilError(t, err)
	assert.Equal(t, string(x), string(y))
	assert.Equal(t, a.Timing, DefaultTiming())
	again, err := Parse(x)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, a)
}

// TestExamples guards against example bundles that fail the checks.
func TestExamples(t *testing.T) {
	for _, name := range []string{"order-desk", "enquiry-desk"} {
		data, err := os.ReadFile("../../examples/" + name + "/bundle.json")
		assert.NilError(t, err)
		_, err = Parse(data)
		assert.NilError(t, err)
	}
}

// TestHashText guards against a hash whose text form cannot be parsed.
func TestHashText(t *testing.T) {
	want := HashOf([]byte("x"))
	text, err := want.MarshalText()
	assert.NilError(t, err)
	var got Hash
	assert.NilError(t, got.UnmarshalText(text))
	assert.Equal(t, got, want)
	assert.ErrorContains(t, got.UnmarshalText(text[1:]), "hexadecimal digits")
}

// TestFormerNameOfWorkspaces guards against an error that calls the former name of
// "workspaces" an unknown field instead of saying how to migrate an older bundle.
func TestFormerNameOfWorkspaces(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(goodBundle, `"workspaces"`, `"teams"`, 1)))
	assert.ErrorContains(t, err, `rename the key to "workspaces"`)
}
