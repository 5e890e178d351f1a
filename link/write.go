package link

import (
	"net"
	"time"
)

// writeChunk is how many bytes one write deadline covers, so that a large message on a slow
// path is not taken for silence.
const writeChunk = 64 << 10

// boundedConn closes itself when the peer takes no bytes for ProbeTimeout. net/rpc writes
// while it holds a lock: without the bound, a silent peer whose buffers are full holds every
// call and probe on the connection until TCP gives up, which takes minutes.
type boundedConn struct{ net.Conn }

// Write writes p in chunks with a deadline each.
func (c boundedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := c.writeChunk(p[written:min(written+writeChunk, len(p))])
		written += n
		if err != nil {
			_ = c.Close()
			return written, err
		}
	}
	return written, nil
}

func (c boundedConn) writeChunk(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(ProbeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
