package faults

import (
	"testing"
	"time"
)

// orderHolder returns the host that sent the data centre's last order.
func (s *system) orderHolder(centre string) string {
	last := ""
	for _, order := range s.state().Orders {
		if order.DataCentre == centre {
			last = order.Holder
		}
	}
	return last
}

// checkOrders adds a violation for each order of an older term that arrived after one of a newer term.
func (s *system) checkOrders(result *row) {
	highest := map[string]int64{}
	for _, order := range s.state().Orders {
		result.runs++
		if order.FencingNumber < highest[order.DataCentre] {
			result.addViolation("data centre %s got an order of term %d after one of term %d, verdict %s",
				order.DataCentre, order.FencingNumber, highest[order.DataCentre], order.Verdict)
		}
		highest[order.DataCentre] = max(highest[order.DataCentre], order.FencingNumber)
	}
}

func (s *system) waitForOrder(centre, exclude string) {
	s.t.Helper()
	s.waitFor("an order in "+centre, func() bool {
		holder := s.orderHolder(centre)
		return holder != "" && holder != exclude
	})
}

// resize changes the pool limits, so that the lease holders order a different number of endpoints. The note is
// sent to the first host that responds.
func (s *system) resize(id string, minimum int) {
	pools := []jsonObject{}
	for _, centre := range s.centres {
		pools = append(pools, jsonObject{
			"ID": "pool-" + centre, "DataCentre": centre, "Model": model, "Classes": []string{"urgent", "batch"},
			"Supply": "Cheap", "Min": minimum, "Max": minimum + 1, "SlotLimit": 16, "ChecksFencing": centre == "a",
		})
	}
	for _, h := range s.hosts {
		if h.process.running() && s.get(h, "/operator/hosts", nil) == nil {
			s.apply(h, jsonObject{"ID": id, "Changed": jsonObject{"Pools": pools}})
			return
		}
	}
}

func TestFaultsFrozenHolders(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "orders never come from two hosts that both act as lease holder", faults: "holders frozen, and resumed after a successor took over; receivers with and without fencing checks"}
	for _, centre := range s.centres {
		s.waitForOrder(centre, "")
	}
	frozen := map[string]*host{}
	for _, centre := range s.centres {
		frozen[centre] = s.host(s.orderHolder(centre))
	}
	s.resize("grow", 2)
	for _, h := range frozen {
		h.process.freeze()
	}
	for centre, h := range frozen {
		s.waitForOrder(centre, h.id)
	}
	for _, h := range frozen {
		h.process.thaw()
	}
	s.resize("shrink", 1)
	// Each data centre gets an order before the freeze, one of the successor and one after the resume.
	s.waitFor("orders after the holders were resumed", func() bool { return len(s.state().Orders) >= 9 })
	s.checkOrders(result)
	result.check(t)
}

func TestFaultsHolderKilled(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "a duty moves to another host within seconds of a kill, without overloading the platform", faults: "holder killed"}
	s.waitForOrder("b", "")
	killed := s.host(s.orderHolder("b"))
	before := s.state().Calls["keyvalue"]
	killed.process.kill()
	s.resize("grow", 2)
	started := time.Now()
	s.waitForOrder("b", killed.id)
	took := time.Since(started)
	calls := int64(0)
	for kind, count := range s.state().Calls["keyvalue"] {
		calls += count - before[kind]
	}
	t.Logf("the duty moved after %s, with %d calls to the key-value service", took, calls)
	if took > 10*time.Second {
		result.addViolation("the duty moved after %s", took)
	}
	if rate := float64(calls) / took.Seconds(); rate > 200 {
		result.addViolation("%.0f calls per second to the key-value service", rate)
	}
	s.checkOrders(result)
	result.check(t)
}
