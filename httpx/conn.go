package httpx

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// trackedConn is a connection of a Transport. It counts the bytes passed to Write, and its reads meet the end of the stream
// only if the peer has closed in order.
type trackedConn struct {
	net.Conn
	sentBytes atomic.Int64
	// writing counts the writes in progress, writeFailed is set once one has failed.
	writing     atomic.Int32
	writeFailed atomic.Bool

	// head checks the head of the next response, nil while none is expected. readErr is the first error of a read, which all
	// later ones return.
	mu      sync.Mutex
	head    *HeadChecker
	readErr error
}

// expectHead has the head of the response that comes next checked.
func (c *trackedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = &HeadChecker{}
}

// Write implements net.Conn. A write is counted before it starts, because a write that fails may have sent part of its
// bytes.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.sentBytes.Add(int64(len(p)))
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	if err := c.failedRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.failedWhileWriting() {
		err = ErrReset
	}
	return c.checkRead(p[:n], err)
}

// failedRead returns the error of an earlier read that found the response broken.
func (c *trackedConn) failedRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

// checkRead checks what was read of a head, and returns what Read returns.
func (c *trackedConn) checkRead(data []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		return len(data), err
	}
	n, malformed := c.head.Check(data)
	if malformed == nil {
		return n, err
	}
	c.readErr = malformed
	if n > 0 {
		// The transport takes an error in place of the first byte for a connection that was closed while it was unused, and
		// may send the request again.
		return n, nil
	}
	return 0, malformed
}

// failedWhileWriting reports whether the connection, whose stream has ended, may have failed in a write.
func (c *trackedConn) failedWhileWriting() bool {
	return (c.writing.Load() > 0 || c.writeFailed.Load()) && FailedConn(c.Conn)
}
