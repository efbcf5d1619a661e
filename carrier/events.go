package carrier

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventRouted = logger.Define(1100, log.InfoLevel, "request routed",
		"A request was sent to an availability zone by the rule that the line names.",
		"Nothing; compare with `fescuethread explain` when the choice surprises.")
	eventAnswered = logger.Define(1101, log.InfoLevel, "request ended",
		"A request ended with the outcome, status and reason that the line names.",
		"Check the reason (docs/API.md lists them) when the outcome is not \"answered\".")
	eventPassed = logger.Define(1102, log.InfoLevel, "request taken from a peer",
		"A request that a peer passed on ended here with the outcome that the line names.",
		"Nothing.")
	eventStale = logger.Define(1103, log.WarnLevel, "keyed route refused",
		"The host may have missed the withdrawal of a key, so keyed routes are refused.",
		"Restore the host's connection to the platform or to peers that reach it.")
)
