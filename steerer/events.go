package steerer

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	// EventSent is logged when a request is sent to a target.
	EventSent = logger.Define(1120, log.InfoLevel, "request sent",
		"A request is sent to a target; the fields hold the selection rule, load and plan version.",
		"Nothing.")
	// EventAttemptFailed is logged when an attempt returned no usable response.
	EventAttemptFailed = logger.Define(1121, log.InfoLevel, "attempt failed",
		"A target returned no usable response; the fields say why and if the request may have run.",
		"If most failures are on one target, check that target.")
	// EventNoTarget is logged when no target is available for a request.
	EventNoTarget = logger.Define(1124, log.InfoLevel, "no target found",
		"No target can serve the request in time; the fields hold the load of the preferred target.",
		"Compare the load with the target's slots; add targets if this persists.")
	// EventTargetHeld is logged when a target says that it is leaving or wants a pause.
	EventTargetHeld = logger.Define(1125, log.InfoLevel, "target held off",
		"A target said in a response that it is shutting down, or for how long it wants no requests.",
		"If `invalid` isn't empty, report the field's value to the target's owner.")
	// EventLoadInvalid is logged when a target's load report can't be parsed.
	EventLoadInvalid = logger.Define(1126, log.WarnLevel, "load report ignored",
		"A target's load report can't be parsed; it is logged once in a while, and counted each time.",
		"Report the cause to the target's owner; the target counts as loaded by this host only.")
	// EventIdleEnded is logged when a target ends an idle connection.
	EventIdleEnded = logger.Define(1127, log.InfoLevel, "idle connection ended",
		"A target ended a connection on which no request was in flight.",
		"If all connections to the target end, find out whether it has restarted.")
	// EventTargetVerified is logged when a target that ended connections was asked for its start.
	EventTargetVerified = logger.Define(1128, log.InfoLevel, "target verified",
		"A target that ended connections was asked whether it has restarted; it is cold if it has.",
		"If targets restart often, find out why.")
	// EventEnded is logged when a request that was sent to a target ends.
	EventEnded = logger.Define(1122, log.InfoLevel, "request ended",
		"A request ended with the status and reason in the fields.", "Nothing.")
	// EventRejected is logged when a request is rejected without being sent to a target.
	EventRejected = logger.Define(1123, log.InfoLevel, "request rejected",
		"A request was rejected and has not run; the fields hold the inputs of the decision.",
		"For the reason `full` add targets; for `keys not proved` check the store.")
)
