package faults

import (
	"context"
	"testing"
)

// poolVersions returns the version of the model that each ready endpoint of the pool holds.
func (s *system) poolVersions(h *host, pool string) []string {
	answer := struct {
		Endpoints []struct{ ID, Pool, Address, State string }
	}{}
	if s.get(h, "/operator/endpoints", &answer) != nil {
		return nil
	}
	versions := []string{}
	for _, endpoint := range answer.Endpoints {
		if endpoint.Pool != pool || endpoint.State != "Ready" {
			continue
		}
		load := struct {
			Models []struct{ Model, Version string }
		}{}
		if s.client(endpoint.Address, "").Fetch(context.Background(), "/v1/load", &load) != nil {
			continue
		}
		for _, held := range load.Models {
			versions = append(versions, held.Version)
		}
	}
	return versions
}

func TestFaultsEngineOrders(t *testing.T) {
	s := startSystem(t, nil)
	s.applyBase()
	result := &row{promise: "engines come to hold what the configuration says, by orders of the host in charge", faults: "holder killed when the version changes", runs: 1}
	s.waitOrder("b", "")
	s.waitFor("an endpoint of the pool", func() bool {
		return len(s.poolVersions(s.host("a-1"), "pool-a")) > 0 || len(s.poolVersions(s.host("b-1"), "pool-b")) > 0
	})
	holder := s.host(s.holder("b"))
	other := s.host("b-1")
	if holder == other {
		other = s.host("b-2")
	}
	s.apply(other, jsonObject{"ID": "roll", "Changed": jsonObject{"Pools": []jsonObject{{
		"ID": "pool-b", "DataCentre": "b", "Model": model, "Version": "2", "Classes": []string{"urgent", "batch"},
		"Supply": "Cheap", "Min": 1, "Max": 2, "SlotLimit": 16,
	}}}})
	holder.process.kill()
	s.waitFor("the pool holds version 2", func() bool {
		versions := s.poolVersions(other, "pool-b")
		for _, version := range versions {
			if version != "2" {
				return false
			}
		}
		return len(versions) > 0
	})
	s.judgeOrders(result)
	result.check(t)
}
