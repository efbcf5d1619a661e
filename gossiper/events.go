package gossiper

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventChanged = logger.Define(1700, log.InfoLevel, "member changed state",
		"This host has concluded another state of a member, by the rule that the line names.",
		"Look at the member when it is suspect or dead and no stop was planned.")
	eventPaused = logger.Define(1701, log.WarnLevel, "process was paused",
		"The process did not run for longer than others wait before they take its work over.",
		"Look for a suspended or overloaded machine.")
	eventReplaced = logger.Define(1702, log.ErrorLevel, "process was replaced",
		"A newer process runs under this host's name, so this one stops.",
		"Make sure that only one process is started for each host of the inventory.")
)
