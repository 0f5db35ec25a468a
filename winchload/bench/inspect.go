package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Host identifies a running host.
type Host struct {
	Name       string
	DataCentre string
	// Operator is the address of the host's operator API.
	Operator string
}

// Hosts returns the hosts in the order in which Processes lists them.
func (d *Deployment) Hosts() []Host {
	hosts := make([]Host, 0, len(d.settings))
	for _, settings := range d.settings {
		hosts = append(hosts, Host{Name: settings.Host, DataCentre: settings.DataCentre, Operator: settings.Operator.Address})
	}
	return hosts
}

// Hubs reports for each host, by name, whether it is a hub, through which its data centre
// exchanges reports with other data centres.
func (d *Deployment) Hubs(ctx context.Context) (map[string]bool, error) {
	body, err := d.call(ctx, http.MethodGet, "http://"+d.settings[0].Operator.Address+"/operator/hosts", operatorSecret, nil)
	if err != nil {
		return nil, err
	}
	response := struct {
		Hosts []struct {
			ID  string
			Hub bool
		}
	}{}
	if err := json.Unmarshal([]byte(body), &response); err != nil {
		return nil, fmt.Errorf("decode hosts: %w", err)
	}
	hubs := map[string]bool{}
	for _, host := range response.Hosts {
		hubs[host.ID] = host.Hub
	}
	return hubs, nil
}

// Metric returns the value of a counter or gauge of the host, summed over all labels.
func (d *Deployment) Metric(ctx context.Context, host Host, name string) (float64, error) {
	body, err := d.call(ctx, http.MethodGet, "http://"+host.Operator+"/metrics", "", nil)
	if err != nil {
		return 0, err
	}
	sum := 0.0
	for line := range strings.Lines(body) {
		rest, found := strings.CutPrefix(line, name)
		if !found || (rest[0] != ' ' && rest[0] != '{') {
			continue
		}
		fields := strings.Fields(line)
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			return 0, fmt.Errorf("parse metric %s: %w", name, err)
		}
		sum += value
	}
	return sum, nil
}

// ChangeWeight commits a release note that changes the weight of one organisation. The number is
// part of the note's id and must differ for each call. Even and odd numbers set different
// weights, so that consecutive notes change the configuration.
func (d *Deployment) ChangeWeight(ctx context.Context, host Host, number int) error {
	organisation := organisationItem{ID: d.options.Experiment.Organisations[0].ID, Weight: 1 + number%2}
	encoded, err := json.Marshal(struct {
		ID      string
		Changed struct{ Organisations []organisationItem }
	}{
		ID:      fmt.Sprintf("change-%d", number),
		Changed: struct{ Organisations []organisationItem }{[]organisationItem{organisation}},
	})
	if err != nil {
		return fmt.Errorf("encode note: %w", err)
	}
	_, err = d.call(ctx, http.MethodPost, "http://"+host.Operator+"/operator/notes", operatorSecret, encoded)
	return err
}
