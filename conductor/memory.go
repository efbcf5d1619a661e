package conductor

const (
	// requestsFraction is the part of host.memory that requests may take from their first byte to
	// their response; two copies of the body may exist besides while it is sent to a target.
	requestsFraction = 1.0 / 8
	// responsesFraction is the part of host.memory that responses may take while they are received
	// and until callers have read them; two copies of each may exist besides.
	responsesFraction = 1.0 / 8
	// defaultMemoryMiB stands for host.memory where it is 0.
	defaultMemoryMiB = 256
)

// memoryPart returns a part of the memory that the process may use, in bytes.
func (h *Host) memoryPart(fraction float64) int64 {
	memory := h.settings.Host.Memory
	if memory <= 0 {
		memory = defaultMemoryMiB
	}
	return int64(fraction * float64(memory<<20))
}
