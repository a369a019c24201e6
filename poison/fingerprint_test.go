package poison_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/poison"
)

// Guards against a repeat with a different fingerprint, which would lose the record of earlier
// crashes, and against different requests sharing one.
func TestFingerprintIdentifiesRepeats(t *testing.T) {
	fingerprint := func(method, target, remoteAddr, body, id string) poison.Fingerprint {
		r := httptest.NewRequest(method, target, strings.NewReader(body))
		r.RequestURI = r.URL.RequestURI() // as callers send it, without the host
		r.RemoteAddr = remoteAddr
		r.Header.Set("Request-Id", id)
		return poison.FingerprintOf(r, []byte(body))
	}
	original := fingerprint("POST", "http://a.example/p/1?x=2", "10.0.0.1:4000", "body", "1")
	tests := map[string]struct {
		got       poison.Fingerprint
		wantEqual bool
	}{
		"another identifier and connection": {fingerprint("POST", "http://a.example/p/1?x=2", "10.0.0.1:4001", "body", "2"), true},
		"another method":                    {fingerprint("PUT", "http://a.example/p/1?x=2", "10.0.0.1:4000", "body", "1"), false},
		"another host":                      {fingerprint("POST", "http://b.example/p/1?x=2", "10.0.0.1:4000", "body", "1"), false},
		"another path":                      {fingerprint("POST", "http://a.example/p/2?x=2", "10.0.0.1:4000", "body", "1"), false},
		"another query":                     {fingerprint("POST", "http://a.example/p/1?x=3", "10.0.0.1:4000", "body", "1"), false},
		"another caller":                    {fingerprint("POST", "http://a.example/p/1?x=2", "10.0.0.2:4000", "body", "1"), true},
		"another body":                      {fingerprint("POST", "http://a.example/p/1?x=2", "10.0.0.1:4000", "bode", "1"), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.wantEqual, tc.got == original)
		})
	}
}
