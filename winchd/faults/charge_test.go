package faults

import (
	"testing"
	"time"
)

// holder returns the host that sent the data centre's last order.
func (s *system) holder(centre string) string {
	last := ""
	for _, order := range s.state().Orders {
		if order.DataCentre == centre {
			last = order.Holder
		}
	}
	return last
}

// judgeOrders counts orders that came from an older term than one before them.
func (s *system) judgeOrders(result *row) {
	highest := map[string]int64{}
	for _, order := range s.state().Orders {
		result.runs++
		if order.FencingNumber < highest[order.DataCentre] {
			result.violate("data centre %s got an order of term %d after one of term %d, verdict %s",
				order.DataCentre, order.FencingNumber, highest[order.DataCentre], order.Verdict)
		}
		highest[order.DataCentre] = max(highest[order.DataCentre], order.FencingNumber)
	}
}

func (s *system) waitOrder(centre, not string) {
	s.t.Helper()
	s.waitFor("an order in "+centre, func() bool {
		holder := s.holder(centre)
		return holder != "" && holder != not
	})
}

// resize makes the holders order another number of endpoints.
func (s *system) resize(id string, least int) {
	pools := []jsonObject{}
	for _, centre := range s.centres {
		pools = append(pools, jsonObject{
			"ID": "pool-" + centre, "DataCentre": centre, "Model": model, "Classes": []string{"urgent", "batch"},
			"Supply": "Cheap", "Min": least, "Max": least + 1, "SlotLimit": 16, "ChecksFencing": centre == "a",
		})
	}
	for _, h := range s.hosts {
		if h.process.running() && s.get(h, "/operator/hosts", nil) == nil {
			s.apply(h, jsonObject{"ID": id, "Changed": jsonObject{"Pools": pools}})
			return
		}
	}
}

func TestFaultsInCharge(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "orders never come from two hosts that both believe they are in charge", faults: "holders frozen and woken after a successor took over, with receivers that check numbers and that ignore them"}
	for _, centre := range s.centres {
		s.waitOrder(centre, "")
	}
	frozen := map[string]*host{}
	for _, centre := range s.centres {
		frozen[centre] = s.host(s.holder(centre))
	}
	s.resize("grow", 2)
	for _, h := range frozen {
		h.process.freeze()
	}
	for centre, h := range frozen {
		s.waitOrder(centre, h.id)
	}
	for _, h := range frozen {
		h.process.thaw()
	}
	s.resize("shrink", 1)
	s.waitFor("orders after the wake", func() bool { return len(s.state().Orders) >= 9 })
	s.judgeOrders(result)
	result.check(t)
}

func TestFaultsHolderKilled(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "a duty moves within seconds of a kill, without a storm on the platform", faults: "holder killed"}
	s.waitOrder("b", "")
	killed := s.host(s.holder("b"))
	before := s.state().Calls["keyvalue"]
	killed.process.kill()
	s.resize("grow", 2)
	started := time.Now()
	s.waitOrder("b", killed.id)
	took := time.Since(started)
	calls := int64(0)
	for kind, count := range s.state().Calls["keyvalue"] {
		calls += count - before[kind]
	}
	t.Logf("moved in %s with %d calls to the key-value service", took, calls)
	if took > 10*time.Second {
		result.violate("the duty moved after %s", took)
	}
	if rate := float64(calls) / took.Seconds(); rate > 200 {
		result.violate("%.0f calls a second to the key-value service", rate)
	}
	s.judgeOrders(result)
	result.check(t)
}
