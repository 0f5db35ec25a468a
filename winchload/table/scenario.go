package table

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/arbutuswinch/winch/winchload/result"
)

// WriteScenarios prints a line for each experiment and label, with the mean, lowest and
// highest value over the seeds. Experiments with the same classes share a table.
func WriteScenarios(out io.Writer, results []result.Result) error {
	classLists, byClasses := []string{}, map[string][]result.Result{}
	for _, measured := range results {
		classes := classList(measured)
		if !slices.Contains(classLists, classes) {
			classLists = append(classLists, classes)
		}
		byClasses[classes] = append(byClasses[classes], measured)
	}
	for _, classes := range classLists {
		if err := writeScenarios(out, byClasses[classes]); err != nil {
			return err
		}
	}
	return nil
}

func classList(measured result.Result) string {
	names := []string{}
	for _, class := range measured.Classes {
		names = append(names, class.Name)
	}
	return strings.Join(names, ", ")
}

func writeScenarios(out io.Writer, results []result.Result) error {
	columns, text := scenarioColumns(results), strings.Builder{}
	text.WriteString("| scenario | policy | seeds |")
	for _, column := range columns {
		text.WriteString(" " + column.name + " |")
	}
	text.WriteString("\n| --- | --- | --- |" + strings.Repeat(" --- |", len(columns)) + "\n")
	for _, name := range experimentNames(results) {
		selected := slices.DeleteFunc(slices.Clone(results), func(r result.Result) bool { return r.Experiment != name })
		labels := labelNames(selected)
		slices.Sort(labels)
		for _, label := range labels {
			fmt.Fprintf(&text, "| %s | %s | %s |", name, label, seedList(selected, label))
			for _, column := range columns {
				text.WriteString(" " + formatCell(selected, label, column) + " |")
			}
			text.WriteByte('\n')
		}
	}
	text.WriteByte('\n')
	if _, err := io.WriteString(out, text.String()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func experimentNames(results []result.Result) []string {
	names := []string{}
	for _, measured := range results {
		if !slices.Contains(names, measured.Experiment) {
			names = append(names, measured.Experiment)
		}
	}
	slices.Sort(names)
	return names
}

// scenarioColumns returns the measurements by which policies are compared: first the attainment of
// each class and tier, then the wanted rows, then those of the audit. Rows are found by their names.
func scenarioColumns(results []result.Result) []row {
	wanted := []string{
		"attainment, worst organisation", "goodput (tokens/s)", "wasted tokens, share", "paid for endpoints (thousandths of the currency unit)",
		"work on cheap engines, share", "requests cut", "failed with an error", "late sends of the tool",
	}
	columns, all := []row{}, rows(results)
	for _, column := range all {
		if strings.HasPrefix(column.name, "attainment, ") && column.name != "attainment, all" && !slices.Contains(wanted, column.name) {
			columns = append(columns, column)
		}
	}
	for _, name := range wanted {
		at := slices.IndexFunc(all, func(r row) bool { return r.name == name })
		columns = append(columns, all[at])
	}
	return append(columns, auditRows(results)...)
}
