package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
)

// Each of these commands prints the response to GET /operator/ followed by the subcommand's name.
type (
	hostsCommand     struct{}
	endpointsCommand struct{}
	queuesCommand    struct{}
	usageCommand     struct{}
)

func (*hostsCommand) run(ctx context.Context, c *console) error {
	return c.fetch(ctx, "/operator/hosts")
}

func (*endpointsCommand) run(ctx context.Context, c *console) error {
	return c.fetch(ctx, "/operator/endpoints")
}

func (*queuesCommand) run(ctx context.Context, c *console) error {
	return c.fetch(ctx, "/operator/queues")
}

func (*usageCommand) run(ctx context.Context, c *console) error {
	return c.fetch(ctx, "/operator/usage")
}

type explainCommand struct {
	Request string `arg:"positional,required" help:"id of the request, from the X-Request-Id header of its response"`
}

func (c *explainCommand) run(ctx context.Context, console *console) error {
	return console.fetch(ctx, "/operator/requests/"+url.PathEscape(c.Request))
}

func (c *console) fetch(ctx context.Context, path string) error {
	response, err := c.client.call(ctx, "GET", path, nil)
	if err != nil {
		return err
	}
	return c.show(response)
}

// show prints a response as indented JSON if --json is set. Otherwise it prints each list
// of objects as a table and each other value on a line.
func (c *console) show(response json.RawMessage) error {
	if c.options.JSON {
		indented := bytes.Buffer{}
		if err := json.Indent(&indented, response, "", "  "); err != nil {
			return fmt.Errorf("print response: %w", err)
		}
		fmt.Fprintln(c.out, strings.TrimSpace(indented.String()))
		return nil
	}
	if rows, isList := objectRows(response); isList {
		writeTable(c.out, "", rows)
		return nil
	}
	for _, field := range fields(response) {
		if rows, isList := objectRows(field.value); isList {
			writeTable(c.out, field.name, rows)
			continue
		}
		fmt.Fprintf(c.out, "%s: %s\n", field.name, formatValue(field.value))
	}
	return nil
}

// field is a member of a JSON object.
type field struct {
	name  string
	value json.RawMessage
}

// fields returns the members of a JSON object in their original order. Any other value
// becomes a single field named Answer.
func fields(raw json.RawMessage) []field {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return []field{{name: "Answer", value: raw}}
	}
	members := []field{}
	for decoder.More() {
		token, err := decoder.Token()
		name, isText := token.(string)
		member := field{name: name}
		if err != nil || !isText || decoder.Decode(&member.value) != nil {
			return members
		}
		members = append(members, member)
	}
	return members
}

// objectRows returns the fields of each object of a JSON list. It returns false if the value
// is not a list or if the list is empty or has other elements.
func objectRows(raw json.RawMessage) ([][]field, bool) {
	list := []json.RawMessage{}
	if err := json.Unmarshal(raw, &list); err != nil || list == nil {
		return nil, false
	}
	rows := [][]field{}
	for _, element := range list {
		if !bytes.HasPrefix(bytes.TrimSpace(element), []byte("{")) {
			return nil, false
		}
		rows = append(rows, fields(element))
	}
	return rows, len(rows) > 0
}

// writeTable prints the rows with a column for each field name, in order of appearance.
func writeTable(out io.Writer, title string, rows [][]field) {
	if title != "" {
		fmt.Fprintf(out, "\n%s\n", title)
	}
	columns := []string{}
	for _, row := range rows {
		for _, cell := range row {
			if !slices.Contains(columns, cell.name) {
				columns = append(columns, cell.name)
			}
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		cells := make([]string, len(columns))
		for _, cell := range row {
			cells[slices.Index(columns, cell.name)] = formatValue(cell.value)
		}
		fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	_ = table.Flush()
}

// formatValue formats a JSON value for a table cell.
func formatValue(raw json.RawMessage) string {
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return string(raw)
	}
	switch value := value.(type) {
	case nil:
		return "-"
	case string:
		return value
	case []any:
		words := []string{}
		for _, element := range value {
			words = append(words, fmt.Sprint(element))
		}
		return strings.Join(words, ",")
	}
	return string(raw)
}
