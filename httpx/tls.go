package httpx

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// tlsHandshakeTimeout bounds a TLS handshake where a transport sets no bound.
const tlsHandshakeTimeout = 10 * time.Second

// handshakeTLS makes a connection to an address one of TLS, by the settings of a transport.
func handshakeTLS(ctx context.Context, base *http.Transport, conn net.Conn, address string) (net.Conn, error) {
	config := &tls.Config{}
	if base.TLSClientConfig != nil {
		config = base.TLSClientConfig.Clone()
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("TLS handshake: %w", err)
		}
		config.ServerName = host
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(base.TLSHandshakeTimeout, tlsHandshakeTimeout))
	defer cancel()
	below := &endRecorder{Conn: conn}
	secured := tls.Client(below, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
	}
	return tlsConn{Conn: secured, below: below}, nil
}

// tlsConn is a connection of TLS. Its reads meet the end of the stream only if the peer has said in TLS that it ends: the end of
// the connection below may be forged, and crypto/tls takes it for the same between two records.
type tlsConn struct {
	*tls.Conn
	below *endRecorder
}

// Read implements net.Conn.
func (c tlsConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.below.ended.Load() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// endRecorder is a connection that records whether a read has met the end of its stream.
type endRecorder struct {
	net.Conn
	ended atomic.Bool
}

// NetConn returns the connection, as that of tls.Conn does.
func (c *endRecorder) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *endRecorder) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
	}
	return n, err
}
