// Package table prints results as Markdown: one column for each label, with the mean,
// lowest and highest value over the seeds.
//
// # Usage
//
//	err := table.Write(os.Stdout, results)
//
// WriteScenarios prints a line for each experiment and label instead, with a separate
// table for each combination of classes. The printed scenario is the name of the experiment,
// and the printed policy is the label of the result.
package table

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/arbutuswinch/winch/winchload/result"
)

// row is one measurement of a result.
type row struct {
	name string
	// digits is the number of decimal places.
	digits int
	// value returns false if the result does not have the measurement.
	value func(result.Result) (float64, bool)
}

// Write prints the table with a row for each measurement.
func Write(out io.Writer, results []result.Result) error {
	labels := labelNames(results)
	text := strings.Builder{}
	text.WriteString("| measure |")
	for _, label := range labels {
		fmt.Fprintf(&text, " %s (seeds %s) |", label, seedList(results, label))
	}
	text.WriteString("\n| --- |" + strings.Repeat(" --- |", len(labels)) + "\n")
	for _, measure := range rows(results) {
		fmt.Fprintf(&text, "| %s |", measure.name)
		for _, label := range labels {
			fmt.Fprintf(&text, " %s |", formatCell(results, label, measure))
		}
		text.WriteByte('\n')
	}
	if _, err := io.WriteString(out, text.String()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func labelNames(results []result.Result) []string {
	labels := []string{}
	for _, measured := range results {
		if !slices.Contains(labels, measured.Label) {
			labels = append(labels, measured.Label)
		}
	}
	return labels
}

func seedList(results []result.Result, label string) string {
	seeds := []string{}
	for _, measured := range results {
		if measured.Label == label {
			seeds = append(seeds, fmt.Sprint(measured.Seed))
		}
	}
	return strings.Join(seeds, ", ")
}

// formatCell returns the mean, followed by the range if there are several values.
func formatCell(results []result.Result, label string, measure row) string {
	values, sum := []float64{}, 0.0
	for _, measured := range results {
		if measured.Label != label {
			continue
		}
		if value, known := measure.value(measured); known {
			values = append(values, value)
			sum += value
		}
	}
	if len(values) == 0 {
		return "-"
	}
	text := fmt.Sprintf("%.*f", measure.digits, sum/float64(len(values)))
	if len(values) > 1 {
		text += fmt.Sprintf(" (%.*f to %.*f)", measure.digits, slices.Min(values), measure.digits, slices.Max(values))
	}
	return text
}
