// Package flow decides which upstream receives each packet and keeps every flow
// on its upstream while hosts, upstreams and the configuration change.
//
// The flows of a service are divided among a fixed number of slots by a keyed
// hash. All flows of an untracked slot go to the slot's default upstream, so
// hosts need no records of each other's flows.
//
// The target of a slot is the upstream that the configuration and the health of
// upstreams select for its new flows. Before any of them goes to another upstream
// than the default, one host becomes the slot's owner and makes every host track
// the slot: hosts relay packets of flows without a record to the owner, which
// alone assigns upstreams. The owner has every assignment other than the default
// recorded on a second host, the backup, before the upstream sees the packet. Once
// all flows of a tracked slot are on its target, the target becomes the default
// and the slot untracked. The slots of services that prefer balance stay tracked,
// so that their owners can select the least loaded upstream for every new flow.
//
// A host becomes the owner of slots in a round: it picks a new term, collects
// the records of all members and replicates them to the backups. The state with
// the highest term is in force.
package flow
