package dependency

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

func TestLoggedLines(t *testing.T) {
	log := &bytes.Buffer{}
	d := New("store", hclog.New(&hclog.LoggerOptions{Output: log, JSONFormat: true}), 1, 2)
	d.Note(nil)
	d.Note(context.Canceled)
	assert.Equal(t, log.Len(), 0)
	for range warnEvery + 1 {
		d.Note(errors.New("unavailable"))
	}
	assert.Equal(t, strings.Count(log.String(), "store: call failed"), 2, "at the first failure, and then once per warnEvery failures")
	d.Note(nil)
	d.Note(nil)
	assert.Equal(t, strings.Count(log.String(), "store recovered"), 1)
}
