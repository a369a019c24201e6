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

// Objects is the object API as the daemon uses it, whatever protocol carries
// it. Each field makes one call and does not repeat it. The errors are those of
// this package and trace.NotFound.
type Objects struct {
	// List returns all objects of a kind.
	List func(ctx context.Context, kind string) (Listing, error)
	// Get returns one object.
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Recall returns one object as it was some seconds ago at most. It costs the
	// platform little; nil where there is no such call.
	Recall func(ctx context.Context, kind, name string) (Object, error)
	// Put writes value when the object has version ifVersion, 0 for an object
	// that does not exist, and returns the new version.
	Put func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error)
	// Watch waits up to wait for changes after a version. It returns them with
	// the version to go on from.
	Watch func(ctx context.Context, kind string, from int, wait time.Duration) ([]Change, int, error)
}

// Noting returns the same API with a function that is called at each answer of the store,
// refusals for the state of the objects among them.
func (o Objects) Noting(answered func()) Objects {
	note := func(err error) {
		if err == nil || trace.IsNotFound(err) || IsConflict(err) || IsGone(err) {
			answered()
		}
	}
	noting := o
	noting.List = func(ctx context.Context, kind string) (Listing, error) {
		l, err := o.List(ctx, kind)
		note(err)
		return l, err
	}
	noting.Get = func(ctx context.Context, kind, name string) (Object, error) {
		object, err := o.Get(ctx, kind, name)
		note(err)
		return object, err
	}
	noting.Put = func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error) {
		version, err := o.Put(ctx, kind, name, ifVersion, value)
		note(err)
		return version, err
	}
	noting.Watch = func(ctx context.Context, kind string, from int, wait time.Duration) ([]Change, int, error) {
		list, next, err := o.Watch(ctx, kind, from, wait)
		note(err)
		return list, next, err
	}
	return noting
}
