package audit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// logLine returns a log line of host h1 at the given second.
func logLine(event winch.EventNumber, second int, request string, tier int, more string) string {
	at := time.Unix(int64(1000+second), 0).UTC().Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"@message":"m","Event":%d,"At":%q,"Host":"h1","DataCentre":"a","Request":%q,"Class":"tier%d","Tier":%d,"Group":"model/m"%s}`,
		event, at, request, tier, tier, more)
}

func check(t *testing.T, entries ...string) Report {
	t.Helper()
	lines, err := Read(strings.NewReader("not JSON\n" + strings.Join(entries, "\n")))
	assert.NilError(t, err)
	return Check(lines, Settings{LeavingGrace: 3 * time.Second, StarvationLimit: 30 * time.Second})
}

func assertOnly(t *testing.T, report Report, kinds ...Kind) {
	t.Helper()
	assert.Equal(t, len(report.Violations), len(kinds), "%v", report.Violations)
	for _, kind := range kinds {
		assert.Equal(t, report.Count(kind), 1, "%v", report.Violations)
	}
}

const onE1 = `,"Endpoint":"e1","Movable":true`

func TestShedding(t *testing.T) {
	// Shows the audit that endpoint e1 serves class tier1. The request is not released.
	served := logLine(eventRouted, 0, "r0", 1, onE1)
	low := logLine(eventRouted, 1, "low", 3, onE1)
	t.Run("reports lower-tier work that the host did not know of", func(t *testing.T) {
		assertOnly(t, check(t, served, low, logLine(eventRefused, 2, "high", 1, `,"Reason":"predicted_wait"`)), KindAvoidableRefusal)
	})
	t.Run("reports lower-tier work that the host knew of", func(t *testing.T) {
		report := check(t, served, low, logLine(eventRefused, 2, "high", 1, `,"Reason":"predicted_wait","LowerRunning":1`))
		assertOnly(t, report, KindAvoidableRefusal, KindKnownAvoidableRefusal)
	})
	t.Run("reports a full queue that held lower-tier requests", func(t *testing.T) {
		assertOnly(t, check(t, logLine(eventRefused, 2, "high", 1, `,"Reason":"queue_full","LowerQueued":2`)), KindKnownAvoidableRefusal)
	})
	t.Run("allows a refusal when the lower-tier work was already preempted", func(t *testing.T) {
		asked := logLine(eventPreempted, 1, "low", 1, `,"VictimTier":3`)
		assertOnly(t, check(t, served, low, asked, logLine(eventRefused, 2, "high", 1, "")))
	})
	t.Run("allows a refusal when the lower-tier work has ended", func(t *testing.T) {
		assertOnly(t, check(t, served, low, logLine(eventReleased, 2, "low", 3, ""), logLine(eventRefused, 3, "high", 1, "")))
	})
	t.Run("allows a refusal when only a floor's slots are in use", func(t *testing.T) {
		floor := logLine(eventRouted, 1, "low", 3, onE1+`,"Floor":true`)
		assertOnly(t, check(t, served, floor, logLine(eventRefused, 2, "high", 1, "")))
	})
	t.Run("allows a refusal of the lower tier", func(t *testing.T) {
		assertOnly(t, check(t, served, low, logLine(eventRefused, 2, "low2", 3, "")))
	})
}

func TestOtherRules(t *testing.T) {
	t.Run("reports a preemption for a lower tier", func(t *testing.T) {
		assertOnly(t, check(t, logLine(eventPreempted, 1, "high", 3, `,"VictimTier":1`)), KindInvalidPreemption)
	})
	t.Run("reports a request sent to a leaving endpoint after the notice", func(t *testing.T) {
		leaves := logLine(eventEndpointLeaving, 0, "", 0, `,"Endpoint":"e1"`)
		assertOnly(t, check(t, leaves, logLine(eventRouted, 2, "r1", 1, onE1), logLine(eventRouted, 9, "r2", 1, onE1)), KindSentToLeaving)
	})
	t.Run("allows requests on an endpoint that is back in service", func(t *testing.T) {
		leaves, back := logLine(eventEndpointLeaving, 0, "", 0, `,"Endpoint":"e1"`), logLine(eventEndpointReturned, 8, "", 0, `,"Endpoint":"e1"`)
		assertOnly(t, check(t, leaves, back, logLine(eventRouted, 9, "r2", 1, onE1)))
	})
	t.Run("reports a class that is never served", func(t *testing.T) {
		assertOnly(t, check(t, logLine(eventQueued, 0, "low", 3, ""), logLine(eventRouted, 60, "high", 1, onE1)), KindStarved)
	})
	t.Run("reports a class that is served too late", func(t *testing.T) {
		report := check(t, logLine(eventQueued, 0, "a", 3, ""), logLine(eventQueued, 1, "b", 3, ""), logLine(eventRouted, 60, "a", 3, onE1), logLine(eventRouted, 61, "b", 3, onE1))
		assertOnly(t, report, KindStarved)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(logLine(eventRouted, 1, "r", 1, onE1)))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, _, err := parse(text); err != nil {
			assert.ErrorIs(t, err, winch.ErrInvalid)
		}
	})
}
