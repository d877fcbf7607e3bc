// Package echo routes the packets of flows to upstreams by a token that both ends
// of a flow echo. The token identifies the upstream, so any host can forward any
// packet of an open flow without per-flow state. Flow records serve only to open
// flows, to estimate the load of upstreams and to detect failed upstreams; no open
// flow breaks if they are lost.
package echo
