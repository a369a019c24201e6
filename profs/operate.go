package profs

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Kind is the kind of the platform's objects that hold profiles.
const Kind = "profiles"

// Operator carries out the operators' changes. Its function fields are the
// platform's calls.
type Operator struct {
	Get  func(ctx context.Context, kind, name string) (store.Object, error)
	List func(ctx context.Context, kind string) (store.Listing, error)
	Put  func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error)
	// Fits refuses a document that could not be served, with the reason; nil
	// refuses none.
	Fits func(ctx context.Context, doc wire.Profile) error
}

// NewOperator returns an Operator that uses a client.
func NewOperator(c *store.Client) *Operator {
	return &Operator{Get: c.Get, List: c.List, Put: c.Put}
}

// Lookup returns a profile and its version; version 0 when there is none.
func (o *Operator) Lookup(ctx context.Context, name string) (wire.Profile, int, error) {
	obj, err := o.Get(ctx, Kind, name)
	if trace.IsNotFound(err) {
		return wire.Profile{}, 0, nil
	}
	if err != nil {
		return wire.Profile{}, 0, fmt.Errorf("look up profile: %w", err)
	}
	doc, err := Parse(obj.Value)
	if err != nil {
		return wire.Profile{}, obj.Version, fmt.Errorf("profile %s: %w", name, err)
	}
	return doc, obj.Version, nil
}

// Apply creates or changes a profile. With ifVersion below 0 the version seen
// now is taken; a change by another operator in between is still a conflict.
// It returns the accepted version.
func (o *Operator) Apply(ctx context.Context, doc wire.Profile, ifVersion int) (int, error) {
	current, version, err := o.Lookup(ctx, doc.Name)
	if err != nil {
		return 0, err
	}
	if current.Retired {
		return 0, trace.BadParameter("profile %s was retired at version %d; a retired name is not used again", doc.Name, version)
	}
	if ifVersion < 0 {
		ifVersion = version
	}
	if ifVersion != version {
		return 0, fmt.Errorf("apply %s: %w", doc.Name, &store.ConflictError{Current: version})
	}
	if o.Fits != nil {
		if err := o.Fits(ctx, doc); err != nil {
			return 0, fmt.Errorf("apply %s: %w", doc.Name, err)
		}
	}
	return o.write(ctx, doc, ifVersion)
}

// Retire takes a profile out of service for good.
func (o *Operator) Retire(ctx context.Context, name string) (int, error) {
	doc, version, err := o.Lookup(ctx, name)
	if err != nil {
		return 0, err
	}
	if version == 0 {
		return 0, trace.NotFound("there is no profile %s", name)
	}
	if doc.Retired {
		return version, nil
	}
	doc.Retired = true
	return o.write(ctx, doc, version)
}

// write makes the conditional update and settles a lost answer by reading
// back.
func (o *Operator) write(ctx context.Context, doc wire.Profile, ifVersion int) (int, error) {
	version, err := o.Put(ctx, Kind, doc.Name, ifVersion, doc)
	if err == nil {
		return version, nil
	}
	if !store.IsResponseLost(err) {
		return 0, fmt.Errorf("write profile: %w", err)
	}
	return o.settle(ctx, doc, ifVersion, err)
}

func (o *Operator) settle(ctx context.Context, doc wire.Profile, ifVersion int, lost error) (int, error) {
	obj, err := o.Get(ctx, Kind, doc.Name)
	if err != nil {
		return 0, fmt.Errorf("the change may have been accepted; look again: %w", lost)
	}
	want, err := json.Marshal(doc)
	if err != nil {
		return 0, fmt.Errorf("encode profile: %w", err)
	}
	if obj.Version > ifVersion && string(obj.Value) == string(want) {
		return obj.Version, nil
	}
	if obj.Version > ifVersion {
		return 0, fmt.Errorf("write profile: %w", &store.ConflictError{Current: obj.Version})
	}
	return 0, fmt.Errorf("the change may still be accepted; look again: %w", lost)
}
