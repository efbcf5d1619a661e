package follower

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventPlanApplied = logger.Define(1640, log.InfoLevel, "plan applied",
		"This host applied a newer version of the configuration.", "Nothing.")
	eventTargetAdded = logger.Define(1641, log.InfoLevel, "target added",
		"An entry in the store names a target that is new to this host.", "Nothing.")
	eventTargetChanged = logger.Define(1642, log.InfoLevel, "target changed",
		"The draining state, address or start time of a target changed.", "Nothing.")
	eventTargetRemoved = logger.Define(1643, log.InfoLevel, "target removed",
		"A target has no valid entry in the store, so the host sends no more requests to it.",
		"If the target is running, find out why its entry is not renewed.")
	eventEntryInvalid = logger.Define(1644, log.WarnLevel, "target entry invalid",
		"The content of an entry in the store is not valid, so the entry is not used.",
		"Find out who writes the entry.")
	eventStoreCallFailed = logger.Define(1645, log.WarnLevel, "store call failed",
		"A call to the store failed; the host keeps using the last content and retries.",
		"Check the store and the network if this lasts.")
	eventWatchExpired = logger.Define(1647, log.InfoLevel, "watch expired",
		"The store no longer has the history from the watch's revision on; the host lists again.",
		"Nothing.")
	eventPeerFetched = logger.Define(1648, log.InfoLevel, "content fetched from peer",
		"A peer had newer content and sent it, so the store was not read.", "Nothing.")
	eventPeerFetchFailed = logger.Define(1649, log.InfoLevel, "fetch from peer failed",
		"The host reads the store instead.", "Check the network between the hosts if this lasts.")
	eventStoreRecovered = logger.Define(1646, log.InfoLevel, "store recovered",
		"A call to the store succeeded after failures.", "Nothing.")
)
