// Package experiment compares policies for choosing upstreams. It runs patterns
// of load and faults as a discrete-event simulation in virtual time, without a
// network. It models callers with flows, retries and deadlines, upstreams with
// slots and queues, and hosts that run the flow engine of package echo.
package experiment
