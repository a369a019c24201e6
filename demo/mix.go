package demo

import (
	"slices"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// repeatedShare is the fraction of at-most-once requests that the mix sends twice.
const repeatedShare = 0.05

// MixedLoad returns load classes for the profiles with a total of rate requests per second: streams,
// non-streaming completions and calls to plain services.
func MixedLoad(s *conf.Settings, profiles []wire.Profile, rate float64) []load.Class {
	var keys []string
	for key := range s.Callers() {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var classes []load.Class
	for i, doc := range profiles {
		c := load.Class{Name: doc.Name, Profile: doc, Rate: rate / float64(len(profiles)), ZipfExponent: 0.8, RepeatShare: repeatedShare}
		if len(keys) > 0 {
			c.CallerKey = keys[i%len(keys)]
		}
		switch {
		case doc.Backend == wire.ProfileBackendService:
			c.Kind = load.KindService
		case doc.RunsAllowed == 1:
			c.Kind = load.KindCompletion
		}
		classes = append(classes, c)
	}
	return classes
}
