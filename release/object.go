package release

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	maxNameLength = 128
	maxListLength = 20000
	maxDuration   = 24 * time.Hour
)

// errorRecorder keeps the first error of a document, with the path of the field.
type errorRecorder struct {
	err error
}

// fail records an error unless one is recorded already.
func (r *errorRecorder) fail(path, format string, arguments ...any) {
	if r.err != nil {
		return
	}
	r.err = FieldError(path, format, arguments...)
}

// FieldError returns an error about the field at path. It matches winch.ErrInvalid.
func FieldError(path, format string, arguments ...any) error {
	return fmt.Errorf("%s: %s: %w", path, fmt.Sprintf(format, arguments...), winch.ErrInvalid)
}

// object is a JSON object of a document. Its methods decode single fields and
// report errors to the recorder.
type object struct {
	recorder *errorRecorder
	// path is the path of the object within the document, empty for the document itself.
	path   string
	fields map[string]json.RawMessage
	// consumed holds the fields that were decoded; rejectUnknownFields reports the others.
	consumed map[string]bool
}

// parseObject parses a JSON object. After an error it returns the fields that were
// parsed before it. Callers need not check for that, since the recorder keeps the
// first error.
func (r *errorRecorder) parseObject(path string, raw json.RawMessage) *object {
	o := &object{recorder: r, path: path, fields: map[string]json.RawMessage{}, consumed: map[string]bool{}}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	token, err := decoder.Token()
	if err != nil || token != json.Delim('{') {
		r.fail(o.displayPath(), "must be an object")
		return o
	}
	for decoder.More() {
		if !o.parseField(decoder) {
			return o
		}
	}
	// More also reports false where the input ends early.
	if token, err := decoder.Token(); err != nil || token != json.Delim('}') {
		r.fail(o.displayPath(), "is not complete")
	} else if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		r.fail(o.displayPath(), "is followed by other text")
	}
	return o
}

func (o *object) parseField(decoder *json.Decoder) bool {
	token, err := decoder.Token()
	name, isString := token.(string)
	if err != nil || !isString {
		o.recorder.fail(o.displayPath(), "is not well formed")
		return false
	}
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		o.recorder.fail(o.fieldPath(name), "is not well formed")
		return false
	}
	if _, repeated := o.fields[name]; repeated {
		o.recorder.fail(o.fieldPath(name), "stands twice")
		return false
	}
	o.fields[name] = value
	return true
}

func (o *object) displayPath() string {
	if o.path == "" {
		return "document"
	}
	return o.path
}

func (o *object) fieldPath(field string) string {
	if o.path == "" {
		return field
	}
	return o.path + "." + field
}

// rawField returns the undecoded field. It treats null as absent.
func (o *object) rawField(field string) (json.RawMessage, bool) {
	o.consumed[field] = true
	raw, found := o.fields[field]
	return raw, found && string(raw) != "null"
}

// rejectUnknownFields reports an error if the object has fields that were not decoded.
func (o *object) rejectUnknownFields() {
	names := []string{}
	for name := range o.fields {
		if !o.consumed[name] {
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		o.recorder.fail(o.fieldPath(slices.Min(names)), "is not a known field")
	}
}

// decodeField decodes a field into out. It returns false if the field is absent, null
// or not what is expected, which is the end of the error message.
func (o *object) decodeField(field, expected string, out any) bool {
	raw, found := o.rawField(field)
	if !found {
		return false
	}
	if err := json.Unmarshal(raw, out); err != nil {
		o.recorder.fail(o.fieldPath(field), "must be %s", expected)
		return false
	}
	return true
}

// optionalName decodes a name that checkName allows. It returns an empty string if the
// field is absent.
func (o *object) optionalName(field string) string {
	value := ""
	o.decodeField(field, "a string", &value)
	if err := checkName(value); err != nil {
		o.recorder.fail(o.fieldPath(field), "%v", err)
	}
	return value
}

// requiredName decodes a name that must not be empty.
func (o *object) requiredName(field string) string {
	value := o.optionalName(field)
	if value == "" {
		o.recorder.fail(o.fieldPath(field), "is missing")
	}
	return value
}

func (o *object) integer(field string) int64 {
	value := int64(0)
	o.decodeField(field, "a whole number", &value)
	return value
}

func (o *object) number(field string) float64 {
	value := 0.0
	o.decodeField(field, "a number", &value)
	return value
}

func (o *object) boolean(field string) bool {
	value := false
	o.decodeField(field, "true or false", &value)
	return value
}

func (o *object) duration(field string) time.Duration {
	text := ""
	if !o.decodeField(field, "a duration such as \"1.3s\"", &text) {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 || value > maxDuration {
		o.recorder.fail(o.fieldPath(field), "%q is not a duration between 0 and %v, such as \"1.3s\"", text, maxDuration)
	}
	return value
}

func (o *object) list(field string) []json.RawMessage {
	values := []json.RawMessage{}
	o.decodeField(field, "a list", &values)
	if len(values) > maxListLength {
		o.recorder.fail(o.fieldPath(field), "has more than %d entries", maxListLength)
		return nil
	}
	return values
}

// eachObject calls visit with each object of a list, and stops at the first error.
func (o *object) eachObject(field string, visit func(*object)) {
	for i, raw := range o.list(field) {
		item := o.recorder.parseObject(fmt.Sprintf("%s[%d]", o.fieldPath(field), i), raw)
		visit(item)
		item.rejectUnknownFields()
		if o.recorder.err != nil {
			return
		}
	}
}

func (o *object) nameList(field string) []string {
	values := []string{}
	for i, raw := range o.list(field) {
		value, path := "", fmt.Sprintf("%s[%d]", o.fieldPath(field), i)
		if err := json.Unmarshal(raw, &value); err != nil || value == "" {
			o.recorder.fail(path, "must be a name")
			return nil
		}
		if err := checkName(value); err != nil {
			o.recorder.fail(path, "%v", err)
			return nil
		}
		values = append(values, value)
	}
	return values
}

var errNameCharacters = errors.New("must be printable ASCII without spaces, quotes or brackets")

// CheckName returns an error if the name is too long or contains characters that are
// not allowed. The error names the path and matches winch.ErrInvalid.
func CheckName(path, name string) error {
	if err := checkName(name); err != nil {
		return FieldError(path, "%v", err)
	}
	return nil
}

// checkName restricts names to what is safe in URL paths, storage keys and log lines.
func checkName(name string) error {
	if len(name) > maxNameLength {
		return fmt.Errorf("is longer than %d characters", maxNameLength)
	}
	for _, c := range name {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '[' || c == ']' {
			return errNameCharacters
		}
	}
	return nil
}
