package conductor

import "github.com/fescuethread/fescuethread/logger"

// Reload reads the settings file again and applies what can change while the host runs: the grace
// period and the maximum TTL of directory responses. An invalid file changes nothing.
func (h *Host) Reload(path string) {
	s, err := LoadSettings(path)
	if err != nil {
		h.log.Log(eventReloadFailed, logger.F("cause", err.Error()))
		return
	}
	h.bounds.Store(&s.Bounds)
	h.log.Log(eventReloaded, logger.F("path", path))
}
