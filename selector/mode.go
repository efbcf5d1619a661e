package selector

// Mode says when a part for hard load is on.
type Mode string

const (
	// ModeAuto turns the part on if callers press for more than there is room, or once a target
	// reports how much others on its machine slow it down.
	ModeAuto Mode = "auto"
	// ModeAlways turns the part on.
	ModeAlways Mode = "always"
	// ModeNever turns the part off.
	ModeNever Mode = "never"
)

// Valid reports whether the mode is one of the above; an empty one stands for ModeAuto.
func (m Mode) Valid() bool {
	switch m {
	case "", ModeAuto, ModeAlways, ModeNever:
		return true
	}
	return false
}
