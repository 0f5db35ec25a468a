package faults

import (
	"context"
	"testing"
)

// poolVersions returns the model versions that the ready endpoints of the pool have loaded.
func (s *system) poolVersions(h *host, pool string) []string {
	response := struct {
		Endpoints []struct{ ID, Pool, Address, State string }
	}{}
	if s.get(h, "/operator/endpoints", &response) != nil {
		return nil
	}
	versions := []string{}
	for _, endpoint := range response.Endpoints {
		if endpoint.Pool != pool || endpoint.State != "Ready" {
			continue
		}
		load := struct {
			Models []struct{ Model, Version string }
		}{}
		if s.client(endpoint.Address, "").Fetch(context.Background(), "/v1/load", &load) != nil {
			continue
		}
		for _, loaded := range load.Models {
			versions = append(versions, loaded.Version)
		}
	}
	return versions
}

func TestFaultsEngineOrders(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "engines load the models of the configuration, by orders of the lease holder", faults: "lease holder killed when the version changes", runs: 1}
	s.waitForOrder("b", "")
	s.waitFor("an endpoint of the pool", func() bool {
		return len(s.poolVersions(s.host("a-1"), "pool-a")) > 0 || len(s.poolVersions(s.host("b-1"), "pool-b")) > 0
	})
	holder := s.host(s.orderHolder("b"))
	other := s.host("b-1")
	if holder == other {
		other = s.host("b-2")
	}
	s.apply(other, jsonObject{"ID": "roll", "Changed": jsonObject{"Pools": []jsonObject{{
		"ID": "pool-b", "DataCentre": "b", "Model": model, "Version": "2", "Classes": []string{"urgent", "batch"},
		"Supply": "Cheap", "Min": 1, "Max": 2, "SlotLimit": 16,
	}}}})
	holder.process.kill()
	s.waitFor("the pool to load version 2", func() bool {
		versions := s.poolVersions(other, "pool-b")
		for _, version := range versions {
			if version != "2" {
				return false
			}
		}
		return len(versions) > 0
	})
	s.checkOrders(result)
	result.check(t)
}
