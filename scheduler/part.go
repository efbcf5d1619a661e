package scheduler

// PartOf returns how many of a target's slots belong to the holder at index of count holders.
func PartOf(target string, slots, index, count int) int {
	return share{index: index, count: count}.part(Target{Name: target, Slots: slots})
}
