package profs

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// ObjectKind is the kind of the platform's objects that contain profiles.
const ObjectKind = "profiles"

// Operator applies changes by operators to the stored profiles. Its Get, List
// and Put fields are the calls to the platform.
type Operator struct {
	Get  func(ctx context.Context, kind, name string) (store.Object, error)
	List func(ctx context.Context, kind string) (store.Listing, error)
	Put  func(ctx context.Context, kind, name string, ifVersion int, value any) (int, error)
	// CheckCapacity returns an error if the servers cannot serve a document. If
	// nil, Apply skips the check.
	CheckCapacity func(ctx context.Context, doc wire.Profile) error
}

// NewOperator returns an Operator that calls the platform through c.
func NewOperator(c *store.Client) *Operator {
	return &Operator{Get: c.Get, List: c.List, Put: c.Put}
}

// Lookup returns a profile and its version, or version 0 if the profile does not
// exist.
func (o *Operator) Lookup(ctx context.Context, name string) (wire.Profile, int, error) {
	obj, err := o.Get(ctx, ObjectKind, name)
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

// Apply creates or changes a profile and returns the accepted version. If
// ifVersion is negative, Apply uses the current version; a concurrent change by
// another operator is still a conflict.
func (o *Operator) Apply(ctx context.Context, doc wire.Profile, ifVersion int) (int, error) {
	current, version, err := o.Lookup(ctx, doc.Name)
	if err != nil {
		return 0, err
	}
	if current.Retired {
		return 0, trace.BadParameter("profile %s was retired at version %d; the name of a retired profile cannot be reused", doc.Name, version)
	}
	if ifVersion < 0 {
		ifVersion = version
	}
	if ifVersion != version {
		return 0, fmt.Errorf("apply %s: %w", doc.Name, &store.ConflictError{Current: version})
	}
	if o.CheckCapacity != nil {
		if err := o.CheckCapacity(ctx, doc); err != nil {
			return 0, fmt.Errorf("apply %s: %w", doc.Name, err)
		}
	}
	return o.write(ctx, doc, ifVersion)
}

// Retire takes a profile out of service permanently.
func (o *Operator) Retire(ctx context.Context, name string) (int, error) {
	doc, version, err := o.Lookup(ctx, name)
	if err != nil {
		return 0, err
	}
	if version == 0 {
		return 0, trace.NotFound("profile %s does not exist", name)
	}
	if doc.Retired {
		return version, nil
	}
	doc.Retired = true
	return o.write(ctx, doc, version)
}

// write makes the conditional update. If its response is lost, write reads the
// object back to determine the result.
func (o *Operator) write(ctx context.Context, doc wire.Profile, ifVersion int) (int, error) {
	version, err := o.Put(ctx, ObjectKind, doc.Name, ifVersion, doc)
	if err == nil {
		return version, nil
	}
	if !store.IsResponseLost(err) {
		return 0, fmt.Errorf("write profile: %w", err)
	}
	return o.confirmWrite(ctx, doc, ifVersion, err)
}

func (o *Operator) confirmWrite(ctx context.Context, doc wire.Profile, ifVersion int, writeErr error) (int, error) {
	obj, err := o.Get(ctx, ObjectKind, doc.Name)
	if err != nil {
		return 0, fmt.Errorf("write profile: the change may have been accepted; check the current version: %w", writeErr)
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
	return 0, fmt.Errorf("write profile: the change may still be accepted; check the version later: %w", writeErr)
}
