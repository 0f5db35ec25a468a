package main

import (
	"encoding/json"
)

type route struct {
	Name           string  `json:"name"`
	Host           string  `json:"host"`
	Prefix         string  `json:"prefix"`
	Type           string  `json:"type"`
	TimeoutMS      int     `json:"timeout_ms"`
	TargetMS       int     `json:"target_latency_ms"`
	Priority       int     `json:"priority"`
	Service        string  `json:"service,omitempty"`
	Split          []split `json:"traffic_split,omitempty"`
	MaxAttempts    int     `json:"max_attempts"`
	AuthExempt     bool    `json:"auth_exempt"`
	StickySessions bool    `json:"sticky_sessions"`
	StreamResume   bool    `json:"stream_resume"`
	GapTargetMS    int     `json:"gap_target_ms"`
}

type split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// configuration returns a configuration as the operator writes it.
func configuration(version int, routes []route, services []string, tenants []tenant) []byte {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "max_connections": 96, "health_path": "/healthz"})
	}
	encoded, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	check(err)
	return encoded
}

func safe(name, prefix, service string) route {
	return route{Name: name, Host: "a.example", Prefix: prefix, Type: "idempotent", TimeoutMS: 4000, TargetMS: 300, Priority: 2, Service: service, MaxAttempts: 2}
}

func once(name, prefix, service string) route {
	r := safe(name, prefix, service)
	r.Type, r.MaxAttempts = "non_idempotent", 1
	return r
}

func stream(name, prefix, service string, resume bool) route {
	r := safe(name, prefix, service)
	r.Type, r.StreamResume, r.GapTargetMS, r.TimeoutMS = "streaming", resume, 300, 15000
	return r
}

var tenants = []tenant{{Name: "one", Keys: []string{"k1"}, Priority: 1}, {Name: "two", Keys: []string{"k2"}, Priority: 2}}
