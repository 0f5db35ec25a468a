package audit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// entry writes a log line of host h1 at the second given.
func entry(event winch.EventNumber, second int, request string, tier int, more string) string {
	at := time.Unix(int64(1000+second), 0).UTC().Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"@message":"m","Event":%d,"At":%q,"Host":"h1","DataCentre":"a","Request":%q,"Class":"tier%d","Tier":%d,"Group":"model/m"%s}`,
		event, at, request, tier, tier, more)
}

func check(t *testing.T, entries ...string) Report {
	t.Helper()
	lines, err := Read(strings.NewReader("not JSON\n" + strings.Join(entries, "\n")))
	assert.NilError(t, err)
	return Check(lines, Settings{Notice: 3 * time.Second, Starvation: 30 * time.Second})
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
	served := entry(routed, 0, "r0", 1, onE1)
	low := entry(routed, 1, "low", 3, onE1)
	t.Run("finds lower work that ran unknown to the host", func(t *testing.T) {
		assertOnly(t, check(t, served, low, entry(refused, 2, "high", 1, `,"Reason":"predicted_wait"`)), KindShedTrue)
	})
	t.Run("finds lower work that the host knew of", func(t *testing.T) {
		report := check(t, served, low, entry(refused, 2, "high", 1, `,"Reason":"predicted_wait","LowerRunning":1`))
		assertOnly(t, report, KindShedTrue, KindShedKnown)
	})
	t.Run("finds a place in a full queue that lower work held", func(t *testing.T) {
		assertOnly(t, check(t, entry(refused, 2, "high", 1, `,"Reason":"queue_full","LowerQueued":2`)), KindShedKnown)
	})
	t.Run("allows a refusal when lower work is going already", func(t *testing.T) {
		asked := entry(preempted, 1, "low", 1, `,"VictimTier":3`)
		assertOnly(t, check(t, served, low, asked, entry(refused, 2, "high", 1, "")))
	})
	t.Run("allows a refusal when lower work ended", func(t *testing.T) {
		assertOnly(t, check(t, served, low, entry(released, 2, "low", 3, ""), entry(refused, 3, "high", 1, "")))
	})
	t.Run("allows a refusal when only a floor is held", func(t *testing.T) {
		floor := entry(routed, 1, "low", 3, onE1+`,"Floor":true`)
		assertOnly(t, check(t, served, floor, entry(refused, 2, "high", 1, "")))
	})
	t.Run("allows a refusal of the lower tier", func(t *testing.T) {
		assertOnly(t, check(t, served, low, entry(refused, 2, "low2", 3, "")))
	})
}

func TestOtherRules(t *testing.T) {
	t.Run("finds a preemption for a lower tier", func(t *testing.T) {
		assertOnly(t, check(t, entry(preempted, 1, "high", 3, `,"VictimTier":1`)), KindPreempted)
	})
	t.Run("finds late work on a leaving endpoint", func(t *testing.T) {
		leaves := entry(leaving, 0, "", 0, `,"Endpoint":"e1"`)
		assertOnly(t, check(t, leaves, entry(routed, 2, "r1", 1, onE1), entry(routed, 9, "r2", 1, onE1)), KindLateWork)
	})
	t.Run("allows work on an endpoint that came back", func(t *testing.T) {
		leaves, back := entry(leaving, 0, "", 0, `,"Endpoint":"e1"`), entry(returned, 8, "", 0, `,"Endpoint":"e1"`)
		assertOnly(t, check(t, leaves, back, entry(routed, 9, "r2", 1, onE1)))
	})
	t.Run("finds a class that is never served", func(t *testing.T) {
		assertOnly(t, check(t, entry(queued, 0, "low", 3, ""), entry(routed, 60, "high", 1, onE1)), KindStarved)
	})
	t.Run("finds a class that is served too late", func(t *testing.T) {
		report := check(t, entry(queued, 0, "a", 3, ""), entry(queued, 1, "b", 3, ""), entry(routed, 60, "a", 3, onE1), entry(routed, 61, "b", 3, onE1))
		assertOnly(t, report, KindStarved)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(entry(routed, 1, "r", 1, onE1)))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, _, err := parse(text); err != nil {
			assert.ErrorIs(t, err, winch.ErrInvalid)
		}
	})
}
