package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func configurationFile(name string) string { return filepath.Join("testdata", "configuration", name) }

// TestConfigurationCheck compares the whole output with golden files; -update writes them anew.
func TestConfigurationCheck(t *testing.T) {
	for _, test := range []struct {
		name string
		args []string
		code int
	}{
		{name: "sound", args: []string{"sound.json", "--memory", "112000000", "--strict"}},
		{name: "faulty", args: []string{"faulty.json", "--memory", "112000000"}, code: exitRejected},
		{name: "faulty-json", args: []string{"faulty.json", "--memory", "112000000", "--json"}, code: exitRejected},
		{name: "warnings", args: []string{"warnings.json"}},
		{name: "warnings", args: []string{"warnings.json", "--strict"}, code: exitRejected},
		{name: "against", args: []string{"sound.json", "--against", configurationFile("in-force.json")}},
		{name: "against-json", args: []string{"sound.json", "--against", configurationFile("in-force.json"), "--json"}},
		{name: "against-older", args: []string{"in-force.json", "--against", configurationFile("sound.json")}, code: exitRejected},
		{name: "keys-optional", args: []string{"warnings.json", "--against", configurationFile("in-force.json")}, code: exitRejected},
	} {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			got := runCommand(t, append([]string{"configuration", "check", configurationFile(test.args[0])}, test.args[1:]...)...)
			assertRun(t, got, test.code)
			golden.Assert(t, got.out, filepath.Join("configuration", test.name+".golden"))
			assert.Assert(t, !strings.Contains(got.out+got.err, "secret-"), "a secret is shown")
		})
	}
}

func TestConfigurationCheckUsage(t *testing.T) {
	sound := configurationFile("sound.json")
	for _, test := range []struct {
		name string
		args []string
		text string
	}{
		{name: "no subcommand", text: "configuration requires the subcommand check"},
		{name: "no file", args: []string{"check"}, text: "FILE is required"},
		{name: "a file that does not exist", args: []string{"check", "absent.json"}, text: "absent.json"},
		{name: "a file to compare with that does not exist", args: []string{"check", sound, "--against", "absent.json"}, text: "absent.json"},
		{name: "a directory", args: []string{"check", "testdata"}, text: "testdata"},
		{name: "negative memory", args: []string{"check", sound, "--memory=-1"}, text: "--memory is negative"},
		{name: "standard input twice", args: []string{"check", "-", "--against", "-"}, text: "only one file"},
	} {
		t.Run(test.name, func(t *testing.T) {
			assertRun(t, runCommand(t, append([]string{"configuration"}, test.args...)...), exitUsage, test.text)
		})
	}
}

func TestConfigurationCheckReadsStandardInput(t *testing.T) {
	body, err := os.ReadFile(configurationFile("sound.json"))
	assert.NilError(t, err)
	var out, failures bytes.Buffer
	code := run(t.Context(), []string{"configuration", "check", "-"}, streams{in: bytes.NewReader(body), out: &out, err: &failures})
	assert.Equal(t, code, exitOK, failures.String())
	assert.Equal(t, out.String(), "version 8: 0 errors, 0 warnings, 0 differences\n")
}

func TestConfigurationCheckReportsAnEmptyFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "empty.json")
	assert.NilError(t, os.WriteFile(path, nil, 0o600))
	assertRun(t, runCommand(t, "configuration", "check", path), exitRejected, "syntax_invalid")
	assertRun(t, runCommand(t, "configuration", "check", configurationFile("sound.json"), "--against", path), exitRejected, "in_force_invalid")
}
