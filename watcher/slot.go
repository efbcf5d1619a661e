package watcher

// slot is what is known of one document.
type slot struct {
	// inForce is the newest accepted version.
	inForce Document
	// known is the highest version that was heard of.
	known uint64
	// refused is the highest version that didn't pass the check.
	refused Document
	// refusals are the versions above the one in force that didn't pass the check.
	refusals map[uint64]bool
}

// wants reports whether a version can come into force.
func (t *slot) wants(version uint64) bool {
	if version <= t.inForce.Version || t.refusals[version] {
		return false
	}
	return t.inForce.Version > 0 || version >= t.missing()
}

// missing returns the highest known version if it is neither in force nor refused, or 0.
func (t *slot) missing() uint64 {
	if t.known <= t.inForce.Version || t.refusals[t.known] {
		return 0
	}
	return t.known
}

func (t *slot) refuse(doc Document) {
	if t.refusals == nil {
		t.refusals = make(map[uint64]bool)
	}
	t.refusals[doc.Version] = true
	if doc.Version > t.refused.Version {
		t.refused = doc
	}
}

func (t *slot) accept(doc Document) {
	t.inForce = doc
	for version := range t.refusals {
		if version <= doc.Version {
			delete(t.refusals, version)
		}
	}
	if t.refused.Version <= doc.Version {
		t.refused = Document{}
	}
}
