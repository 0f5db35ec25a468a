package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// namesFile holds the names of the pages. Go files outside the platform folder don't use them (TestPlatformWords).
//
//go:embed names.json
var namesFile []byte

var replacer = newReplacer()

func newReplacer() *strings.Replacer {
	names := map[string]string{}
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
	pairs := []string{}
	for key, name := range names {
		pairs = append(pairs, "{"+key+"}", name)
	}
	return strings.NewReplacer(pairs...)
}

// page replaces {key} by the pages' name.
func page(text string) string { return replacer.Replace(text) }
