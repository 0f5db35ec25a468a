package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

const (
	baseField    = "Base"
	maxBaseDepth = 4
)

// Load reads the file and its base files, and checks the resulting experiment.
func Load(path string) (Experiment, error) {
	fields, err := loadFields(path, maxBaseDepth)
	if err != nil {
		return Experiment{}, err
	}
	encoded, err := json.Marshal(fields)
	if err != nil {
		return Experiment{}, fmt.Errorf("encode experiment: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	exp := Experiment{}
	if err := decoder.Decode(&exp); err != nil {
		return Experiment{}, fmt.Errorf("decode experiment: %w: %w", ErrInvalid, err)
	}
	return exp, exp.Check()
}

// loadFields returns the fields of the file together with those that only its base sets.
// Fields are replaced as a whole: lists and objects are not merged with the base's.
func loadFields(path string, depth int) (map[string]json.RawMessage, error) {
	if depth == 0 {
		return nil, fieldError(baseField, "base files are nested too deeply or form a cycle")
	}
	encoded, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(encoded, &fields); err != nil {
		return nil, fmt.Errorf("decode experiment %s: %w: %w", path, ErrInvalid, err)
	}
	encodedBase, hasBase := fields[baseField]
	if !hasBase {
		return fields, nil
	}
	base := ""
	if err := json.Unmarshal(encodedBase, &base); err != nil {
		return nil, fieldError(baseField, "must be the path of a file")
	}
	out, err := loadFields(filepath.Join(filepath.Dir(path), base), depth-1)
	if err != nil {
		return nil, err
	}
	delete(fields, baseField)
	for name, value := range fields {
		out[name] = value
	}
	return out, nil
}
