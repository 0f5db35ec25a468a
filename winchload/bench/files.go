package bench

import (
	"errors"
	"fmt"
	"os"
)

// WriteSettings writes the settings files of the stand-ins and of each host, and the
// release note, for a deployment that is started by hand. Ports are numbered
// consecutively from options.BasePort.
func WriteSettings(options Options) error {
	if options.BasePort == 0 {
		return errors.New("base port is required")
	}
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	ports := newPorts(options.BasePort)
	standins := newStandinSettings(options.Experiment, options.Seed, ports)
	addresses := standins.addresses()
	hosts, err := newHosts(options.Experiment, addresses, options, ports)
	if err != nil {
		return err
	}
	for _, host := range hostList(hosts) {
		standins.Hosts.Hosts = append(standins.Hosts.Hosts, hostItem(host))
	}
	d := &Deployment{options: options}
	if _, err := d.writeJSON("standin", standins); err != nil {
		return err
	}
	for _, host := range hosts {
		if _, err := d.writeJSON(host.Host, host); err != nil {
			return err
		}
	}
	_, err = d.writeJSON("note", newNote(options.Experiment, addresses))
	return err
}

// addresses returns the listen addresses, keyed by the names that the stand-ins'
// process prints for them at its start.
func (p standinSettings) addresses() map[string]string {
	out := map[string]string{
		"keyvalue": p.KeyValue.Address, "orders": p.Orders.Address, "usage": p.Usage.Address,
		"hosts": p.Hosts.Address, "weights": p.Weights.Address, "control": p.Control.Address,
	}
	for _, engine := range p.Engines {
		out["engine/"+engine.ID] = engine.Address
	}
	for _, service := range p.Services {
		out["service/"+service.ID] = service.Address
	}
	return out
}
