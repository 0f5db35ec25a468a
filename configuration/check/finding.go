package check

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Severity states whether a configuration may be put in force despite a finding.
type Severity string

// The severities.
const (
	// Error: some part of the configuration cannot work as it is written.
	Error Severity = "Error"
	// Warning: the configuration works, but perhaps not as it is meant.
	Warning Severity = "Warning"
)

// Code identifies a kind of finding. Codes do not change between versions of the program.
type Code string

// Finding is a fault of a configuration.
type Finding struct {
	Severity Severity
	Code     Code
	Path     Path
	// Other is the path of a second field or entry with which the first is in conflict; empty if there is none.
	Other   Path
	Message string
}

// Change states how an entry or a field differs between two configurations.
type Change string

// The changes.
const (
	Added   Change = "Added"
	Removed Change = "Removed"
	Changed Change = "Changed"
)

// Difference is a difference from the configuration in force. Old and New are set if a field has changed.
type Difference struct {
	Change   Change
	Path     Path
	Old, New string
}

// Step is a part of a path.
type Step struct {
	Field string
	// Element is the index of an entry of the field's list or, in differences, its name. It is empty for the field itself.
	Element string
}

// Path names a field. The path of the whole configuration is empty.
type Path []Step

// Field returns the path of a field of p.
func (p Path) Field(name string) Path { return append(slices.Clone(p), Step{Field: name}) }

// Element returns the path of an entry of the list p.
func (p Path) Element(name string) Path {
	q := slices.Clone(p)
	q[len(q)-1].Element = name
	return q
}

// Index returns the path of the entry of the list p with the index.
func (p Path) Index(i int) Path { return p.Element(strconv.Itoa(i)) }

// Rename returns the path with other names of fields. The keys of names are the fields from the first to the renamed one, joined by
// dots. A name with a dot stands for a field of a nested object. Fields that are not in names keep their name.
func (p Path) Rename(names map[string]string) Path {
	renamed, key := Path{}, ""
	for _, step := range p {
		key = strings.TrimPrefix(key+"."+step.Field, ".")
		name, found := names[key]
		if !found {
			renamed = append(renamed, step)
			continue
		}
		renamed = fieldPath(renamed, name)
		renamed[len(renamed)-1].Element = step.Element
	}
	return renamed
}

// String returns the path in the usual notation, such as routes[3].prefix.
func (p Path) String() string {
	text := strings.Builder{}
	for i, step := range p {
		if i > 0 {
			text.WriteByte('.')
		}
		text.WriteString(printable(step.Field))
		if step.Element != "" {
			fmt.Fprintf(&text, "[%s]", printable(step.Element))
		}
	}
	return text.String()
}

// printable quotes a text that would be ambiguous in a path or could control a terminal.
func printable(text string) string {
	if quoted := strconv.Quote(text); text == "" || quoted != `"`+text+`"` || strings.ContainsAny(text, "[]. ") {
		return quoted
	}
	return text
}

// compare orders paths by the names of fields, and entries of lists by index.
func (p Path) compare(q Path) int {
	return slices.CompareFunc(p, q, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.Field, b.Field), compareElements(a.Element, b.Element))
	})
}

func compareElements(a, b string) int {
	i, errA := strconv.Atoi(a)
	j, errB := strconv.Atoi(b)
	switch {
	case errA == nil && errB == nil:
		return cmp.Or(cmp.Compare(i, j), cmp.Compare(a, b))
	case errA == nil:
		return 1
	case errB == nil:
		return -1
	}
	return cmp.Compare(a, b)
}

// Sorted sorts findings by path, errors before warnings, and drops duplicates. It reorders the given slice.
func Sorted(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(a.Path.compare(b.Path), cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Code, b.Code),
			cmp.Compare(a.Message, b.Message), a.Other.compare(b.Other))
	})
	return slices.CompactFunc(findings, func(a, b Finding) bool {
		return a.Path.compare(b.Path) == 0 && a.Code == b.Code && a.Message == b.Message && a.Other.compare(b.Other) == 0
	})
}

// Count returns the number of findings of the severity.
func Count(findings []Finding, severity Severity) int {
	count := 0
	for _, finding := range findings {
		if finding.Severity == severity {
			count++
		}
	}
	return count
}

// recorder collects findings.
type recorder struct{ findings []Finding }

func (r *recorder) errorf(code Code, path Path, format string, arguments ...any) {
	r.add(Finding{Severity: Error, Code: code, Path: path, Message: fmt.Sprintf(format, arguments...)})
}

func (r *recorder) warnf(code Code, path Path, format string, arguments ...any) {
	r.add(Finding{Severity: Warning, Code: code, Path: path, Message: fmt.Sprintf(format, arguments...)})
}

func (r *recorder) add(finding Finding) { r.findings = append(r.findings, finding) }
