package forwarder

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/platform/platformtest"
)

func TestOddEntriesOfTheListEndNoHostAndHideNoEndpoint(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	hosts := []*hostProcess{p.newHost("h-0"), p.newHost("h-1"), p.newHost("h-2")}
	assertServes(t, hosts)
	for name, value := range platformtest.OddEntries() {
		p.store.Set(platformtest.EndpointPrefix+"odd-"+name, []byte(value))
	}
	// An entry turns odd while its endpoint serves, and the other endpoint leaves. The new one is all that is left.
	p.store.Set(platformtest.EndpointPrefix+"i-0", []byte(platformtest.OddEntries()["slots"]))
	latest := platformtest.NewEndpoint("i-new")
	assert.NilError(t, p.store.Register("i-new", "desk", "a", serve(t, latest), 8))
	p.store.Remove(platformtest.EndpointPrefix + "i-1")
	for i, h := range hosts {
		before := latest.Ran()
		waitFor(t, 5*time.Second, "the host to use the new endpoint", func() bool {
			return h.request("/desk/x", "k1") == http.StatusOK && latest.Ran() > before
		})
		served := 0
		for range 20 {
			if h.request("/desk/x", "k1") == http.StatusOK {
				served++
			}
		}
		assert.Assert(t, served >= 19, "host %d: %d of 20 requests served", i, served)
		assert.Assert(t, h.isReady() && h.command.ProcessState == nil, "host %d has ended or is not ready", i)
	}
}
