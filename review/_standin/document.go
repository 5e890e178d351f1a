package main

import "time"

const (
	bodyBytes = 4 << 20 // limits.max_body_bytes of the configuration
	// contact is contact_ms; lostAllowed is what the rule LOST allows.
	contact      = 3 * time.Second
	lostAllowed  = 3
	restartDelay = 500 * time.Millisecond
	key          = "i9n73hh2b9wu3fexd9dn"
)

// document returns a configuration with one route, one service and one tenant.
func document(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-book", "host": "ficu95.example", "path_prefix": "/puxa403/", "type": "unsafe", "timeout_ms": 5000, "slo_ms": 1000, "priority": 2, "backend": "desk", "max_attempts": 1, "public": false},
		},
		"backends": []map[string]any{{"name": "desk", "health_path": "/healthz", "max_conns": 130, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}
