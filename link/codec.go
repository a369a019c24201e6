// Package link transports frames between the system's own processes as WebSocket messages
// of one CBOR value each, after a handshake in which both sides send a greeting. Peers and
// operators present a key when they connect.
package link

import (
	"fmt"

	"github.com/gravitational/trace"
	"github.com/ugorji/go/codec"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Protocol is the version of the link protocol. Frames are encoded as arrays without field
// names, which would make up most of a heartbeat. Any change of the schema therefore needs
// a new version, except optional fields whose names sort behind all others of their object:
// they come last, and builds without them skip them.
const Protocol = 5

// cborHandle encodes in canonical order, so that equal frames have equal bytes.
var cborHandle = newHandle()

func newHandle() *codec.CborHandle {
	h := new(codec.CborHandle)
	h.Canonical = true
	h.StructToArray = true
	return h
}

// Encode returns a frame in CBOR.
func Encode(m *wire.Message) ([]byte, error) { return Marshal(m) }

// Marshal returns a wire type in CBOR, as frames are encoded.
func Marshal(v any) ([]byte, error) {
	var data []byte
	if err := codec.NewEncoderBytes(&data, cborHandle).Encode(v); err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	return data, nil
}

// Unmarshal parses a wire type that Marshal has encoded. It returns a trace.BadParameter error for other data.
func Unmarshal(data []byte, v any) error {
	if err := codec.NewDecoderBytes(data, cborHandle).Decode(v); err != nil {
		return trace.BadParameter("frame is not CBOR: %v", err)
	}
	return nil
}

// Decode parses a frame from CBOR. It returns a trace.BadParameter error for a frame that
// does not have exactly one known member.
func Decode(data []byte) (*wire.Message, error) {
	m := new(wire.Message)
	if err := Unmarshal(data, m); err != nil {
		return nil, err
	}
	if n := countMembers(m); n != 1 {
		return nil, trace.BadParameter("frame has %d known members, not one", n)
	}
	return m, nil
}

func countMembers(m *wire.Message) int {
	n := 0
	for _, set := range []bool{
		m.Hello != nil, m.Gossip != nil, m.Offer != nil, m.Pull != nil, m.Push != nil,
		m.FleetQuery != nil, m.FleetReply != nil, m.Refusal != nil,
		m.ClaimCall != nil, m.ClaimReply != nil,
		m.VMReport != nil, m.FleetState != nil, m.FindCall != nil, m.FindReply != nil, m.ConfigState != nil,
		m.PermitCall != nil, m.PermitReply != nil, m.QuotaCall != nil, m.QuotaReply != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
