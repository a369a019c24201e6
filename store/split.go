package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/gravitational/trace"
)

// SplitArray returns the elements of an array as they are written, whatever their depth. It returns a trace.BadParameter
// error if doc is not one whole array; an element may still be invalid JSON. The elements share the memory of doc.
func SplitArray(doc []byte) ([]json.RawMessage, error) {
	s := splitter{doc: doc}
	var list []json.RawMessage
	err := s.split('[', ']', func() error {
		value, err := s.value()
		list = append(list, value)
		return err
	})
	if err != nil {
		return nil, err
	}
	return list, nil
}

// Members holds the members of an object as they are written.
type Members struct{ list []member }

type member struct {
	name  []byte
	value json.RawMessage
}

// usualMembers is how many members an object has room for at first.
const usualMembers = 4

// SplitObject returns the members of an object as SplitArray returns the elements of an array.
func SplitObject(doc []byte) (Members, error) {
	s := splitter{doc: doc}
	o := Members{list: make([]member, 0, usualMembers)}
	err := s.split('{', '}', func() error {
		m, err := s.member()
		o.list = append(o.list, m)
		return err
	})
	if err != nil {
		return Members{}, err
	}
	return o, nil
}

// Get returns the value of a member, nil if there is none. Names are case-sensitive. Of two members with one name the
// last counts.
func (o Members) Get(name string) json.RawMessage {
	for _, m := range slices.Backward(o.list) {
		if string(m.name) == name {
			return m.value
		}
	}
	return nil
}

// Decode decodes a member like json.Unmarshal. It leaves v as it is if there is no such member.
func (o Members) Decode(name string, v any) error {
	value := o.Get(name)
	if value == nil {
		return nil
	}
	if err := json.Unmarshal(value, v); err != nil {
		return fmt.Errorf("decode %s: %w", name, err)
	}
	return nil
}

// Elements returns the elements of a member that is an array, none if it is missing or null.
func (o Members) Elements(name string) ([]json.RawMessage, error) {
	value := o.Get(name)
	if value == nil || string(value) == "null" {
		return nil, nil
	}
	list, err := SplitArray(value)
	if err != nil {
		return nil, fmt.Errorf("decode %s: %w", name, err)
	}
	return list, nil
}

// splitter reads a document whose parts come from different writers, so that a part which cannot be decoded does not
// cost the others: encoding/json refuses a whole document if one part is nested too deep for it. It does not recurse.
type splitter struct {
	doc []byte
	at  int
	// closing are the brackets that are still to come in the value that is being read.
	closing []byte
}

// split reads the whole document, a list between two brackets, and calls part at the start of each part.
func (s *splitter) split(open, end byte, part func() error) error {
	if err := s.expect(open); err != nil {
		return err
	}
	for first := true; s.next() != end; first = false {
		if !first {
			if err := s.expect(','); err != nil {
				return err
			}
		}
		if err := part(); err != nil {
			return err
		}
	}
	s.at++
	if s.next(); s.at < len(s.doc) {
		return s.unexpected("the end")
	}
	return nil
}

// next skips white space and returns the next byte, 0 at the end.
func (s *splitter) next() byte {
	for ; s.at < len(s.doc); s.at++ {
		switch c := s.doc[s.at]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

func (s *splitter) expect(c byte) error {
	if s.next() != c {
		return s.unexpected(fmt.Sprintf("%q", c))
	}
	s.at++
	return nil
}

func (s *splitter) unexpected(expected string) error {
	if s.at >= len(s.doc) {
		return trace.BadParameter("JSON ends at byte %d, expected %s", s.at, expected)
	}
	return trace.BadParameter("JSON has %q at byte %d, expected %s", s.doc[s.at], s.at, expected)
}

// member reads a name and its value.
func (s *splitter) member() (member, error) {
	if s.next() != '"' {
		return member{}, s.unexpected("a name")
	}
	start := s.at
	if err := s.skipString(); err != nil {
		return member{}, err
	}
	name, err := unquote(s.doc[start:s.at])
	if err != nil {
		return member{}, trace.BadParameter("JSON has an invalid name at byte %d: %v", start, err)
	}
	if err := s.expect(':'); err != nil {
		return member{}, err
	}
	value, err := s.value()
	return member{name: name, value: value}, err
}

// unquote returns what a string means. The result may share its memory.
func unquote(quoted []byte) ([]byte, error) {
	if inner := quoted[1 : len(quoted)-1]; bytes.IndexByte(inner, '\\') < 0 {
		return inner, nil
	}
	var name string
	if err := json.Unmarshal(quoted, &name); err != nil {
		return nil, fmt.Errorf("decode string: %w", err)
	}
	return []byte(name), nil
}

// value reads a value of any depth.
func (s *splitter) value() (json.RawMessage, error) {
	s.closing = s.closing[:0]
	s.next()
	start := s.at
	for {
		if err := s.skipToken(); err != nil {
			return nil, err
		}
		if len(s.closing) == 0 {
			return s.doc[start:s.at], nil
		}
	}
}

// skipToken skips a bracket, a string, a number or literal, or a separator in a value.
func (s *splitter) skipToken() error {
	switch c := s.next(); c {
	case '{':
		s.closing = append(s.closing, '}')
	case '[':
		s.closing = append(s.closing, ']')
	case '}', ']':
		last := len(s.closing) - 1
		if last < 0 || s.closing[last] != c {
			return s.unexpected("a value")
		}
		s.closing = s.closing[:last]
	case ',', ':':
		if len(s.closing) == 0 {
			return s.unexpected("a value")
		}
	case '"':
		return s.skipString()
	default:
		return s.skipLiteral()
	}
	s.at++
	return nil
}

func (s *splitter) skipString() error {
	for s.at++; s.at < len(s.doc); s.at++ {
		switch s.doc[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return nil
		}
	}
	s.at = len(s.doc)
	return s.unexpected("the end of a string")
}

// skipLiteral skips a number, true, false, null or anything else without a delimiter in it.
func (s *splitter) skipLiteral() error {
	start := s.at
	for ; s.at < len(s.doc); s.at++ {
		switch s.doc[s.at] {
		case ' ', '\t', '\r', '\n', '{', '}', '[', ']', ',', ':', '"':
			if s.at == start {
				return s.unexpected("a value")
			}
			return nil
		}
	}
	return s.unexpected("more")
}
