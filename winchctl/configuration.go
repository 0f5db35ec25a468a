package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/configuration/check"
	"github.com/arbutuswinch/winch/platform/operator"
)

// maxConfigurationSize is the maximum size of a configuration file in bytes. Stored ones are far smaller.
const maxConfigurationSize = 64 << 20

type configurationCommand struct {
	Check *configurationCheckCommand `arg:"subcommand:check" help:"report errors of a configuration and its differences from the one in force; calls no host"`
}

func (*configurationCommand) run(context.Context, *console) error {
	return fmt.Errorf("configuration requires the subcommand check: %w", errUsage)
}

// local implements localCommand, so that a missing subcommand is reported before a missing secret.
func (*configurationCommand) local() {}

type configurationCheckCommand struct {
	File    string `arg:"positional,required" placeholder:"FILE" help:"configuration as the operator stores it, or - for standard input"`
	Against string `arg:"--against" placeholder:"FILE" help:"configuration in force: show the differences"`
	Memory  int64  `arg:"--memory" placeholder:"BYTES" help:"memory of the smallest host, which limits the sizes of requests"`
	Strict  bool   `arg:"--strict" help:"exit with an error if there are warnings"`
}

// local implements localCommand.
func (*configurationCheckCommand) local() {}

func (c *configurationCheckCommand) run(_ context.Context, console *console) error {
	if c.Memory < 0 {
		return fmt.Errorf("--memory is negative: %w", errUsage)
	}
	if c.File == "-" && c.Against == "-" {
		return fmt.Errorf("only one file can be standard input: %w", errUsage)
	}
	next, err := console.readConfiguration(c.File)
	if err != nil {
		return err
	}
	var inForce []byte
	if c.Against != "" {
		if inForce, err = console.readConfiguration(c.Against); err != nil {
			return err
		}
	}
	report := operator.Check(next, inForce, check.Options{Memory: c.Memory})
	if err := console.showReport(report); err != nil {
		return err
	}
	failures, warnings := check.Count(report.Findings, check.Error), check.Count(report.Findings, check.Warning)
	if failures > 0 || c.Strict && warnings > 0 {
		return fmt.Errorf("%s: %d errors, %d warnings: %w", c.File, failures, warnings, winch.ErrInvalid)
	}
	return nil
}

// readConfiguration reads a file. It never returns nil without an error.
func (c *console) readConfiguration(file string) ([]byte, error) {
	in := c.in
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("read configuration: %w: %w", errUsage, err)
		}
		defer func() { _ = opened.Close() }()
		in = opened
	}
	body, err := io.ReadAll(io.LimitReader(in, maxConfigurationSize+1))
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w: %w", errUsage, err)
	}
	if len(body) > maxConfigurationSize {
		return nil, fmt.Errorf("read configuration: %s has more than %d bytes: %w", file, maxConfigurationSize, winch.ErrInvalid)
	}
	return body, nil
}

// reportOutput is a report in JSON.
type reportOutput struct {
	Version          int64
	Errors, Warnings int
	Findings         []findingOutput
	Differences      []differenceOutput
}

type findingOutput struct {
	Severity, Code, Path string
	Other                string `json:",omitempty"`
	Message              string
}

type differenceOutput struct {
	Change, Path string
	// Old and New are missing unless a field has changed.
	Old, New *string `json:",omitempty"`
}

func encodeReport(report check.Report) reportOutput {
	out := reportOutput{
		Version: int64(report.Revision), Errors: check.Count(report.Findings, check.Error), Warnings: check.Count(report.Findings, check.Warning),
		Findings: []findingOutput{}, Differences: []differenceOutput{},
	}
	for _, f := range report.Findings {
		out.Findings = append(out.Findings, findingOutput{
			Severity: string(f.Severity), Code: string(f.Code), Path: f.Path.String(), Other: f.Other.String(), Message: f.Message,
		})
	}
	for _, d := range report.Differences {
		difference := differenceOutput{Change: string(d.Change), Path: d.Path.String()}
		if d.Change == check.Changed {
			difference.Old, difference.New = &d.Old, &d.New
		}
		out.Differences = append(out.Differences, difference)
	}
	return out
}

// showReport prints a line for each difference and finding, or JSON.
func (c *console) showReport(report check.Report) error {
	if c.options.JSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(encodeReport(report))
	}
	for _, d := range report.Differences {
		switch d.Change {
		case check.Added:
			fmt.Fprintf(c.out, "+ %s\n", d.Path)
		case check.Removed:
			fmt.Fprintf(c.out, "- %s\n", d.Path)
		case check.Changed:
			fmt.Fprintf(c.out, "~ %s: %q -> %q\n", d.Path, d.Old, d.New)
		}
	}
	for _, f := range report.Findings {
		fmt.Fprintln(c.out, formatFinding(f))
	}
	fmt.Fprintf(c.out, "version %d: %d errors, %d warnings, %d differences\n", report.Revision,
		check.Count(report.Findings, check.Error), check.Count(report.Findings, check.Warning), len(report.Differences))
	return nil
}

func formatFinding(f check.Finding) string {
	line := map[check.Severity]string{check.Error: "error", check.Warning: "warning"}[f.Severity]
	if len(f.Path) > 0 {
		line += " " + f.Path.String()
	}
	line += ": " + f.Message
	if len(f.Other) > 0 {
		line += " (see " + f.Other.String() + ")"
	}
	return line + " [" + string(f.Code) + "]"
}
