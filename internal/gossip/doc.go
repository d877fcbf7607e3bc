// Package gossip carries short messages between entry hosts as datagrams: what each of them
// knows, so that a host whose source is silent learns that it is behind. Messages may be lost,
// repeated or overtaken. They are authentic but not secret, and need no connections.
package gossip
