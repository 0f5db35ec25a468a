package settings

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const valid = `{
	"Host": "a-1", "DataCentre": "centre-a", "DataCentres": ["centre-a", "centre-b"],
	"Caller": {"Address": "127.0.0.1:8080"},
	"Peer": {"Address": "127.0.0.1:8081", "Secret": "peer-secret"},
	"Operator": {"Address": "127.0.0.1:8082", "Secret": "operator-secret"},
	"Platform": {"KeyValue": "127.0.0.1:7000"},
	"Release": {"FreshnessLimit": "5s"}
}`

func assertInvalid(t *testing.T, old, changed, text string) {
	t.Helper()
	_, err := Parse([]byte(strings.Replace(valid, old, changed, 1)))
	assert.ErrorIs(t, err, ErrInvalid)
	assert.ErrorContains(t, err, text)
}

func TestParse(t *testing.T) {
	t.Run("reads durations and keeps defaults", func(t *testing.T) {
		parsed, err := Parse([]byte(valid))
		assert.NilError(t, err)
		assert.Equal(t, parsed.Release.FreshnessLimit, 5*time.Second)
		assert.Equal(t, parsed.Usage.Window, time.Minute)
	})
	t.Run("names an unknown field with its path", func(t *testing.T) {
		assertInvalid(t, `"FreshnessLimit"`, `"Freshness"`, "'Release' has invalid keys: Freshness")
	})
	t.Run("names a field of another case", func(t *testing.T) {
		assertInvalid(t, `"Host"`, `"host"`, "host")
	})
	t.Run("names a bad duration", func(t *testing.T) {
		assertInvalid(t, `"5s"`, `"5 apples"`, "Release.FreshnessLimit")
	})
	t.Run("names a negative duration", func(t *testing.T) {
		assertInvalid(t, `"5s"`, `"-5s"`, "Release.FreshnessLimit: must be positive")
	})
	t.Run("refuses host names in addresses", func(t *testing.T) {
		assertInvalid(t, `127.0.0.1:7000`, `platform:7000`, "Platform.KeyValue: must be an IP number and a port")
	})
	t.Run("refuses short secrets", func(t *testing.T) {
		assertInvalid(t, `peer-secret`, `x`, "Peer.Secret")
	})
	t.Run("refuses a data centre outside the list", func(t *testing.T) {
		assertInvalid(t, `"DataCentre": "centre-a"`, `"DataCentre": "centre-x"`, "DataCentres: must contain")
	})
	t.Run("refuses what is not JSON", func(t *testing.T) {
		assertInvalid(t, `{`, ``, "invalid")
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"Release": {"FreshnessLimit": 5}}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := Parse(content)
		if err == nil {
			assert.Assert(t, parsed.Host != "")
		}
	})
}
