package check

import (
	"slices"

	"github.com/arbutuswinch/winch"
)

// Report is the result of the check of a file.
type Report struct {
	Revision    winch.Revision
	Findings    []Finding
	Differences []Difference
}

// Add adds findings.
func (r *Report) Add(findings ...Finding) { r.Findings = append(r.Findings, findings...) }

// Rename gives the paths the names of the file's fields, as Path.Rename does.
func (r *Report) Rename(names map[string]string) {
	for i := range r.Findings {
		r.Findings[i].Path, r.Findings[i].Other = r.Findings[i].Path.Rename(names), r.Findings[i].Other.Rename(names)
	}
	for i := range r.Differences {
		r.Differences[i].Path = r.Differences[i].Path.Rename(names)
	}
}

// Finish sorts the findings and differences. It drops other findings about values of the wrong type, which are decoded as missing.
func (r *Report) Finish() {
	unreadable := map[string]bool{}
	for _, finding := range r.Findings {
		if finding.Code == TypeInvalid {
			unreadable[finding.Path.String()] = true
		}
	}
	isUnreadable := func(path Path) bool {
		for i := range path {
			if unreadable[path[:i+1].String()] {
				return true
			}
		}
		return false
	}
	r.Findings = Sorted(slices.DeleteFunc(r.Findings, func(finding Finding) bool {
		return finding.Code != TypeInvalid && (isUnreadable(finding.Path) || isUnreadable(finding.Other))
	}))
	sortDifferences(r.Differences)
}
