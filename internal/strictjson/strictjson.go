package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

const (
	// MaxProblems bounds the problems kept of one document, so that a
	// malformed document cannot grow memory.
	MaxProblems = 100
	maxDepth    = 16
	// maxTextBytes bounds each part of a message, which may quote the document.
	maxTextBytes = 300
)

// Problems is a list of faults, one line each. A nil list is no error.
type Problems []*fault.Error

// Add appends an Invalid fault about the field at path. Faults past
// MaxProblems are dropped.
func (p *Problems) Add(path, problem, remedy string) {
	if len(*p) < MaxProblems {
		*p = append(*p, fault.New(fault.Invalid, line(path)+" "+line(problem), line(remedy)))
	}
}

// line makes text from the document fit one line of bounded length.
func line(text string) string {
	if len(text) > maxTextBytes {
		text = strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return '?'
		}
		return r
	}, text)
}

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, e := range p {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.As finds the first one.
func (p Problems) Unwrap() []error {
	list := make([]error, len(p))
	for i, e := range p {
		list[i] = e
	}
	return list
}

// Err returns p as an error, or nil if there are no problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Read decodes data into target, a pointer to a struct or slice of plain
// fields, and returns every problem found. The target is unchanged if there are
// problems. Field names match exactly, and null is refused.
func Read(data []byte, target any) Problems {
	var found Problems
	if !utf8.Valid(data) {
		found.Add("document", "is not valid UTF-8", "save the file as UTF-8")
		return found
	}
	w := &walker{dec: json.NewDecoder(bytes.NewReader(data)), data: data}
	w.dec.UseNumber()
	err := w.value("", reflect.TypeOf(target).Elem(), 0)
	if err == nil {
		err = w.end()
	}
	if err != nil {
		w.syntax(err)
	}
	if len(w.found) > 0 {
		return w.found
	}
	if err := json.Unmarshal(data, target); err != nil {
		found.Add("document", "cannot be read: "+err.Error(), "correct the value")
	}
	return found
}

// Decode reads a T from data and applies finish, which fills in defaults and
// returns the problems of the values. Problems of structure and of values are
// reported together; a field with a problem of structure is reported once.
func Decode[T any](data []byte, finish func(*T) Problems) (T, Problems) {
	var value, none T
	found := Read(data, &value)
	var wrongType *json.UnmarshalTypeError
	if len(found) > 0 {
		if err := json.Unmarshal(data, &value); err != nil && !errors.As(err, &wrongType) {
			return none, found
		}
	}
	named := map[string]bool{}
	for _, e := range found {
		named[firstWord(e.Message)] = true
	}
	for _, e := range finish(&value) {
		if !named[firstWord(e.Message)] && len(found) < MaxProblems {
			found = append(found, e)
		}
	}
	if len(found) > 0 {
		return none, found
	}
	return value, nil
}

func firstWord(message string) string {
	word, _, _ := strings.Cut(message, " ")
	return word
}

type walker struct {
	dec   *json.Decoder
	data  []byte
	found Problems
}

var errDepth = errors.New("values are nested too deeply")

func (w *walker) end() error {
	_, err := w.dec.Token()
	if err == io.EOF {
		return nil
	}
	w.found.Add("document", "has data after its end", "keep one JSON object in the file")
	return nil
}

func (w *walker) syntax(err error) {
	offset := int(min(w.dec.InputOffset(), int64(len(w.data))))
	line := 1 + bytes.Count(w.data[:offset], []byte("\n"))
	w.found.Add("document", fmt.Sprintf("is not valid JSON near line %d: %v", line, err), "correct the JSON syntax")
}

// value checks the next value against t; a nil t accepts any type.
func (w *walker) value(path string, t reflect.Type, depth int) error {
	if depth > maxDepth {
		return errDepth
	}
	token, err := w.dec.Token()
	if err != nil {
		return err
	}
	switch v := token.(type) {
	case json.Delim:
		if v == '{' {
			return w.object(path, t, depth)
		}
		return w.array(path, t, depth)
	case string:
		w.expect(path, t, "a string", reflect.String)
	case bool:
		w.expect(path, t, "true or false", reflect.Bool)
	case json.Number:
		w.number(path, t, v.String())
	case nil:
		w.found.Add(name(path), "is null", "leave the field out or give a value")
	}
	return nil
}

func (w *walker) object(path string, t reflect.Type, depth int) error {
	w.expect(path, t, "an object", reflect.Struct, reflect.Map)
	seen := map[string]bool{}
	for w.dec.More() {
		token, err := w.dec.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		at := join(path, key)
		if seen[key] {
			w.found.Add(at, "appears more than once", "keep one of them")
		}
		seen[key] = true
		if err := w.value(at, w.field(at, t, key), depth+1); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) array(path string, t reflect.Type, depth int) error {
	w.expect(path, t, "a list", reflect.Slice)
	var elem reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		elem = t.Elem()
	}
	for i := 0; w.dec.More(); i++ {
		if err := w.value(path+"["+strconv.Itoa(i)+"]", elem, depth+1); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

// field returns the type of the value under key, or nil if it is unknown.
func (w *walker) field(path string, t reflect.Type, key string) reflect.Type {
	if t == nil || (t.Kind() != reflect.Struct && t.Kind() != reflect.Map) {
		return nil
	}
	if t.Kind() == reflect.Map {
		return t.Elem()
	}
	var known []string
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == key && tag != "-" {
			return indirect(t.Field(i).Type)
		}
		known = append(known, tag)
	}
	w.found.Add(path, "is not a known field", "use one of "+strings.Join(known, ", "))
	return nil
}

func (w *walker) expect(path string, t reflect.Type, got string, kinds ...reflect.Kind) {
	if t == nil {
		return
	}
	for _, k := range kinds {
		if t.Kind() == k {
			return
		}
	}
	w.found.Add(name(path), "is "+got, "give "+wanted(t.Kind()))
}

func (w *walker) number(path string, t reflect.Type, text string) {
	if t == nil {
		return
	}
	var err error
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		_, err = strconv.ParseInt(text, 10, 64)
	case reflect.Uint64:
		_, err = strconv.ParseUint(text, 10, 64)
	case reflect.Float64:
		_, err = strconv.ParseFloat(text, 64)
	default:
		w.expect(path, t, "a number")
	}
	if err != nil {
		w.found.Add(name(path), "is "+text, "give "+wanted(t.Kind()))
	}
}

func wanted(k reflect.Kind) string {
	switch k {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint64:
		return "a whole number, 0 or more"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}

func indirect(t reflect.Type) reflect.Type {
	if t.Kind() == reflect.Pointer {
		return t.Elem()
	}
	return t
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func name(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
