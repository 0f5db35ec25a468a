package bench

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/winchload/experiment"
)

func testExperiment() experiment.Experiment {
	return experiment.Experiment{
		Name:          "test",
		Classes:       []experiment.Class{{ID: "talk", Model: "m"}, {ID: "hold", Route: "desk"}},
		Organisations: []experiment.Organisation{{ID: "o"}},
		DataCentres:   []experiment.DataCentre{{ID: "a", Hosts: 2}, {ID: "b", Hosts: 1}},
		Engines: []experiment.EngineGroup{
			{DataCentre: "a", Model: "m", Count: 2, Supply: "Steady", BatchLimit: 4},
			{DataCentre: "b", Model: "m", Pool: "p", Max: 3, Supply: "Cheap", BatchLimit: 4},
		},
		Services: []experiment.ServiceGroup{{DataCentre: "b", Route: "desk", Count: 1, Slots: 8}},
	}
}

func TestNote(t *testing.T) {
	added := newNote(testExperiment(), map[string]string{"engine/a-m-steady-1": "127.0.0.1:5", "service/b-desk-0": "127.0.0.1:6"}).Added
	t.Run("keys are hashes of the secrets", func(t *testing.T) {
		hash := sha256.Sum256([]byte(experiment.Organisation{ID: "o"}.Secret()))
		assert.Equal(t, added.Keys[0].Hash, hex.EncodeToString(hash[:]))
	})
	t.Run("endpoints have addresses and classes", func(t *testing.T) {
		assert.Equal(t, len(added.Endpoints), 3)
		assert.Equal(t, added.Endpoints[1].Address, "127.0.0.1:5")
		assert.DeepEqual(t, added.Endpoints[1].Classes, []string{"talk"})
		assert.DeepEqual(t, added.Endpoints[2].Routes, []string{"desk"})
	})
	t.Run("pools are ordered and not started", func(t *testing.T) {
		assert.Equal(t, added.Pools[0].Max, 3)
		assert.Equal(t, len(newStandinSettings(testExperiment(), 1, newPorts(0)).Engines), 2)
	})
}

func TestWriteSettings(t *testing.T) {
	directory := t.TempDir()
	assert.NilError(t, WriteSettings(Options{Experiment: testExperiment(), Policy: "Winch", Directory: directory, BasePort: 9000}))
	addresses := map[string]bool{}
	for _, name := range []string{"a-host-0", "a-host-1", "b-host-0"} {
		encoded, err := os.ReadFile(filepath.Join(directory, name+".json"))
		assert.NilError(t, err)
		host := hostSettings{}
		assert.NilError(t, json.Unmarshal(encoded, &host))
		assert.DeepEqual(t, host.DataCentres, []string{"a", "b"})
		for _, address := range []string{host.Caller.Address, host.Peer.Address, host.Operator.Address} {
			assert.Assert(t, !addresses[address], "%s is used twice", address)
			addresses[address] = true
		}
	}
}
