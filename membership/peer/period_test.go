package peer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// largeTable returns a table with the given number of hosts in its own data centre and the
// given number of data centres.
func largeTable(hosts, centres int) *Table {
	table := newTable()
	for i := 2; i <= hosts; i++ {
		table.RecordAlive(epoch, host(fmt.Sprintf("a-%d", i), "a"), 0)
	}
	for i := 2; i <= centres; i++ {
		table.RecordAlive(epoch, host(fmt.Sprintf("c%d-1", i), string(rune('a'+i-1))), 0)
	}
	return table
}

func assertSuspected(t *testing.T, table *Table, centre winch.DataCentreID, after time.Duration) {
	t.Helper()
	own := 0
	if centre == table.self.DataCentre {
		own = 1
	}
	assert.Assert(t, len(table.Hosts(epoch.Add(after-1), centre)) > own)
	assert.Equal(t, len(table.Hosts(epoch.Add(after), centre)), own)
}

func TestPeriodFactors(t *testing.T) {
	t.Run("periods are unchanged with few hosts and data centres", func(t *testing.T) {
		table := largeTable(20, 4)
		assert.Equal(t, table.ExchangeFactor(), 1.0)
		assert.Equal(t, table.DigestFactor(), 1.0)
		assertSuspected(t, table, "a", suspectAfter)
		assertSuspected(t, table, "b", suspectAfter)
	})
	t.Run("exchange period and suspect timeout grow with the hosts", func(t *testing.T) {
		table := largeTable(30, 2)
		assert.Equal(t, table.ExchangeFactor(), 1.5)
		assertSuspected(t, table, "a", suspectAfter*3/2)
		assert.Equal(t, largeTable(200, 2).ExchangeFactor(), 2.0)
	})
	t.Run("digest period and suspect timeout grow with the data centres", func(t *testing.T) {
		table := largeTable(2, 9)
		assert.Equal(t, table.DigestFactor(), 1.5)
		assertSuspected(t, table, "a", suspectAfter)
		assertSuspected(t, table, "b", suspectAfter*3/2)
	})
	t.Run("hosts count until they are removed", func(t *testing.T) {
		table := largeTable(40, 2)
		late := epoch.Add(forgetAfter / 2)
		assert.Equal(t, len(table.Hosts(late, "a")), 1)
		assert.Equal(t, table.ExchangeFactor(), 2.0)
		table.ApplyHostList(epoch.Add(2*forgetAfter), nil)
		assert.Equal(t, table.ExchangeFactor(), 1.0)
	})
}
