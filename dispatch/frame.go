package dispatch

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// FrameType tells what a frame carries.
type FrameType byte

// Types of frames.
const (
	FrameAccepted  FrameType = 1
	FrameHeartbeat FrameType = 2
	FrameStarted   FrameType = 3
	FrameData      FrameType = 4
	FrameEnd       FrameType = 5
	FrameRefused   FrameType = 6
	FrameLost      FrameType = 7
)

// MaxFrame bounds a frame's payload, in bytes.
const MaxFrame = 1 << 20

const frameHeaderSize = 5

// Writer writes frames. Each frame is one Write to the underlying writer.
type Writer struct {
	w   io.Writer
	buf []byte
}

// NewWriter returns a frame writer.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w} }

// WriteData writes a data frame with the payload as it is, split at MaxFrame.
func (w *Writer) WriteData(p []byte) error {
	for len(p) > MaxFrame {
		if err := w.write(FrameData, p[:MaxFrame]); err != nil {
			return err
		}
		p = p[MaxFrame:]
	}
	return w.write(FrameData, p)
}

// WriteMessage writes a control frame with a msgpack payload.
func (w *Writer) WriteMessage(t FrameType, message any) error {
	b, err := msgpack.Marshal(message)
	if err != nil {
		return fmt.Errorf("encoding frame %d: %w", t, err)
	}
	return w.write(t, b)
}

func (w *Writer) write(t FrameType, p []byte) error {
	w.buf = append(w.buf[:0], byte(t), 0, 0, 0, 0)
	binary.BigEndian.PutUint32(w.buf[1:], uint32(len(p))) //nolint:gosec // bounded by MaxFrame
	w.buf = append(w.buf, p...)
	_, err := w.w.Write(w.buf)
	return err
}

// Reader reads frames.
type Reader struct {
	r      io.Reader
	header [frameHeaderSize]byte
	buf    []byte
}

// NewReader returns a frame reader. Wrap unbuffered sources in a bufio.Reader.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Next returns the next frame. The payload is valid until the next call. It returns
// io.EOF only between frames and io.ErrUnexpectedEOF inside one.
func (r *Reader) Next() (FrameType, []byte, error) {
	if _, err := io.ReadFull(r.r, r.header[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(r.header[1:])
	if n > MaxFrame {
		return 0, nil, fmt.Errorf("frame of %d bytes exceeds %d", n, MaxFrame)
	}
	if cap(r.buf) < int(n) {
		r.buf = make([]byte, n)
	}
	r.buf = r.buf[:n]
	if _, err := io.ReadFull(r.r, r.buf); err != nil {
		return 0, nil, noEOF(err)
	}
	return FrameType(r.header[0]), r.buf, nil
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Decode unmarshals a control payload.
func Decode(payload []byte, into any) error {
	if err := msgpack.Unmarshal(payload, into); err != nil {
		return fmt.Errorf("decoding frame: %w", err)
	}
	return nil
}
