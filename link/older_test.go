package link

import (
	"encoding/hex"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/ugorji/go/codec"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// olderReport is a frame with a VMReport as builds without its last field encode it.
var olderReport = "94" + strings.Repeat("f6", 18) + "60" + "8af6f6816161f6f6f6f4f602818560616d036000"

// Guards against a report that older VMs can not read, or whose fields they take for others: frames carry no
// names, and the hub closes the link of a VM whose frame it can not read.
func TestVMReportBesideOlderBuilds(t *testing.T) {
	data, err := hex.DecodeString(olderReport)
	require.NoError(t, err)
	m, err := Decode(data)
	require.NoError(t, err)
	report := wire.VMReport{Vms: 2, Doubts: []string{"a"}, Wants: []wire.ModelWant{{Model: "m", Requests: 3}}}
	require.Equal(t, &report, m.VMReport)

	report.WillExit = []string{"s"}
	sent, err := Encode(&wire.Message{VMReport: &report})
	require.NoError(t, err)
	want := strings.Replace(olderReport, "608af6", "608bf6", 1) + "816173"
	require.Equal(t, want, hex.EncodeToString(sent))

	var older struct{ First, Second []string }
	longer := []byte{0x83, 0x81, 0x61, 'a', 0x81, 0x61, 'b', 0x81, 0x61, 'c'}
	require.NoError(t, codec.NewDecoderBytes(longer, cborHandle).Decode(&older))
	require.Equal(t, []string{"b"}, older.Second)
}
