package enforcer

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventInForce = logger.Define(1620, log.InfoLevel, "document in force",
		"All parts of this host use the new version of a configuration document.",
		"Nothing.")
	eventFailed = logger.Define(1621, log.ErrorLevel, "document not put in force",
		"A part of this host refused a version of a configuration document that passed its check.",
		"Compare the document with the last version that worked, and report the fault.")
)
