// Package lag simulates the feeds of many hosts in virtual time. It measures how far each
// host is behind what other hosts know while some of their sources fail.
//
// The feeds and catalogs are those that hosts run. The store, the calls between hosts and
// the faults are simulated.
package lag
