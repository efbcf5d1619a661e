package assembler

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventStarted = logger.Define(1000, log.InfoLevel, "host started",
		"The process listens and joins the fleet.",
		"Nothing.")
	eventStopped = logger.Define(1001, log.InfoLevel, "host stopped",
		"The process has ended all services.",
		"Nothing.")
	eventPhase = logger.Define(1800, log.InfoLevel, "stop entered a phase",
		"A graceful stop has come to the phase that the line names.",
		"Nothing; the phases and their longest times are in docs/OPERATIONS.md.")
	eventCut = logger.Define(1801, log.ErrorLevel, "stop cut requests",
		"Requests were still in flight when the longest wait for them ended.",
		"Raise drain.limit above the longest time that a request may take.")
	eventHanded = logger.Define(1802, log.InfoLevel, "operations handed over",
		"A successor answers for the operations that this host issued.",
		"Nothing.")
	eventNotHanded = logger.Define(1803, log.WarnLevel, "operations not handed over",
		"No successor took the operations; callers who ask again are told that the outcome is unknown.",
		"Nothing; look whether peers were reachable when the host left.")
	eventAssigned = logger.Define(1110, log.InfoLevel, "slots assigned",
		"The hosts that hold a zone's slots have changed, by the rule that the line names.",
		"Look at the zone's hosts when the rule is not \"own hosts\".")
	eventListFailed = logger.Define(1630, log.WarnLevel, "list of hosts not read",
		"The platform did not answer with its list of hosts; the last list stays.",
		"Check the platform if it persists.")
	eventAdopted = logger.Define(1804, log.InfoLevel, "operations adopted",
		"This host answers for the operations of a host that left.",
		"Nothing.")
)
