package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"
)

// A segment is a header followed by frames. All integers are big-endian.
//
//	header: magic (8) | owner (8) | sequence (8) | CRC (4)
//	frame:  magic (4) | length (4) | CRC (4) | payload (length)
//
// CRC is CRC-32C. The CRC of a frame covers the owner, the sequence, the frame's offset, its
// length and its payload, so that a frame copied from another file or offset is not valid.
const (
	headerSize      = 28
	frameHeaderSize = 12
	// MaxFrameSize bounds the payload of one frame in bytes.
	MaxFrameSize = 256 << 20
)

var (
	segmentMagic = [8]byte{'T', 'T', 'W', 'A', 'L', 0, 0, 1}
	frameMagic   = [4]byte{0xF7, 'F', 'R', 'M'}
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
)

// ErrFrameTooLarge is returned by Append for a batch of more than MaxFrameSize bytes.
// The batch is not written, and the log accepts further batches.
var ErrFrameTooLarge = errors.New("batch exceeds the frame size")

// CorruptError reports damage to a file that a torn write cannot have caused, with the
// offset in bytes.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt file %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Entry is one log entry. Appending an entry replaces all entries at its index and after it.
type Entry struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// EncodeMsgpack writes an entry as three consecutive values.
func (e *Entry) EncodeMsgpack(enc *msgpack.Encoder) error {
	return errors.Join(enc.EncodeUint(e.Index), enc.EncodeUint(e.Term), enc.EncodeBytes(e.Data))
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (e *Entry) DecodeMsgpack(dec *msgpack.Decoder) (err error) {
	if e.Index, err = dec.DecodeUint64(); err != nil {
		return err
	}
	if e.Term, err = dec.DecodeUint64(); err != nil {
		return err
	}
	e.Data, err = dec.DecodeBytes()
	return err
}

// mark records that a snapshot replaced the entries up to Index, or all entries if Keep is
// false.
type mark struct {
	Index uint64 `msgpack:"i"`
	Keep  bool   `msgpack:"k"`
}

// entryList is decoded without allocating by the encoded length: a damaged length could
// exceed the available memory.
type entryList []Entry

// DecodeMsgpack reads an array of entries.
func (l *entryList) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	for range n {
		var e Entry
		if err := e.DecodeMsgpack(dec); err != nil {
			return err
		}
		*l = append(*l, e)
	}
	return nil
}

// batch is the payload of one frame, which one sync makes durable. Recovery applies Mark
// before Entries.
type batch struct {
	State   []byte    `msgpack:"s,omitempty"`
	Mark    *mark     `msgpack:"m,omitempty"`
	Entries entryList `msgpack:"e,omitempty"`
}

// segment identifies a segment file. Both numbers are part of the checksum of each frame.
type segment struct {
	owner    uint64
	sequence uint64
}

// header returns the encoded segment header.
func (s segment) header() []byte {
	b := make([]byte, headerSize)
	copy(b, segmentMagic[:])
	binary.BigEndian.PutUint64(b[8:], s.owner)
	binary.BigEndian.PutUint64(b[16:], s.sequence)
	binary.BigEndian.PutUint32(b[24:], crc32.Checksum(b[:24], castagnoli))
	return b
}

// parseHeader decodes a segment header. It returns false if the header is torn or damaged.
func parseHeader(data []byte) (segment, bool) {
	if len(data) < headerSize || !bytes.Equal(data[:8], segmentMagic[:]) {
		return segment{}, false
	}
	if crc32.Checksum(data[:24], castagnoli) != binary.BigEndian.Uint32(data[24:]) {
		return segment{}, false
	}
	return segment{
		owner:    binary.BigEndian.Uint64(data[8:]),
		sequence: binary.BigEndian.Uint64(data[16:]),
	}, true
}

func (s segment) checksum(offset int64, payload []byte) uint32 {
	var seed [28]byte
	binary.BigEndian.PutUint64(seed[0:], s.owner)
	binary.BigEndian.PutUint64(seed[8:], s.sequence)
	binary.BigEndian.PutUint64(seed[16:], uint64(offset))
	binary.BigEndian.PutUint32(seed[24:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(seed[:], castagnoli), castagnoli, payload)
}

// encodeFrame returns the frame of a batch to be written at offset.
func (s segment) encodeFrame(offset int64, b *batch) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, frameHeaderSize))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	if err := enc.Encode(b); err != nil {
		return nil, err
	}
	frame := buf.Bytes()
	payload := frame[frameHeaderSize:]
	if len(payload) > MaxFrameSize {
		return nil, ErrFrameTooLarge
	}
	copy(frame, frameMagic[:])
	binary.BigEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[8:], s.checksum(offset, payload))
	return frame, nil
}

// frameAt returns the payload of the frame at offset, or false if it is torn or
// damaged.
func (s segment) frameAt(data []byte, offset int64) ([]byte, bool) {
	rest := data[offset:]
	if len(rest) < frameHeaderSize || !bytes.Equal(rest[:4], frameMagic[:]) {
		return nil, false
	}
	length := int64(binary.BigEndian.Uint32(rest[4:]))
	if length > MaxFrameSize || length > int64(len(rest)-frameHeaderSize) {
		return nil, false
	}
	payload := rest[frameHeaderSize : frameHeaderSize+length]
	return payload, s.checksum(offset, payload) == binary.BigEndian.Uint32(rest[8:])
}

// nextFrame returns the offset of the first valid frame at or after offset, or -1.
func (s segment) nextFrame(data []byte, offset int64) int64 {
	for {
		i := bytes.Index(data[offset:], frameMagic[:])
		if i < 0 {
			return -1
		}
		offset += int64(i)
		if _, ok := s.frameAt(data, offset); ok {
			return offset
		}
		offset++
	}
}

// scan calls f for every batch of a segment and returns the offset after the last valid frame.
// Only the last segment may end in a torn frame; last is true for it.
//
// Each frame is synced before the next is written. A damaged frame with a valid one after it
// was therefore synced, so its damage is not a torn write.
func (s segment) scan(name string, data []byte, last bool, f func(*batch) error) (int64, error) {
	offset := int64(headerSize)
	for offset < int64(len(data)) {
		payload, ok := s.frameAt(data, offset)
		if !ok {
			if next := s.nextFrame(data, offset+1); next >= 0 {
				return 0, &CorruptError{name, offset, fmt.Sprintf("damaged frame before a valid one at offset %d", next)}
			}
			if !last {
				return 0, &CorruptError{name, offset, "damaged frame before a later segment"}
			}
			return offset, nil
		}
		b, err := decodeBatch(payload)
		if err != nil {
			return 0, &CorruptError{name, offset, err.Error()}
		}
		if err := f(b); err != nil {
			return 0, &CorruptError{name, offset, err.Error()}
		}
		offset += frameHeaderSize + int64(len(payload))
	}
	return offset, nil
}

func decodeBatch(payload []byte) (*batch, error) {
	var b batch
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	r := bytes.NewReader(payload)
	dec.Reset(r)
	if err := dec.Decode(&b); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	if r.Len() > 0 {
		return nil, errors.New("decode batch: trailing bytes")
	}
	return &b, nil
}
