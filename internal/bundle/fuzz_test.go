package bundle

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// FuzzParse guards against a panic of the parser and against an accepted bundle whose
// canonical form is refused.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodBundle))
	f.Add([]byte(`{"version":1,"version":2,"classes":[{}],"workspaces":[null],"x":{"y":[]}}`))
	for _, name := range []string{"order-desk", "enquiry-desk"} {
		data, err := os.ReadFile("../../examples/" + name + "/bundle.json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse(data)
		if err != nil {
			assert.Equal(t, fault.KindOf(err), fault.Invalid)
			return
		}
		canonical, err := Canonical(b)
		assert.NilError(t, err)
		again, err := Parse(canonical)
		assert.NilError(t, err)
		twice, err := Canonical(again)
		assert.NilError(t, err)
		assert.Equal(t, string(canonical), string(twice))
	})
}

// FuzzApply guards against a record that causes a panic or changes the bundle in force
// of a chain that has read the whole log.
func FuzzApply(f *testing.F) {
	b := version(1)
	first, err := NewChain(publicKeys).Sign(b, "isla", privateKeys["isla"], signedAt)
	if err != nil {
		f.Fatal(err)
	}
	s := stream{records: first.Records}
	base := s.newReader()
	for _, data := range append(base.Records(), append(base.Refresh(), s.records...)...) {
		f.Add(data, uint64(5))
		f.Add(data[:len(data)/2], uint64(9))
	}
	f.Fuzz(func(t *testing.T, data []byte, offset uint64) {
		for _, c := range []*Chain{s.newReader(), NewChain(publicKeys)} {
			before := inForce(c)
			_, err := c.Apply(offset, data)
			if err != nil {
				assert.Assert(t, fault.As(err).Remedy != "")
			}
			assert.Equal(t, inForce(c), before) // no fuzzed record completes a bundle
		}
	})
}
