package backs

// Need is what a request needs of a server.
type Need struct {
	Service string
	// Model is the model, and Adapter its adapter or empty for none.
	Model, Adapter string
	// Version is the software version that began the request's stream, empty for any.
	Version string
}

// AllowsVersion reports whether a server's software version meets the need.
func (n Need) AllowsVersion(e Entry) bool { return n.Version == "" || n.Version == e.SoftwareVersion }
