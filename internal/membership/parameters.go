package membership

import "time"

// Timing of the protocol. A crashed host is dead in all views after at most
// contactTimeout plus the time that records take to spread.
const (
	// probeInterval is the time between probes of a host that answers.
	probeInterval = 500 * time.Millisecond
	// retryInterval is the time between probes of a host that does not answer.
	retryInterval = 200 * time.Millisecond
	// contactTimeout is how long a contact lasts after the last sign of life.
	contactTimeout = 1800 * time.Millisecond
	// gossipInterval is the minimum time between two record messages to one host and
	// the maximum time for which a record is held back to be sent together with others.
	// A host that learns the record from another host in the meantime is not sent it
	// again.
	gossipInterval = 50 * time.Millisecond
	// newContactPublishDelay is how long new contacts with members that are already
	// reachable are collected before they are published together.
	newContactPublishDelay = time.Second
	// lostContactPublishDelay is how long lost contacts are collected before they are
	// published together.
	lostContactPublishDelay = 50 * time.Millisecond
	// retargetDelay is how long changes in the set of reachable members are collected
	// before the probe targets are recomputed.
	retargetDelay = 300 * time.Millisecond
	// updateInterval is the minimum time between two computations of the view, whose
	// processor time is proportional to the cluster size.
	updateInterval = 20 * time.Millisecond
	// temporaryProbeTime is how long a former probe target is still probed, so that new
	// contacts exist before old ones end, and how long a host that answered a join
	// attempt is probed.
	temporaryProbeTime = 3 * time.Second
	// joinInterval is the mean time between attempts to join hosts outside the view.
	joinInterval = 2 * time.Second
	// isolatedJoinInterval replaces joinInterval while this host probes no other host.
	isolatedJoinInterval = 500 * time.Millisecond
	// syncDelay is how long the summaries of two hosts must differ before they sync
	// their records one by one.
	syncDelay = 1500 * time.Millisecond
	// syncInterval is the minimum time between two syncs.
	syncInterval = 5 * time.Second
	// startupSyncInterval replaces syncInterval during the first startupPeriod of a
	// process.
	startupSyncInterval = time.Second
	startupPeriod       = 10 * time.Second
	// deadRetention is how long a dead host stays in the view and its address is used
	// for join attempts.
	deadRetention = time.Hour
	// cleanupInterval is the time between removals of hosts whose deadRetention has
	// passed.
	cleanupInterval = 10 * time.Second
	// pauseThreshold is the time between two steps above which this process is taken to
	// have been paused.
	pauseThreshold = time.Second
)

// Limits on messages and on the hosts with which one host exchanges them.
const (
	// localRings and globalRings are the numbers of rings within this host's data
	// centre and over all hosts. A host probes its successor on each ring.
	localRings  = 2
	globalRings = 1
	// maxProbeTargets is the number of hosts that one host probes.
	maxProbeTargets = localRings + globalRings
	// maxContacts bounds the contacts listed in a record.
	maxContacts = 16
	// maxGossipContacts bounds the contacts to which one host passes on a record.
	maxGossipContacts = 10
	// minObservers is the number of hosts in contact with a member, this one included,
	// at which this host may release its contact.
	minObservers = 3
	// maxOutstanding bounds the unanswered probes of one host.
	maxOutstanding = 8
	// maxRecords bounds the records and the keys in Want of one message, except in the
	// answer to a sync.
	maxRecords = 64
	// isolatedJoinAttempts is the number of addresses tried at once by a host that
	// probes no other host.
	isolatedJoinAttempts = 3
)
