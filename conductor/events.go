package conductor

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventStarted = logger.Define(1010, log.InfoLevel, "edge started",
		"The process listens on its addresses.", "Nothing.")
	eventStopped = logger.Define(1011, log.InfoLevel, "edge stopped",
		"The process has finished its requests and ends.", "Nothing.")
	eventReady = logger.Define(1012, log.InfoLevel, "edge ready",
		"The host knows enough to serve and callers are sent to it.", "Nothing.")
	eventReloaded = logger.Define(1014, log.InfoLevel, "settings reloaded",
		"The settings file was read again.", "Nothing.")
	eventReloadFailed = logger.Define(1015, log.ErrorLevel, "settings not reloaded",
		"The settings file has a fault; the host goes on with the earlier settings.",
		"Mend the file; the event names the fault.")
	eventStopping = logger.Define(1016, log.InfoLevel, "edge stopping",
		"A stop was asked for; the event names its phase.", "Nothing.")
	eventStopCut = logger.Define(1017, log.ErrorLevel, "stop cut requests",
		"Requests were still being served at the end of the time for a stop.",
		"Lengthen the grace time if this recurs.")
	eventRegistered = logger.Define(1631, log.InfoLevel, "host registered",
		"The host's entry is in the store.", "Nothing.")
	eventRegisterFailed = logger.Define(1632, log.WarnLevel, "host not registered",
		"The store did not take the host's entry; the host tries again.",
		"Check the store if this lasts.")
	eventUnregistered = logger.Define(1635, log.InfoLevel, "host unregistered",
		"A host that was silent for long was removed from the store, unless the event names a cause.",
		"If the host lives, check the network between it and the others.")
	eventHostsChanged = logger.Define(1633, log.InfoLevel, "hosts changed",
		"Hosts were registered or removed; shares of rates change with their number.", "Nothing.")
	eventEvacuations = logger.Define(1634, log.InfoLevel, "evacuations changed",
		"Nothing is sent to the targets of the named availability zones.", "Nothing.")
	eventProofLost = logger.Define(1513, log.WarnLevel, "keys not proved",
		"The newest proof that the known keys are the newest is too old; keyed requests are refused.",
		"Restore the host's way to the store.")
	eventProofRegained = logger.Define(1514, log.InfoLevel, "keys proved",
		"The known keys are proved to be the newest again.", "Nothing.")
	eventSuspectsUnreadable = logger.Define(1714, log.WarnLevel, "suspicions unreadable",
		"A peer's suspicions of requests that crash targets could not be decoded.",
		"Check whether all hosts run the same version.")
	eventLogDropped = logger.Define(1018, log.WarnLevel, "log lines dropped",
		"Lines were dropped because the log's reader was too slow.",
		"Read the log faster or raise its level.")
)
