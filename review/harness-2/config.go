package main

import "encoding/json"

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service   string
	timeoutMS, targetMS, attempts int
}

func (r route) encode() map[string]any {
	return map[string]any{
		"name": r.name, "host": "a.example", "prefix": r.prefix, "type": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": r.targetMS, "priority": 2,
		"service": r.service, "max_attempts": r.attempts, page("{exempt}"): false, page("{sticky}"): false, page("{resume}"): false, "gap_target_ms": 0,
	}
}

// tenant is a tenant of a configuration, with one key.
type tenant struct {
	name, key string
	priority  int
}

func (t tenant) encode() map[string]any {
	return map[string]any{"name": t.name, page("{keys}"): []string{t.key}, "priority": t.priority}
}

// configuration returns a configuration with one service as the operator writes it.
func configuration(version int, routes []route, service string, tenants []tenant) []byte {
	encodedRoutes, encodedTenants := []any{}, []any{}
	for _, r := range routes {
		encodedRoutes = append(encodedRoutes, r.encode())
	}
	for _, t := range tenants {
		encodedTenants = append(encodedTenants, t.encode())
	}
	encoded, err := json.Marshal(map[string]any{
		"version": version, "routes": encodedRoutes, "tenants": encodedTenants,
		"services": []any{map[string]any{"name": service, "max_connections": 96, "health_path": "/healthz"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	check(err)
	return encoded
}

// safe returns a route whose requests may be repeated, once one whose requests may not.
func safe(name, prefix, service string) route {
	return route{name: name, prefix: prefix, kind: "idempotent", service: service, timeoutMS: 4000, targetMS: 300, attempts: 2}
}

func once(name, prefix, service string) route {
	r := safe(name, prefix, service)
	r.kind, r.attempts = "non_idempotent", 1
	return r
}
