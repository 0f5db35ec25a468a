package winch_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// platformWords are names of the platform's protocols, which only the platform adapter may use.
var platformWords = regexp.MustCompile(strings.Join([]string{
	"Attempt-Id", "Deadline-Ms", "Prompt-Prefix", "Token-Count", "Response-Signature", "Expect-Instance", "Runner-(Load|Id)",
	"Not-Executed", "Request-Urgency", "Weight-Versions", "Duty-Holder", "Fencing-Token", "Kv-(Fetch|From|Backup)", "Pin-Ms",
	"/kv-(key|range|watch|txn|lease|keep)", "op/config", `"servers/`, "api_keys", "auth_exempt", "traffic_split", "sticky_sessions",
	"stream_resume", "leaves_ms", `"usage_report"`, `"autoscale"`, "window_id", "zone_prices", "spot_price",
}, "|"))

// TestPlatformWords verifies that only the platform folder uses the platform's names.
func TestPlatformWords(t *testing.T) {
	platformMatches := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || path == "platform_words_test.go" {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		found := platformWords.FindAllString(string(content), -1)
		if strings.HasPrefix(path, "platform"+string(filepath.Separator)) {
			platformMatches += len(found)
			return nil
		}
		assert.Assert(t, len(found) == 0, "%s contains platform names: %v", path, found)
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, platformMatches > 0, "the pattern matches nothing in the platform folder")
}
