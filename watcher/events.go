package watcher

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventAccepted = logger.Define(1600, log.InfoLevel, "document accepted",
		"A newer version of a configuration document passed its check on this host.",
		"Nothing.")
	eventRefused = logger.Define(1601, log.ErrorLevel, "document refused",
		"A configuration document did not pass its check; the older version stays in force.",
		"Compare the versions of the hosts' programs and apply a corrected document.")
	eventCutOff = logger.Define(1602, log.WarnLevel, "platform not reached",
		"A watch of the platform failed; it is tried again with growing delays.",
		"Check the platform and the network if it persists.")
	eventReached = logger.Define(1603, log.InfoLevel, "platform reached",
		"The platform answered again after failed watches.",
		"Nothing.")
	eventElected = logger.Define(1604, log.InfoLevel, "reader elected",
		"This host reads configuration from the platform for its availability zone.",
		"Nothing.")
	eventReleased = logger.Define(1605, log.InfoLevel, "reader released",
		"This host no longer reads configuration from the platform.",
		"Nothing.")
	eventFetched = logger.Define(1606, log.InfoLevel, "document fetched",
		"A peer sent a document version that this host had only heard of.",
		"Nothing.")
	eventNotFetched = logger.Define(1607, log.WarnLevel, "document not fetched",
		"No peer sent a document version that this host has heard of; it is tried again.",
		"Check the network between the hosts if it persists.")
)
