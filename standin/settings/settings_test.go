package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func assertLoad(t *testing.T, text, wrong string) Settings {
	t.Helper()
	path := filepath.Join(t.TempDir(), "standin.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	loaded, err := Load(path)
	if wrong == "" {
		assert.NilError(t, err)
		return loaded
	}
	assert.Assert(t, errors.Is(err, ErrInvalid))
	assert.ErrorContains(t, err, wrong)
	return loaded
}

func TestLoad(t *testing.T) {
	t.Run("reads sections and durations", func(t *testing.T) {
		loaded := assertLoad(t, `{"Hosts":{"Address":"127.0.0.1:0","Lag":"1.5s"}}`, "")
		assert.Equal(t, time.Duration(loaded.Hosts.Lag), 1500*time.Millisecond)
		assert.Assert(t, loaded.KeyValue == nil)
	})
	t.Run("refuses unknown fields", func(t *testing.T) {
		assertLoad(t, `{"Host":{}}`, "Host")
	})
	t.Run("refuses host names as addresses", func(t *testing.T) {
		assertLoad(t, `{"KeyValue":{"Address":"localhost:1"}}`, "KeyValue.Address")
	})
	t.Run("refuses a duplicate id", func(t *testing.T) {
		assertLoad(t, `{"Engines":[{"ID":"e","DataCentre":"a","Address":"127.0.0.1:0"},{"ID":"e","DataCentre":"a","Address":"127.0.0.1:0"}]}`, "Engines[1].ID")
	})
	t.Run("refuses an unknown supply", func(t *testing.T) {
		assertLoad(t, `{"Services":[{"ID":"e","DataCentre":"a","Address":"127.0.0.1:0","Supply":"Free"}]}`, "Services[0].Supply")
	})
}
