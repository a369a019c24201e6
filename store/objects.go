package store

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// Change is one event of a long-poll watch.
type Change struct {
	Object  Object
	Deleted bool
}

// Objects is the object API, independent of the protocol. Each field makes one
// call without retries. The errors are those of this package and
// trace.NotFound.
type Objects struct {
	// List returns all objects of a kind.
	List func(ctx context.Context, kind string) (Listing, error)
	// Get returns one object.
	Get func(ctx context.Context, kind, name string) (Object, error)
	// GetCached returns one object from a cache that is at most some seconds
	// old. The call is cheap for the platform; nil when the platform lacks it.
	GetCached func(ctx context.Context, kind, name string) (Object, error)
	// Put writes value when the object has version ifVersion (0: does not exist)
	// and returns the new version.
	Put func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error)
	// Watch waits up to wait for changes after the version from. It returns them
	// and the version from which to watch next.
	Watch func(ctx context.Context, kind string, from int, wait time.Duration) ([]Change, int, error)
}

// WithResponseObserver returns an Objects that calls onResponse after each
// response of the platform. Errors about the state of an object (not found,
// conflict, gone) are responses; other errors are not.
func (o Objects) WithResponseObserver(onResponse func()) Objects {
	observe := func(err error) {
		if err == nil || trace.IsNotFound(err) || IsConflict(err) || IsGone(err) {
			onResponse()
		}
	}
	observed := o
	observed.List = func(ctx context.Context, kind string) (Listing, error) {
		l, err := o.List(ctx, kind)
		observe(err)
		return l, err
	}
	observed.Get = func(ctx context.Context, kind, name string) (Object, error) {
		object, err := o.Get(ctx, kind, name)
		observe(err)
		return object, err
	}
	observed.Put = func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error) {
		version, err := o.Put(ctx, kind, name, ifVersion, value)
		observe(err)
		return version, err
	}
	observed.Watch = func(ctx context.Context, kind string, from int, wait time.Duration) ([]Change, int, error) {
		list, next, err := o.Watch(ctx, kind, from, wait)
		observe(err)
		return list, next, err
	}
	return observed
}
