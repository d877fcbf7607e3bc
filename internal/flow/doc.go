// Package flow decides which upstream takes each packet and keeps a flow on
// its upstream while hosts, upstreams and the configuration change.
//
// Every service has a fixed number of slots and a flow's keyed hash selects its
// slot. A plain slot sends all its flows to one default upstream, so hosts need
// no records of them. Before a flow may go elsewhere, the slot's owner makes
// every host track the slot: hosts then pass packets of flows that they have no
// record of to the owner, which alone assigns flows and records every
// assignment that differs from the default on a second host before the
// upstream sees it. A tracked slot becomes plain again when no flow in it
// differs from its new default.
package flow
