// Package soak runs edge hosts as processes on loopback and injects random faults
// from outside. It checks the guarantees of the load balancer, called promises in
// the report, by what callers and upstreams observe.
package soak
