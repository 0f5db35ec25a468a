package forwarder

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/platform/store"
	"github.com/arbutuswinch/winch/winchd/settings"
)

const (
	secretEntry = "peers/secret"
	// agreeLimit is the time within which all hosts accept the stored secret.
	agreeLimit = 5 * time.Second
)

// storedSecret returns the secret that the store has, or an empty string.
func (p *simulatedPlatform) storedSecret() string {
	p.t.Helper()
	client, err := store.New(store.Options{Address: p.addressOfStore()})
	assert.NilError(p.t, err)
	entry, err := client.Get(p.t.Context(), secretEntry)
	if err != nil {
		return ""
	}
	return string(entry.Value)
}

// accepts reports whether the host serves calls of other hosts that have the secret.
func (h *hostProcess) accepts(secret string) bool {
	h.platform.t.Helper()
	encoded, err := os.ReadFile(h.path)
	assert.NilError(h.platform.t, err)
	loaded := settings.Forwarding{}
	assert.NilError(h.platform.t, json.Unmarshal(encoded, &struct{ Peer *settings.ForwardingPeer }{&loaded.Peer}))
	request, err := http.NewRequestWithContext(h.platform.t.Context(), http.MethodGet, "http://"+loaded.Peer.Address+"/peer/none", http.NoBody)
	assert.NilError(h.platform.t, err)
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNotFound
}

func TestHostsTalkAfterTheStoreCameBackWithoutTheirSecret(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	older := p.store.Backup()
	running := p.newHost("a")
	waitFor(t, startLimit, "a secret", func() bool { return p.store.Has(secretEntry) && running.accepts(p.storedSecret()) })
	p.store.Return(older)
	begun := p.newHost("b")
	waitFor(t, startLimit, "the new process to use a secret", func() bool { return p.store.Has(secretEntry) && begun.accepts(p.storedSecret()) })
	waitFor(t, agreeLimit, "the running process to use the stored secret", func() bool { return running.accepts(p.storedSecret()) })
	t.Run("and if it is restored later", func(t *testing.T) {
		p.store.Set(secretEntry, []byte("another-secret-of-the-hosts"))
		third := p.newHost("c")
		for _, host := range []*hostProcess{running, begun, third} {
			waitFor(t, agreeLimit, "the stored secret", func() bool { return host.accepts(p.storedSecret()) })
		}
	})
}
