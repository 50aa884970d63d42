package peer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"gotest.tools/v3/assert"
)

// fill sets v, recursively, to a non-zero value.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(-7)
	case reflect.Uint64, reflect.Uint8:
		v.SetUint(200)
	case reflect.String:
		v.SetString("text")
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(1))
	case reflect.Map:
		element := reflect.New(v.Type().Elem()).Elem()
		fill(element)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf("key"), element)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	}
}

// samples returns a zero and a filled value of every message type.
func samples() []message.Message {
	var all []message.Message
	for kind := range frameTypes {
		v := reflect.New(kind).Elem()
		all = append(all, v.Interface().(message.Message))
		fill(v)
		all = append(all, v.Interface().(message.Message))
	}
	return all
}

// TestCodecRoundTrip guards against a message type without a frame type and
// against fields that the codec drops.
func TestCodecRoundTrip(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../message/message.go", nil, 0)
	assert.NilError(t, err)
	types := 0
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok && f.Name.Name == "isMessage" {
			types++
		}
	}
	assert.Equal(t, types, len(frameTypes))
	for _, m := range samples() {
		frame, err := encodeMessage(m)
		assert.NilError(t, err)
		got, err := decodeMessage(frame)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m)
	}
}

// TestDecodeMalformed guards against malformed frames that decode as empty
// messages.
func TestDecodeMalformed(t *testing.T) {
	started, err := encodeMessage(message.Started{})
	assert.NilError(t, err)
	for name, frame := range map[string][]byte{
		"empty":          {},
		"no body":        {byte(frameStarted)},
		"unknown number": {255, 0xa0},
		"hello":          {byte(frameHello), 0xa0},
		"null body":      {byte(frameStarted), 0xf6},
		"truncated":      started[:len(started)-1],
		"trailing byte":  append(started[:len(started):len(started)], 0),
		"wrong type":     {byte(frameStarted), 0xa1, 0x01, 0x01},
	} {
		_, err := decodeMessage(frame)
		assert.Assert(t, err != nil, name)
	}
}

// FuzzDecode guards against panics on malformed frames and against messages
// that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		frame, err := encodeMessage(m)
		assert.NilError(f, err)
		f.Add(frame)
	}
	f.Add([]byte{byte(frameStarted), 0xf6})
	f.Fuzz(func(t *testing.T, frame []byte) {
		var h heartbeat
		_ = decodeBody(frame, &h)
		var c chunk
		if decodeBody(frame, &c) == nil {
			_, _ = new(reassembler).add(c)
		}
		m, err := decodeMessage(frame)
		if err != nil {
			return
		}
		_, err = encodeMessage(m)
		assert.NilError(t, err)
	})
}

// split splits data into chunks of size bytes.
func split(id uint64, data []byte, size int) []chunk {
	var chunks []chunk
	for offset := 0; offset < len(data); offset += size {
		chunks = append(chunks, chunk{
			ID: id, Offset: uint64(offset), Total: uint64(len(data)), Checksum: xxhash.Sum64(data),
			Data: data[offset:min(offset+size, len(data))],
		})
	}
	return chunks
}

// TestReassembly guards against mixing the data of messages whose chunks
// interleave.
func TestReassembly(t *testing.T) {
	var r reassembler
	first, second := []byte("first message"), []byte("another one!!")
	a, b := split(1, first, 5), split(2, second, 5)
	for i := range a {
		whole, err := r.add(a[i])
		assert.NilError(t, err)
		assert.Equal(t, whole != nil, i == len(a)-1)
		if whole != nil {
			assert.DeepEqual(t, whole, first)
		}
		whole, err = r.add(b[i])
		assert.NilError(t, err)
		if whole != nil {
			assert.DeepEqual(t, whole, second)
		}
	}
	assert.Equal(t, r.reserved, uint64(0))
	assert.Equal(t, len(r.transfers), 0)
}

// TestReassemblyRefuses guards against accepting chunks that are out of order,
// inconsistent, repeated or over the memory limits.
func TestReassemblyRefuses(t *testing.T) {
	good := split(1, []byte("0123456789"), 4)
	change := func(f func(c *chunk)) chunk {
		c := good[1]
		f(&c)
		return c
	}
	for name, second := range map[string]chunk{
		"duplicate":         good[0],
		"gap":               good[2],
		"empty":             change(func(c *chunk) { c.Data = nil }),
		"too long":          change(func(c *chunk) { c.Data = make([]byte, 7) }),
		"other total":       change(func(c *chunk) { c.Total++ }),
		"other checksum":    change(func(c *chunk) { c.Checksum++ }),
		"begins in between": change(func(c *chunk) { c.ID = 9 }),
		"total too large":   {ID: 9, Total: maxFrameBytes + 1, Data: []byte{1}},
		"budget exceeded":   {ID: 9, Total: maxFrameBytes, Data: []byte{1}},
	} {
		r := reassembler{}
		_, err := r.add(good[0])
		assert.NilError(t, err)
		if name == "budget exceeded" {
			r.reserved = reassemblyBytes - maxFrameBytes + 1
		}
		_, err = r.add(second)
		assert.Assert(t, err != nil, name)
	}
	r := reassembler{}
	wrong := good[0]
	wrong.Total, wrong.Checksum = 4, 1
	_, err := r.add(wrong)
	assert.ErrorContains(t, err, "checksum")
}
