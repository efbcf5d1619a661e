package announcer

import (
	"github.com/apex/log"

	"github.com/fescuethread/fescuethread/logger"
)

var (
	eventPeerLive = logger.Define(1710, log.InfoLevel, "peer is live",
		"Heartbeats of a registered host arrive, for the first time or again.", "Nothing.")
	eventPeerLost = logger.Define(1711, log.WarnLevel, "peer lost",
		"No heartbeat of a registered host came within the timeout; callers are not directed to it.",
		"Check the host and the network between both availability zones.")
	eventReceiveFailed = logger.Define(1712, log.WarnLevel, "failed to receive a datagram",
		"A datagram could not be read or decoded and was dropped.",
		"Find out what sends to the host's peer port.")
	eventSendFailed = logger.Define(1713, log.WarnLevel, "failed to send a datagram",
		"A datagram to a peer could not be sent; the next heartbeat replaces a lost one.",
		"Check the host's network if this continues.")
)
