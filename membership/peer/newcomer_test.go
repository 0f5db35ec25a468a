package peer

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/arbutuswinch/winch"
)

// growingList is a host list to which hosts are added.
type growingList struct {
	mu    sync.Mutex
	hosts []winch.Host
}

func (l *growingList) List(context.Context) ([]winch.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]winch.Host(nil), l.hosts...), nil
}

// startListed starts a host that is added to the list, with the default intervals.
func startListed(t *testing.T, list *growingList, id winch.HostID) *Table {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	host := winch.Host{ID: id, DataCentre: "a", PeerAddress: server.Listener.Addr().String()}
	table := NewTable(host, nil, 1500*time.Millisecond, time.Minute)
	exchange, err := New(Options{Table: table, Hosts: list, Clock: wallClock{}, Logger: hclog.NewNullLogger()})
	assert.NilError(t, err)
	server.Config.Handler = exchange.Handler()
	server.Start()
	t.Cleanup(server.Close)
	list.mu.Lock()
	list.hosts = append(list.hosts, host)
	list.mu.Unlock()
	go func() { _ = exchange.Run(t.Context()) }()
	return table
}

// highestRanked returns a new ID that ranks before the hosts as the hub.
func highestRanked(hosts []winch.Host) winch.HostID {
	for i := 0; ; i++ {
		newcomer := winch.Host{ID: winch.HostID(fmt.Sprint("new-", i))}
		if hub, _ := highestWeight(append([]winch.Host{newcomer}, hosts...), "hub/a"); strings.HasPrefix(string(hub.ID), "new-") {
			return newcomer.ID
		}
	}
}

func TestNewHostThatBecomesTheHubIsKnownToTheOthersInTime(t *testing.T) {
	t.Parallel()
	// The time after which hosts that run count as in touch.
	const stable = 3 * time.Second
	list := &growingList{}
	tables := []*Table{startListed(t, list, "h-0"), startListed(t, list, "h-1"), startListed(t, list, "h-2")}
	// The hosts have read the list by then, and read it again after defaultListEvery.
	<-time.After(1200 * time.Millisecond)
	id := highestRanked(list.hosts)
	tables = append(tables, startListed(t, list, id))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, table := range tables {
			if hub, _ := table.Hub(time.Now(), "a"); hub.ID != id {
				return poll.Continue("for %s the hub is %s", table.Self().ID, hub.ID)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(stable), poll.WithDelay(20*time.Millisecond))
}
