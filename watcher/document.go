package watcher

// Document is a named, versioned part of the configuration.
type Document struct {
	// Name is the document's name, such as config/inventory.
	Name string
	// Version grows with each accepted change.
	Version uint64
	// Change identifies the change that made the version.
	Change string
	// Body is the document's text; it must not be modified.
	Body []byte
}

// Version names a version of a document.
type Version struct {
	// Name is the document's name.
	Name string
	// Version is the document's version.
	Version uint64
}

// Checker tells whether a document can be put in force.
type Checker interface {
	Check(doc Document) error
}
