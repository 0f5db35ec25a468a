package capacity

import (
	"fmt"
	"io"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Line is a linear fit of one cost against one dimension.
type Line struct {
	Dimension Dimension
	Role      Role
	// Cost is the printed name of the cost, with its unit.
	Cost string
	// Base is the predicted cost at value zero.
	Base  float64
	Slope float64
	// R2 is the coefficient of determination.
	R2 float64
	// Values and Costs are the fitted points.
	Values []float64
	Costs  []float64
}

// At returns the cost that the line predicts for a value.
func (l Line) At(value float64) float64 { return l.Base + l.Slope*value }

// costs returns the kinds of cost, converted to the units in which they are printed.
func costs() []struct {
	name  string
	value func(Sample, Role) float64
} {
	return []struct {
		name  string
		value func(Sample, Role) float64
	}{
		{"% of a core", func(s Sample, role Role) float64 { return 100 * s.Hosts[role].CPU }},
		{"KB/s", func(s Sample, role Role) float64 { return s.Hosts[role].Bytes / 1024 }},
		{"MB", func(s Sample, role Role) float64 { return s.Hosts[role].Memory / (1 << 20) }},
		{"calls/s of all hosts", func(s Sample, _ Role) float64 { return s.Calls }},
	}
}

// Fit fits a line to each cost of each dimension and role. The calls do not depend on the role:
// their line is the same for both.
func Fit(samples []Sample) []Line {
	dimensions := []Dimension{}
	for _, sample := range samples {
		if !slices.Contains(dimensions, sample.Dimension) {
			dimensions = append(dimensions, sample.Dimension)
		}
	}
	lines := []Line{}
	for _, dimension := range dimensions {
		for _, role := range []Role{RoleMember, RoleHub} {
			for _, cost := range costs() {
				lines = append(lines, fitLine(samples, dimension, role, cost.name, cost.value))
			}
		}
	}
	return lines
}

func fitLine(samples []Sample, dimension Dimension, role Role, name string, value func(Sample, Role) float64) Line {
	line := Line{Dimension: dimension, Role: role, Cost: name}
	for _, sample := range samples {
		if sample.Dimension == dimension {
			line.Values = append(line.Values, sample.Value)
			line.Costs = append(line.Costs, value(sample, role))
		}
	}
	line.Base, line.Slope = stat.LinearRegression(line.Values, line.Costs, nil, false)
	line.R2 = stat.RSquared(line.Values, line.Costs, nil, line.Base, line.Slope)
	return line
}

// Write prints the samples and the fits as Markdown.
func Write(out io.Writer, samples []Sample) error {
	rows := "| dimension | role | cost | values | measured costs | base | slope | R2 |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n"
	for _, line := range Fit(samples) {
		rows += fmt.Sprintf("| %s | %s | %s | %s | %s | %.3g | %.3g | %.2f |\n", line.Dimension, line.Role, line.Cost,
			formatList(line.Values), formatList(line.Costs), line.Base, line.Slope, line.R2)
	}
	if _, err := io.WriteString(out, rows); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func formatList(values []float64) string {
	text := ""
	for i, value := range values {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%.3g", value)
	}
	return text
}
