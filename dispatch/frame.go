package dispatch

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// FrameType is the type of a frame's payload.
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

// Sizes of the parts of a frame, in bytes. The header holds the type and the size of the
// payload. Every payload begins with the checksum of the dispatch identity; in a data frame
// the offset of its bytes in the answer follows.
const (
	frameHeaderSize = 5
	checksumSize    = 8
	offsetSize      = 8
	maxData         = MaxFrame - checksumSize - offsetSize
)

// Errors of Reader.Next.
var (
	// ErrForeignFrame: the frame belongs to another dispatch.
	ErrForeignFrame = errors.New("frame of another dispatch")
	// ErrGap: bytes of the answer are missing or repeated.
	ErrGap = errors.New("gap in the answer")
	// ErrMalformed: the frame's size is out of bounds.
	ErrMalformed = errors.New("malformed frame")
)

// Writer writes the frames of one dispatch. Each frame is one Write to the underlying
// writer.
type Writer struct {
	w      io.Writer
	sum    uint64
	offset int64
	buf    []byte
}

// NewWriter returns a frame writer for a dispatch.
func NewWriter(w io.Writer, id ID) *Writer { return &Writer{w: w, sum: id.Sum()} }

// Offset returns the number of answer bytes written.
func (w *Writer) Offset() int64 { return w.offset }

// WriteData writes the next bytes of the answer, split into frames of at most MaxFrame.
func (w *Writer) WriteData(p []byte) error {
	for len(p) > maxData {
		if err := w.writeData(p[:maxData]); err != nil {
			return err
		}
		p = p[maxData:]
	}
	return w.writeData(p)
}

func (w *Writer) writeData(p []byte) error {
	w.beginFrame(FrameData, offsetSize+len(p))
	w.buf = binary.BigEndian.AppendUint64(w.buf, uint64(w.offset)) //nolint:gosec // never negative
	w.buf = append(w.buf, p...)
	w.offset += int64(len(p))
	return w.flush()
}

// WriteMessage writes a frame of a type other than FrameData with a msgpack payload.
func (w *Writer) WriteMessage(t FrameType, message any) error {
	b, err := msgpack.Marshal(message)
	if err != nil {
		return fmt.Errorf("encoding frame %d: %w", t, err)
	}
	w.beginFrame(t, len(b))
	w.buf = append(w.buf, b...)
	return w.flush()
}

func (w *Writer) beginFrame(t FrameType, size int) {
	w.buf = append(w.buf[:0], byte(t))
	w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(checksumSize+size)) //nolint:gosec // bounded by MaxFrame
	w.buf = binary.BigEndian.AppendUint64(w.buf, w.sum)
}

func (w *Writer) flush() error {
	_, err := w.w.Write(w.buf)
	return err
}

// Reader reads the frames of one dispatch and checks that they belong to it and that
// the answer has no gap.
type Reader struct {
	r      io.Reader
	sum    uint64
	offset int64
	header [frameHeaderSize]byte
	buf    []byte
}

// NewReader returns a frame reader for a dispatch. Wrap unbuffered sources in a
// bufio.Reader.
func NewReader(r io.Reader, id ID) *Reader { return &Reader{r: r, sum: id.Sum()} }

// Offset returns the number of answer bytes read.
func (r *Reader) Offset() int64 { return r.offset }

// Next returns the next frame; for a data frame the payload is the answer's next bytes.
// The payload is valid until the next call. It returns io.EOF only between frames and
// io.ErrUnexpectedEOF inside one.
func (r *Reader) Next() (FrameType, []byte, error) {
	if _, err := io.ReadFull(r.r, r.header[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(r.header[1:])
	if n > MaxFrame || n < checksumSize {
		return 0, nil, fmt.Errorf("%w: %d bytes", ErrMalformed, n)
	}
	if cap(r.buf) < int(n) {
		r.buf = make([]byte, n)
	}
	r.buf = r.buf[:n]
	if _, err := io.ReadFull(r.r, r.buf); err != nil {
		return 0, nil, unexpectedEOF(err)
	}
	if binary.BigEndian.Uint64(r.buf) != r.sum {
		return 0, nil, ErrForeignFrame
	}
	t, payload := FrameType(r.header[0]), r.buf[checksumSize:]
	if t != FrameData {
		return t, payload, nil
	}
	return r.readData(payload)
}

func (r *Reader) readData(payload []byte) (FrameType, []byte, error) {
	if len(payload) < offsetSize {
		return 0, nil, fmt.Errorf("%w: data frame without offset", ErrMalformed)
	}
	if at := binary.BigEndian.Uint64(payload); at != uint64(r.offset) { //nolint:gosec // never negative
		return 0, nil, fmt.Errorf("%w: expected offset %d, got %d", ErrGap, r.offset, at)
	}
	payload = payload[offsetSize:]
	r.offset += int64(len(payload))
	return FrameData, payload, nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// decoder is a reusable msgpack decoder with its input.
type decoder struct {
	payload bytes.Reader
	msgpack *msgpack.Decoder
}

var decoders = sync.Pool{New: func() any { return &decoder{msgpack: msgpack.NewDecoder(nil)} }}

// Decode unmarshals the msgpack payload of a frame other than a data frame. The result does
// not alias the payload.
func Decode(payload []byte, into any) error {
	if err := checkShape(payload); err != nil {
		return fmt.Errorf("decoding frame: %w", err)
	}
	d := decoders.Get().(*decoder)
	defer decoders.Put(d)
	d.payload.Reset(payload)
	defer d.payload.Reset(nil)
	d.msgpack.Reset(&d.payload)
	if err := d.msgpack.Decode(into); err != nil {
		return fmt.Errorf("decoding frame: %w", err)
	}
	return nil
}
