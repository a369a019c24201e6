package peers

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/link"
)

// longValue returns a text of about the length and redundancy of a configuration with a number of routes.
func longValue(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"Name":"route-%d","Hostname":"host-%d.example","PathPrefix":"/v1/part-%d/","RouteType":"streaming","TimeoutMs":6000,`+
			`"TargetLatencyMs":600,"TargetGapMs":250,"Priority":1,"Service":"service-%d","TrafficSplit":null,"MaxAttempts":2,"SessionAffinity":false,"Resumable":true,"Public":false},`, i, i/4, i%4, i%40)
	}
	return b.Bytes()
}

func BenchmarkConfigFrame(b *testing.B) {
	for _, n := range []int{1400, 2600, 10000} {
		value := longValue(n)
		b.Run(fmt.Sprintf("encode %d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				frame, err := configFrame(1, value)
				require.NoError(b, err)
				b.ReportMetric(float64(len(frame)), "frame_bytes")
			}
		})
		frame, err := configFrame(1, value)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("decode %d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m, err := link.Decode(frame)
				require.NoError(b, err)
				_, err = decompressConfig(m.ConfigState)
				require.NoError(b, err)
			}
		})
	}
}
