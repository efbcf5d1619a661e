package watcher

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventAccepted = logger.Define(1600, log.InfoLevel, "document accepted",
		"A newer version of a configuration document is in force on this host.",
		"None.")
	eventRefused = logger.Define(1601, log.ErrorLevel, "document refused",
		"A configuration document doesn't pass its check; the older version stays in force.",
		"Compare the versions of the hosts' programs and apply a corrected document.")
	eventCutOff = logger.Define(1602, log.WarnLevel, "platform not reached",
		"A watch of the platform failed; it is tried again with growing delays.",
		"Check the platform and the network if it persists.")
	eventReached = logger.Define(1603, log.InfoLevel, "platform reached",
		"The platform answered again after failed watches.",
		"None.")
	eventElected = logger.Define(1604, log.InfoLevel, "reader elected",
		"This host reads configuration from the platform for its availability zone.",
		"None.")
	eventReleased = logger.Define(1605, log.InfoLevel, "reader released",
		"This host no longer reads configuration from the platform.",
		"None.")
	eventFetched = logger.Define(1606, log.InfoLevel, "document fetched",
		"A peer gave a document that this host had heard of.",
		"None.")
	eventNotFetched = logger.Define(1607, log.WarnLevel, "document not fetched",
		"No peer gave a document that this host has heard of; it is tried again.",
		"Check the network between the hosts if it persists.")
)
