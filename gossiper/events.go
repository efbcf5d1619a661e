package gossiper

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventChanged = logger.Define(1700, log.InfoLevel, "member changed state",
		"This host sees another host in a new state, by the rule that the line names.",
		"Check that host when it is suspect or dead and no stop was planned.")
	eventPaused = logger.Define(1701, log.WarnLevel, "process was paused",
		"The process was paused for longer than peers wait before they take its work over.",
		"Check for a suspended or overloaded machine.")
	eventReplaced = logger.Define(1702, log.ErrorLevel, "process was replaced",
		"A newer process runs under this host's name, so this one stops.",
		"Make sure that only one process is started for each host of the inventory.")
)
