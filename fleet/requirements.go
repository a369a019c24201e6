package fleet

import "time"

// Requirements is what a request requires of a server.
type Requirements struct {
	Pool         string
	Model        string
	Adapter      string
	NoModel      bool
	PromptPrefix uint64
	// SoftwareVersion is the version that the server must run, empty for any.
	SoftwareVersion string
}

func (r Requirements) allowsVersion(version string) bool {
	return r.SoftwareVersion == "" || r.SoftwareVersion == version
}

// VersionServes reports whether a server of the required pool and software version takes requests, or may soon.
func (v *View) VersionServes(required Requirements) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if !s.leaving() && s.doc.Pool == required.Pool && required.allowsVersion(s.doc.SoftwareVersion) {
			return true
		}
	}
	return false
}

// meets reports whether a server meets the requirements and takes requests of this VM now.
func (v *View) meets(now time.Time, s *server, required Requirements) bool {
	return v.suits(now, s, required) && v.rest(now, s) == 0
}

func (v *View) rest(now time.Time, s *server) time.Duration {
	if v.RestRemaining == nil {
		return 0
	}
	return v.RestRemaining(now, s.doc.Address)
}

// Rest returns when the first server that meets the requirements takes requests of this VM again. It is 0
// if one of them does now, if there is none, or if another server of the pool may load the model sooner.
func (v *View) Rest(now time.Time, required Requirements) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	var shortest time.Duration
	othersAwake := false
	for _, s := range v.servers {
		rest := v.rest(now, s)
		if !v.suits(now, s, required) {
			othersAwake = othersAwake || rest == 0 && !s.leaving() && s.doc.Pool == required.Pool
			continue
		}
		if rest == 0 {
			return 0
		}
		if shortest == 0 || rest < shortest {
			shortest = rest
		}
	}
	if shortest > longRest && othersAwake {
		return 0
	}
	return shortest
}

// suits reports whether a server meets the requirements, whether at rest or not.
func (v *View) suits(now time.Time, s *server, required Requirements) bool {
	if s.leaving() || s.doc.Pool != required.Pool || !required.allowsVersion(s.doc.SoftwareVersion) {
		return false
	}
	if required.NoModel {
		return true
	}
	if now.Before(s.notLoadedUntil[artifactKey(required.Model, required.Adapter)]) {
		return false
	}
	return s.hasLoaded(required.Model, required.Adapter)
}
