package credential

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a key that opens another workspace, or none, and against one that two workspaces have.
func TestKeyring(t *testing.T) {
	k := NewKeyring()
	assert.Equal(t, k.Add(DigestOf("a1"), "a"), "a")
	assert.Equal(t, k.Add(DigestOf("a2"), "a"), "a")
	assert.Equal(t, k.Add(DigestOf("b1"), "b"), "b")
	assert.Equal(t, k.Add(DigestOf("a2"), "b"), "a")
	assert.Equal(t, k.Len(), 3)
	for key, want := range map[string]string{"a1": "a", "a2": "a", "b1": "b"} {
		got, known := k.Workspace(key)
		assert.Assert(t, known, key)
		assert.Equal(t, got, want, key)
	}
	for _, key := range []string{"", "a", "a3", "A1", "a1 "} {
		_, known := k.Workspace(key)
		assert.Assert(t, !known, key)
	}
	_, known := new(Keyring).Workspace("")
	assert.Assert(t, !known)
}

// Guards against digests with a common beginning that are taken for each other.
func TestKeyringComparesWholeDigests(t *testing.T) {
	first := DigestOf("key")
	second := first
	second[len(second)-1]++
	k := NewKeyring()
	assert.Equal(t, k.Add(second, "other"), "other")
	_, known := k.Workspace("key")
	assert.Assert(t, !known)
	assert.Equal(t, k.Add(first, "own"), "own")
	workspace, _ := k.Workspace("key")
	assert.Equal(t, workspace, "own")
}

// Guards against a digest that changes on its way to another process, and an error that quotes its input.
func TestDigestText(t *testing.T) {
	data, err := json.Marshal(DigestOf("key"))
	assert.NilError(t, err)
	var got Digest
	assert.NilError(t, json.Unmarshal(data, &got))
	assert.Assert(t, got.Equal(DigestOf("key")))
	for _, text := range []string{"", "secret", strings.Repeat("0", 62), strings.Repeat("0", 66), strings.Repeat("z", 64)} {
		_, err := ParseDigest(text)
		assert.Assert(t, err != nil, text)
		assert.Assert(t, text == "" || !strings.Contains(err.Error(), text), "the error quotes its input")
	}
}

// Guards against a header of another scheme that passes for one without a key.
func TestParseBearer(t *testing.T) {
	for _, test := range []struct {
		header, key string
		ok          bool
	}{{"", "", true}, {"Bearer k", "k", true}, {"Bearer ", "", true}, {"bearer k", "", false}, {"Basic k", "", false}, {"k", "", false}} {
		key, ok := ParseBearer(test.header)
		assert.Equal(t, ok, test.ok, test.header)
		if ok {
			assert.Equal(t, key, test.key, test.header)
		}
	}
}
