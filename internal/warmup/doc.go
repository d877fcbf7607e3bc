// Package warmup decides which host may send how many opening packets to an upstream that
// warms up, so that all hosts together stay within its budget. The budget of an upstream
// process is divided into shares. A host may use a share while it holds the permission for
// it, which is a key in the metadata store under a lease.
//
// The package makes no calls itself. Permissions tells which call to make, and its owner
// reports the result.
package warmup
