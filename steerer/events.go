package steerer

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	// EventSent reports a request that is sent to a target.
	EventSent = logger.Define(1120, log.InfoLevel, "request sent",
		"A request is sent to a target; the fields say by which rule, load and plan.", "Nothing.")
	// EventTryFailed reports a try that brought no answer for the caller.
	EventTryFailed = logger.Define(1121, log.InfoLevel, "try failed",
		"A target did not answer usably; the fields say what is known of its run and what follows.",
		"If one target stands out, look at it.")
	// EventNoTarget reports a request for which no target was found.
	EventNoTarget = logger.Define(1124, log.InfoLevel, "no target found",
		"No target could serve the request in time; the fields hold the load of its first target.",
		"Compare the load with the target's slots; add targets if this lasts.")
	// EventEnded reports how a request ended.
	EventEnded = logger.Define(1122, log.InfoLevel, "request answered",
		"A request ended with the status and the reason in the fields.", "Nothing.")
	// EventRefused reports a request that was refused before it was sent to a target.
	EventRefused = logger.Define(1123, log.InfoLevel, "request refused",
		"A request was refused and has not run; the fields hold the inputs of the decision.",
		"For the reason `full` add targets; for `keys not proved` check the store.")
)
