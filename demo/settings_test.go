package demo

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a port for a VM that a socket of another process already holds.
func TestCheckFreeOfHeldPorts(t *testing.T) {
	tests := map[string]struct {
		address string
		// outgoing selects the port of a connection to the listener.
		outgoing bool
	}{
		"listens on the address":    {"127.0.0.1:0", false},
		"listens on all addresses":  {"0.0.0.0:0", false},
		"listens on IPv6 addresses": {"[::]:0", false},
		"outgoing connection":       {"127.0.0.1:0", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", tt.address)
			require.NoError(t, err)
			t.Cleanup(func() { require.NoError(t, l.Close()) })
			held := l.Addr()
			if tt.outgoing {
				c, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				t.Cleanup(func() { require.NoError(t, c.Close()) })
				held = c.LocalAddr()
			}
			require.Error(t, checkFree(held.(*net.TCPAddr).Port))
		})
	}
}
