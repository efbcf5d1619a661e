package conductor

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventStarted = logger.Define(1010, log.InfoLevel, "edge started",
		"The process listens on its addresses.", "Nothing.")
	eventStopped = logger.Define(1011, log.InfoLevel, "edge stopped",
		"The process has shut down.", "Nothing.")
	eventReady = logger.Define(1012, log.InfoLevel, "edge ready",
		"The host has read the store and is registered; the directory lists it for callers.", "Nothing.")
	eventReloaded = logger.Define(1014, log.InfoLevel, "settings reloaded",
		"The settings file was read again and its bounds are in effect.", "Nothing.")
	eventReloadFailed = logger.Define(1015, log.ErrorLevel, "settings not reloaded",
		"The settings file is invalid; the host keeps its earlier settings.",
		"Correct the file; the field `cause` holds the error.")
	eventStopping = logger.Define(1016, log.InfoLevel, "edge stopping",
		"A graceful shutdown is in progress; the field `phase` names its phase.", "Nothing.")
	eventStopTimeout = logger.Define(1017, log.ErrorLevel, "shutdown deadline reached",
		"Requests were still in flight at the end of the grace period; their callers got 502.",
		"Lengthen the grace period if this recurs.")
	eventPanic = logger.Define(1019, log.ErrorLevel, "unexpected error",
		"The handling of a request failed unexpectedly; its caller got 500 and the others go on.",
		"Report the field `stack`.")
	eventAcceptFailed = logger.Define(1020, log.WarnLevel, "connections not accepted",
		"A listener failed and tries again; the fields hold the descriptors by use, and their limit.",
		"If the cause is a lack of descriptors, raise the limit or add hosts.")
	eventDescriptorsShort = logger.Define(1021, log.WarnLevel, "descriptors short",
		"Connections were refused, or closed while idle, for want of descriptors; by use.",
		"Add hosts, or raise the limit on descriptors.")
	eventServiceFailed = logger.Define(1022, log.ErrorLevel, "service failed",
		"A service that callers don't need has ended; the host goes on without it.",
		"Restart the host when it is convenient; the field `cause` holds the error.")
	eventRegistered = logger.Define(1631, log.InfoLevel, "host registered",
		"The host's entry is in the store.", "Nothing.")
	eventRegisterFailed = logger.Define(1632, log.WarnLevel, "host registration failed",
		"The host's entry could not be written to the store; the host retries.",
		"Check the store if this persists.")
	eventUnregistered = logger.Define(1635, log.InfoLevel, "host unregistered",
		"A host that sent no heartbeats was removed from the store; if `cause` is set, this failed.",
		"If the host is running, check the network between it and the others.")
	eventHostsChanged = logger.Define(1633, log.InfoLevel, "hosts changed",
		"Hosts were registered or removed; their shares of the rate limits are recomputed.", "Nothing.")
	eventEvacuations = logger.Define(1634, log.InfoLevel, "evacuations changed",
		"Targets in the listed availability zones receive no requests.", "Nothing.")
	eventKeysUnverified = logger.Define(1513, log.WarnLevel, "API keys not verified",
		"The keys were not verified against the store in time; requests that need one are refused.",
		"Restore the host's connection to the store.")
	eventKeysVerified = logger.Define(1514, log.InfoLevel, "API keys verified",
		"The keys are verified against the store again.", "Nothing.")
	eventTargetEnded = logger.Define(1129, log.InfoLevel, "target ended, by a peer's notice",
		"A peer has noticed that a target ended or restarted; it counts as cold here too.",
		"If targets restart often, find out why.")
	eventSuspectsInvalid = logger.Define(1714, log.WarnLevel, "invalid suspects in heartbeat",
		"A peer's list of requests suspected of crashing targets could not be decoded.",
		"Check that all hosts run the same version.")
	eventLogDropped = logger.Define(1018, log.WarnLevel, "log lines dropped",
		"Log lines were dropped because the log's reader was too slow or a write failed.",
		"Read the log faster or raise the log level.")
)
