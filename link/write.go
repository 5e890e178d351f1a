package link

import (
	"net"
	"time"
)

// writeChunkSize is the number of bytes that one write deadline covers. With one deadline for
// a whole message, a large message on a slow path would look like a silent peer.
const writeChunkSize = 64 << 10

// writeTimeoutConn closes itself when the peer does not accept a chunk within ProbeTimeout.
// net/rpc writes while it holds a lock: without the timeout, a silent peer whose buffers are
// full blocks every call and probe on the connection until TCP gives up, which takes minutes.
type writeTimeoutConn struct{ net.Conn }

// Write writes p in chunks, each with its own deadline.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := c.writeChunk(p[written:min(written+writeChunkSize, len(p))])
		written += n
		if err != nil {
			_ = c.Close()
			return written, err
		}
	}
	return written, nil
}

// writeChunk writes p within ProbeTimeout.
func (c writeTimeoutConn) writeChunk(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(ProbeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
