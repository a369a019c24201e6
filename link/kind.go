package link

import (
	"reflect"
	"strings"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// KindUnknown is the kind of data that is no frame of this protocol.
const KindUnknown = "unknown"

// First bytes of CBOR data items.
const (
	cborNull      = 0xf6
	cborTextBase  = 0x60
	cborArrayBase = 0x80
	// cborMaxTiny is the largest length that is part of the first byte.
	cborMaxTiny = 23
	// cborLength8 and cborLength16 follow the base if one or two bytes with the length follow.
	cborLength8, cborLength16 = 24, 25
)

// memberNames are the names of the members of wire.Message, in the order in which they are encoded.
var memberNames = namesOfMembers()

func namesOfMembers() []string {
	message := reflect.TypeFor[wire.Message]()
	names := make([]string, message.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(message.Field(i).Tag.Get("json"), ",")
	}
	return names
}

const traceparentName = "traceparent"

// KindOf returns the name of the member that is set in an encoded frame, without decoding it: a
// frame of a large fleet has hundreds of kilobytes.
func KindOf(data []byte) string {
	if len(data) == 0 || int(data[0]) != cborArrayBase+len(memberNames) {
		return KindUnknown
	}
	rest := data[1:]
	for _, name := range memberNames {
		switch {
		case len(rest) == 0:
			return KindUnknown
		case rest[0] == cborNull:
			rest = rest[1:]
		case name != traceparentName:
			return name
		default:
			rest = skipText(rest)
		}
	}
	return KindUnknown
}

// skipText returns what follows the text at the start of data, and nothing if there is no text.
func skipText(data []byte) []byte {
	length, header := int(data[0])-cborTextBase, 1
	switch {
	case length < 0 || length > cborLength16:
		return nil
	case length == cborLength8 && len(data) > 1:
		length, header = int(data[1]), 2
	case length == cborLength16 && len(data) > 2:
		length, header = int(data[1])<<8|int(data[2]), 3
	case length > cborMaxTiny:
		return nil
	}
	return data[min(header+length, len(data)):]
}
