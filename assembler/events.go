package assembler

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventStarted = logger.Define(1000, log.InfoLevel, "host started",
		"The process listens on its addresses and joins the other hosts.",
		"Nothing.")
	eventStopped = logger.Define(1001, log.InfoLevel, "host stopped",
		"All services of the process have ended.",
		"Nothing.")
	eventPhase = logger.Define(1800, log.InfoLevel, "stop entered a phase",
		"A graceful stop has reached the phase that the line names, or was cancelled (serving).",
		"Nothing; the phases and their longest times are in docs/OPERATIONS.md.")
	eventCut = logger.Define(1801, log.ErrorLevel, "stop cut requests",
		"Requests were still in flight when the longest wait for them ended.",
		"Raise drain.limit above the longest time that a request may take.")
	eventHanded = logger.Define(1802, log.InfoLevel, "operations handed over",
		"The host that the line names answers for the operations that this host issued.",
		"Nothing.")
	eventNotHanded = logger.Define(1803, log.WarnLevel, "operations not handed over",
		"No host took the operations; callers who send them again get the outcome unknown.",
		"Check whether a live peer was reachable when the host left.")
	eventAssigned = logger.Define(1110, log.InfoLevel, "slots assigned",
		"Other hosts hold the slots of a zone's targets, by the rule that the line names.",
		"Check the zone's hosts when the rule is not \"own hosts\".")
	eventListFailed = logger.Define(1630, log.WarnLevel, "list of hosts not read",
		"The platform did not answer with its list of hosts; the last list stays in use.",
		"Check the platform if it persists.")
	eventAdopted = logger.Define(1804, log.InfoLevel, "operations adopted",
		"This host answers for the operations of a host that left.",
		"Nothing.")
)
