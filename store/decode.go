package store

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Objects come from different writers. One that cannot be decoded has no value, and no name or version if these cannot be
// decoded; the others of a listing or watch hold.

// decodeResponse decodes the body of a response.
func decodeResponse(data []byte, out any) error {
	switch out := out.(type) {
	case *Object:
		return out.decode(data)
	case *Listing:
		return out.decode(data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

func (l *Listing) decode(data []byte) error {
	members, err := SplitObject(data)
	if err != nil {
		return fmt.Errorf("decode listing: %w", err)
	}
	items, err := members.Elements("items")
	if err := errors.Join(err, members.Decode("version", &l.Version)); err != nil {
		return fmt.Errorf("decode listing: %w", err)
	}
	for _, item := range items {
		var o Object
		_ = o.decode(item)
		l.Items = append(l.Items, o)
	}
	return nil
}

func (o *Object) decode(data []byte) error {
	members, err := SplitObject(data)
	if err != nil {
		return fmt.Errorf("decode object: %w", err)
	}
	if err := errors.Join(members.Decode("kind", &o.Kind), members.Decode("name", &o.Name), members.Decode("version", &o.Version)); err != nil {
		return fmt.Errorf("decode object: %w", err)
	}
	o.Value = members.Get("value")
	return nil
}

// decode decodes an event. It returns an error if data is no event, and not even a part of one can be used.
func (e *Event) decode(data []byte) error {
	members, err := SplitObject(data)
	if err != nil {
		return fmt.Errorf("decode watch event: %w", err)
	}
	if errors.Join(members.Decode("type", &e.Type), members.Decode("name", &e.Name), members.Decode("version", &e.Version)) == nil {
		e.Value = members.Get("value")
	}
	return nil
}
