// Package corecheck checks in its tests that the core packages are deterministic: that
// they perform no I/O and use neither the wall clock nor a global source of randomness.
package corecheck

// CorePackages lists the directories under internal whose packages must be deterministic.
// Each must exist and have a source file.
var CorePackages = []string{
	"admission", "catalog", "config", "configcheck", "evidence", "experiment", "experiment/lag", "feed", "flow/echo", "flow", "health", "host", "limit", "slottable",
	"membership", "packet", "publish", "service", "snapshot", "ticket", "warmup",
}
