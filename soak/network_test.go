package soak

import (
	"bytes"
	"encoding/binary"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// maskedFrame returns a frame as the client of a WebSocket sends it.
func maskedFrame(payload string) []byte {
	frame := []byte{0x82}
	switch {
	case len(payload) < 126:
		frame = append(frame, 0x80|byte(len(payload)))
	case len(payload) < 1<<16:
		frame = binary.BigEndian.AppendUint16(append(frame, 0x80|126), uint16(len(payload)))
	default:
		frame = binary.BigEndian.AppendUint64(append(frame, 0x80|127), uint64(len(payload)))
	}
	key := []byte{1, 2, 3, 4}
	data := []byte(payload)
	applyMask(data, key)
	return append(append(frame, key...), data...)
}

// Guards against a run that fails because another process has the port of a proxy for its datagrams.
func TestPeerWayTakesAnotherPort(t *testing.T) {
	tests := map[string]struct {
		taken int
		want  bool
	}{
		"the first is free":   {0, true},
		"the first are taken": {3, true},
		"all are taken":       {maxPortTries, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tries := 0
			way, err := newPeerWay(func(address string) (net.PacketConn, error) {
				if tries++; tries <= tc.taken {
					return nil, syscall.EADDRINUSE
				}
				return listenDatagrams(address)
			}, "127.0.0.1:1")
			if !tc.want {
				require.ErrorIs(t, err, syscall.EADDRINUSE)
				return
			}
			require.NoError(t, err)
			require.Equal(t, way.Address(), way.datagrams.front.LocalAddr().String())
			way.Close()
		})
	}
}

// Guards against a VM that learns the address of another one past the network, and so goes round its faults.
func TestFramesNameTheNetwork(t *testing.T) {
	const head = "GET /link HTTP/1.1\r\nUpgrade: websocket\r\n\r\n"
	long := strings.Repeat("x", 1<<16)
	for name, tc := range map[string]struct{ sent, want string }{
		"frame":        {head + string(maskedFrame("at 1.1:20")), head + string(maskedFrame("at 1.1:30"))},
		"long frame":   {head + string(maskedFrame(long[:300]+"1.1:20")), head + string(maskedFrame(long[:300]+"1.1:30"))},
		"longer frame": {head + string(maskedFrame(long+"1.1:20")), head + string(maskedFrame(long+"1.1:30"))},
		"two frames":   {head + string(maskedFrame("1.1:20")) + string(maskedFrame("1.1:21")), head + string(maskedFrame("1.1:30")) + string(maskedFrame("1.1:21"))},
		"no WebSocket": {"POST / HTTP/1.1\r\n\r\n1.1:20", "POST / HTTP/1.1\r\n\r\n1.1:20"},
	} {
		for _, step := range []int{1, 7, len(tc.sent)} {
			t.Run(name, func(t *testing.T) {
				f := frameRewriter{aliases: &aliases{}}
				f.aliases.add("1.1:20", "1.1:30")
				var got bytes.Buffer
				for rest := []byte(tc.sent); len(rest) > 0; rest = rest[min(step, len(rest)):] {
					got.Write(f.next(rest[:min(step, len(rest))]))
				}
				require.Equal(t, tc.want, got.String())
			})
		}
	}
}

// Guards against the same in what VMs and the store answer, where a read may end within an address.
func TestResponsesNameTheNetwork(t *testing.T) {
	p := &Proxy{aliases: &aliases{}}
	p.aliases.add("127.0.0.1:20000", "127.0.0.1:30000")
	for name, tc := range map[string]struct {
		reads []string
		want  string
	}{
		"whole":           {[]string{"at 127.0.0.1:20000."}, "at 127.0.0.1:30000."},
		"in two reads":    {[]string{"at 127.0.0.", "1:20000."}, "at 127.0.0.1:30000."},
		"another address": {[]string{"at 127.0.0.1:2", "1000"}, "at 127.0.0.1:21000"},
		"ends within one": {[]string{"at 127.0.0.1:2"}, "at 127.0.0.1:2"},
	} {
		t.Run(name, func(t *testing.T) {
			rewrite, got := p.rewriter(true), ""
			for i, data := range tc.reads {
				got += string(rewrite([]byte(data), i == len(tc.reads)-1))
			}
			require.Equal(t, tc.want, got)
		})
	}
}
