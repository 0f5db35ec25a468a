package release

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	maxNameLength = 128
	maxListLength = 20000
	maxDuration   = 24 * time.Hour
)

// reader collects the first fault of a document, with the path of the field.
type reader struct {
	fault error
}

func (r *reader) fail(path, format string, arguments ...any) {
	if r.fault != nil {
		return
	}
	r.fault = Fault(path, format, arguments...)
}

// Fault returns an error that names a field by its path and matches winch.ErrInvalid.
func Fault(path, format string, arguments ...any) error {
	return fmt.Errorf("%s: %s: %w", path, fmt.Sprintf(format, arguments...), winch.ErrInvalid)
}

// object is a JSON object of which every field must be read.
type object struct {
	reader *reader
	path   string
	fields map[string]json.RawMessage
	read   map[string]bool
}

func (r *reader) object(path string, raw json.RawMessage) *object {
	o := &object{reader: r, path: path, fields: map[string]json.RawMessage{}, read: map[string]bool{}}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	token, err := decoder.Token()
	if err != nil || token != json.Delim('{') {
		r.fail(o.name(), "must be an object")
		return o
	}
	for decoder.More() {
		if !o.readField(decoder) {
			return o
		}
	}
	return o
}

func (o *object) readField(decoder *json.Decoder) bool {
	token, err := decoder.Token()
	name, isText := token.(string)
	if err != nil || !isText {
		o.reader.fail(o.name(), "is not well formed")
		return false
	}
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		o.reader.fail(o.at(name), "is not well formed")
		return false
	}
	if _, repeated := o.fields[name]; repeated {
		o.reader.fail(o.at(name), "stands twice")
		return false
	}
	o.fields[name] = value
	return true
}

func (o *object) name() string {
	if o.path == "" {
		return "document"
	}
	return o.path
}

func (o *object) at(field string) string {
	if o.path == "" {
		return field
	}
	return o.path + "." + field
}

// take returns the raw field; null counts as absent.
func (o *object) take(field string) (json.RawMessage, bool) {
	o.read[field] = true
	raw, found := o.fields[field]
	return raw, found && string(raw) != "null"
}

// done refuses the fields that nobody read.
func (o *object) done() {
	names := []string{}
	for name := range o.fields {
		if !o.read[name] {
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		o.reader.fail(o.at(slices.Min(names)), "is not a known field")
	}
}

func (o *object) decode(field, kind string, out any) bool {
	raw, found := o.take(field)
	if !found {
		return false
	}
	if err := json.Unmarshal(raw, out); err != nil {
		o.reader.fail(o.at(field), "must be %s", kind)
		return false
	}
	return true
}

func (o *object) text(field string) string {
	value := ""
	o.decode(field, "a string", &value)
	if err := checkName(value); err != nil {
		o.reader.fail(o.at(field), "%v", err)
	}
	return value
}

// required is a text that may not be empty.
func (o *object) required(field string) string {
	value := o.text(field)
	if value == "" {
		o.reader.fail(o.at(field), "is missing")
	}
	return value
}

func (o *object) integer(field string) int64 {
	value := int64(0)
	o.decode(field, "a whole number", &value)
	return value
}

func (o *object) number(field string) float64 {
	value := 0.0
	o.decode(field, "a number", &value)
	return value
}

func (o *object) flag(field string) bool {
	value := false
	o.decode(field, "true or false", &value)
	return value
}

func (o *object) duration(field string) time.Duration {
	text := ""
	if !o.decode(field, "a duration such as \"1.3s\"", &text) {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 || value > maxDuration {
		o.reader.fail(o.at(field), "%q is not a duration between 0 and %v, such as \"1.3s\"", text, maxDuration)
	}
	return value
}

func (o *object) list(field string) []json.RawMessage {
	values := []json.RawMessage{}
	o.decode(field, "a list", &values)
	if len(values) > maxListLength {
		o.reader.fail(o.at(field), "has more than %d entries", maxListLength)
		return nil
	}
	return values
}

// objects calls each with every object of the list.
func (o *object) objects(field string, each func(*object)) {
	for i, raw := range o.list(field) {
		item := o.reader.object(fmt.Sprintf("%s[%d]", o.at(field), i), raw)
		each(item)
		item.done()
		if o.reader.fault != nil {
			return
		}
	}
}

func (o *object) texts(field string) []string {
	values := []string{}
	for i, raw := range o.list(field) {
		value, path := "", fmt.Sprintf("%s[%d]", o.at(field), i)
		if err := json.Unmarshal(raw, &value); err != nil || value == "" {
			o.reader.fail(path, "must be a name")
			return nil
		}
		if err := checkName(value); err != nil {
			o.reader.fail(path, "%v", err)
			return nil
		}
		values = append(values, value)
	}
	return values
}

var errName = errors.New("must be printable ASCII without spaces, quotes or brackets")

// CheckName refuses names that no document may hold. The error matches winch.ErrInvalid.
func CheckName(path, name string) error {
	if err := checkName(name); err != nil {
		return Fault(path, "%v", err)
	}
	return nil
}

// checkName bounds names, which also stand in paths, keys and log lines.
func checkName(name string) error {
	if len(name) > maxNameLength {
		return fmt.Errorf("is longer than %d characters", maxNameLength)
	}
	for _, c := range name {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '[' || c == ']' {
			return errName
		}
	}
	return nil
}
