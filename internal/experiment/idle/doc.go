// Package idle measures what entry hosts cost that forward no packets: processor time, memory,
// files, wake-ups, and the calls and bytes between hosts. The hosts are processes of a given
// daemon, so builds can be compared.
package idle
