package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// bulletinClasses is a load of spoken bulletins, summaries whose first token is due nearly as soon, and long briefs. All hosts together
// send 65, 210 and 144 a second.
var bulletinClasses = []fleetClass{
	{
		id: "bulletin", tier: 1, target: 600 * time.Millisecond, interToken: 500 * time.Millisecond, deadline: 15 * time.Second,
		perHost: 1.08, own: 543, shared: 172, subjects: 300, output: 280,
	},
	{
		id: "summary", tier: 2, target: 800 * time.Millisecond, interToken: 800 * time.Millisecond, deadline: 3 * time.Second,
		perHost: 3.5, own: 1800, shared: 568, subjects: 500, output: 25,
	},
	{
		id: "brief", tier: 3, target: 2500 * time.Millisecond, interToken: 2 * time.Second, deadline: 5 * time.Second,
		perHost: 2.4, own: 2890, shared: 6300, subjects: 350, output: 50,
	},
}

// TestUrgentStreamsAreKeptFromPromptsOfLessUrgentClasses guards against urgent requests that endpoints reject for prompts of a class whose
// first token is due nearly as soon. It had been sent to the endpoints that are kept free of long prompts.
func TestUrgentStreamsAreKeptFromPromptsOfLessUrgentClasses(t *testing.T) {
	f := newFleetOf(bulletinClasses, 60, 48)
	f.run(16 * time.Second)
	for class, share := range map[winch.ClassID]float64{"bulletin": 0.99, "summary": 0.9, "brief": 0.5} {
		counts := f.total(class, 2, 10)
		t.Logf("%s: %+v, %.2f served", class, counts, counts.share())
		assert.Assert(t, counts.share() >= share, "%s: %d of %d served, %.2f wanted", class, counts.served, counts.sent, share)
	}
}
