package authenticator

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	// EventRefused reports a key that was refused.
	EventRefused = logger.Define(1501, log.InfoLevel, "key refused",
		"A request was refused because of its key.",
		"If a customer complains, compare the cause with `fescuethread keys list`.")
	// EventFresh reports that keys are fresh again.
	EventFresh = logger.Define(1510, log.InfoLevel, "keys fresh",
		"The keys were confirmed again within `keys.bound`.", "Nothing.")
	// EventOutage reports that keyed routes go on by the last known keys.
	EventOutage = logger.Define(1511, log.WarnLevel, "keys stale in an outage",
		"No availability zone reaches the platform; keyed routes are served by the last known keys.",
		"Restore the platform; withdrawals can't be accepted until then.")
	// EventCutOff reports that the standing rule decides on keyed routes.
	EventCutOff = logger.Define(1512, log.ErrorLevel, "keys stale when cut off",
		"A withdrawal may have been missed; the setting `keys.stale` decides on keyed routes.",
		"Restore the host's network to the platform or to peers that have contact.")
)
