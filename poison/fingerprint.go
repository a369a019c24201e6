// Package poison tracks requests that crash the backend servers executing them and blocks their
// repeats, which it identifies by a fingerprint. Such a request is repeated with new identifiers
// and through any VM, and each crash also fails the other requests running on the server. The
// package performs no I/O and does not read the clock.
package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
)

// Fingerprint is a hex-encoded digest that is shared by repeats of the same request, even if
// their identifiers differ.
type Fingerprint string

// fingerprintBytes is the length of the truncated digest. 64 bits make it impractical to craft
// a request that matches the fingerprint of a given one.
const fingerprintBytes = 8

// FingerprintOf returns the fingerprint of r, whose body has already been read into body. It
// covers the method, host, path, query and body. Headers are excluded because identifiers and
// deadlines differ between repeats, and the caller's address because repeats come from several.
func FingerprintOf(r *http.Request, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.RequestURI} {
		// The parts contain no NUL bytes, so terminating each with one keeps the encoding
		// unambiguous. Writes to a hash never return an error.
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}
