package announcer

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventPeerHeard = logger.Define(1710, log.InfoLevel, "peer heard",
		"A host of the fleet is heard for the first time or again.", "Nothing.")
	eventPeerLost = logger.Define(1711, log.WarnLevel, "peer lost",
		"A host of the fleet has not been heard for the live term; callers are no longer sent to it.",
		"Check the host and the network between both availability zones.")
	eventReceiveFailed = logger.Define(1712, log.WarnLevel, "datagram not received",
		"A datagram could not be read or decoded and was dropped.",
		"Check what sends to the host's peer port.")
	eventSendFailed = logger.Define(1713, log.WarnLevel, "datagram not sent",
		"A datagram to a peer could not be sent; the next heartbeat makes up for it.",
		"Check the host's network if this lasts.")
)
