package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// namesFile holds names of the users' pages, which the project's Go files do not use outside its platform folder.
//
//go:embed names.json
var namesFile []byte

var names = newNames()

func newNames() *strings.Replacer {
	byKey := map[string]string{}
	check(json.Unmarshal(namesFile, &byKey))
	pairs := []string{}
	for key, name := range byKey {
		pairs = append(pairs, "{"+key+"}", name)
	}
	return strings.NewReplacer(pairs...)
}

// page replaces each {key} by the name that the pages use.
func page(text string) string { return names.Replace(text) }
