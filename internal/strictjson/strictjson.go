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
	// MaxProblems limits the problems reported for one document, so that a malformed
	// document cannot exhaust memory.
	MaxProblems = 100
	maxDepth    = 16 // of nested objects and lists
	// maxTextBytes limits each part of a message, which may quote the document.
	maxTextBytes = 300
)

// Problems is a list of Invalid faults, one for each problem of a document. Use Err to
// return it as an error.
type Problems []*fault.Error

// Add appends an Invalid fault about the field at path. It drops faults beyond
// MaxProblems.
func (p *Problems) Add(path, problem, remedy string) {
	if len(*p) < MaxProblems {
		*p = append(*p, fault.New(fault.Invalid, singleLine(path)+" "+singleLine(problem), singleLine(remedy)))
	}
}

// singleLine shortens text to maxTextBytes and replaces control characters, so that
// text quoted from a document stays on one line.
func singleLine(text string) string {
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

// Error returns the text of all problems, one line for each.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, e := range p {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults for errors.Is and errors.As.
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

// Read decodes data into target, a pointer to a struct or slice, and returns all
// problems found. It leaves target unchanged if the structure of the document is
// wrong. Field names are case-sensitive, and null is refused.
func Read(data []byte, target any) Problems {
	var problems Problems
	if !utf8.Valid(data) {
		problems.Add("document", "is not valid UTF-8", "save the file as UTF-8")
		return problems
	}
	w := &walker{dec: json.NewDecoder(bytes.NewReader(data)), data: data}
	w.dec.UseNumber()
	err := w.value("", reflect.TypeOf(target).Elem(), 0)
	if err == nil {
		err = w.checkEnd()
	}
	if err != nil {
		w.addSyntaxError(err)
	}
	if len(w.problems) > 0 {
		return w.problems
	}
	if err := json.Unmarshal(data, target); err != nil {
		problems.Add("document", "cannot be read: "+err.Error(), "correct the value")
	}
	return problems
}

// Decode decodes a T from data and calls finish, which fills in defaults and returns
// the problems of the values. Problems of structure and of values are reported
// together; a field with a problem of structure is reported only once.
func Decode[T any](data []byte, finish func(*T) Problems) (T, Problems) {
	var value, none T
	problems := Read(data, &value)
	var wrongType *json.UnmarshalTypeError
	if len(problems) > 0 {
		if err := json.Unmarshal(data, &value); err != nil && !errors.As(err, &wrongType) {
			return none, problems
		}
	}
	reported := map[string]bool{}
	for _, e := range problems {
		reported[firstWord(e.Message)] = true
	}
	for _, e := range finish(&value) {
		if !reported[firstWord(e.Message)] && len(problems) < MaxProblems {
			problems = append(problems, e)
		}
	}
	if len(problems) > 0 {
		return none, problems
	}
	return value, nil
}

func firstWord(message string) string {
	word, _, _ := strings.Cut(message, " ")
	return word
}

// walker checks the tokens of a document against a type and collects the problems. Its
// methods return only errors that end the check, such as JSON syntax errors.
type walker struct {
	dec      *json.Decoder
	data     []byte
	problems Problems
}

var errDepth = errors.New("values are nested too deeply")

// checkEnd reports data after the document.
func (w *walker) checkEnd() error {
	_, err := w.dec.Token()
	if err == io.EOF {
		return nil
	}
	w.problems.Add("document", "has data after its end", "keep one JSON object in the file")
	return nil
}

// addSyntaxError adds err with the number of the line that was being read.
func (w *walker) addSyntaxError(err error) {
	offset := int(min(w.dec.InputOffset(), int64(len(w.data))))
	line := 1 + bytes.Count(w.data[:offset], []byte("\n"))
	w.problems.Add("document", fmt.Sprintf("is not valid JSON near line %d: %v", line, err), "correct the JSON syntax")
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
		w.checkKind(path, t, "a string", reflect.String)
	case bool:
		w.checkKind(path, t, "true or false", reflect.Bool)
	case json.Number:
		w.number(path, t, v.String())
	case nil:
		w.problems.Add(displayPath(path), "is null", "leave the field out or give a value")
	}
	return nil
}

func (w *walker) object(path string, t reflect.Type, depth int) error {
	w.checkKind(path, t, "an object", reflect.Struct, reflect.Map)
	seen := map[string]bool{}
	for w.dec.More() {
		token, err := w.dec.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		at := joinPath(path, key)
		if seen[key] {
			w.problems.Add(at, "appears more than once", "keep one of them")
		}
		seen[key] = true
		if err := w.value(at, w.fieldType(at, t, key), depth+1); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) array(path string, t reflect.Type, depth int) error {
	w.checkKind(path, t, "a list", reflect.Slice)
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

// fieldType returns the type of the value for key in an object of type t. It returns
// nil if the type is not known, and reports an unknown field of a struct.
func (w *walker) fieldType(path string, t reflect.Type, key string) reflect.Type {
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
	w.problems.Add(path, "is not a known field", "use one of "+strings.Join(known, ", "))
	return nil
}

// checkKind reports the value at path, described by got, unless t is nil or its kind
// is one of kinds.
func (w *walker) checkKind(path string, t reflect.Type, got string, kinds ...reflect.Kind) {
	if t == nil {
		return
	}
	for _, k := range kinds {
		if t.Kind() == k {
			return
		}
	}
	w.problems.Add(displayPath(path), "is "+got, "give "+expectedForm(t.Kind()))
}

// number checks that text is a number of type t.
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
		w.checkKind(path, t, "a number")
	}
	if err != nil {
		w.problems.Add(displayPath(path), "is "+text, "give "+expectedForm(t.Kind()))
	}
}

// expectedForm describes the values of kind k for a remedy.
func expectedForm(k reflect.Kind) string {
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

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// displayPath returns path, or a name for the whole document if path is empty.
func displayPath(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
