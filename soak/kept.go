package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// keptConn is a caller with one connection to a VM, on which it sends one request after the other until the VM closes
// it. Unlike http.Transport it never sends a request twice.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// RoundTrip implements http.RoundTripper. A body that is cut short is returned with its error at its end.
func (k *keptConn) RoundTrip(r *http.Request) (*http.Response, error) {
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", r.URL.Host, callTimeout)
		if err != nil {
			return nil, err
		}
		k.conn, k.reader = conn, bufio.NewReader(conn)
	}
	resp, err := k.exchange(r)
	if err != nil || resp.Close {
		k.close()
	}
	return resp, err
}

func (k *keptConn) exchange(r *http.Request) (*http.Response, error) {
	if err := k.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return nil, fmt.Errorf("limit the time of the request: %w", err)
	}
	if err := r.Write(k.conn); err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	resp, err := http.ReadResponse(k.reader, r)
	if err != nil {
		return nil, fmt.Errorf("read head: %w", err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), failingReader{err}))
	resp.Close = resp.Close || err != nil
	return resp, nil
}

func (k *keptConn) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// failingReader reads nothing and ends with an error, io.EOF if it is nil.
type failingReader struct{ err error }

// Read implements io.Reader.
func (f failingReader) Read([]byte) (int, error) {
	if f.err == nil {
		return 0, io.EOF
	}
	return 0, f.err
}
