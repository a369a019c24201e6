package httpx

import (
	"io"
	"net"
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
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.failedWhileWriting() {
		err = ErrReset
	}
	return n, err
}

// failedWhileWriting reports whether the connection, whose stream has ended, may have failed in a write.
func (c *trackedConn) failedWhileWriting() bool {
	return (c.writing.Load() > 0 || c.writeFailed.Load()) && FailedConn(c.Conn)
}
