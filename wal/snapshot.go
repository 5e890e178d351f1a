package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"github.com/vmihailenco/msgpack/v5"
)

// Snapshot is the state of the caller after the entry at Index. It replaces the entries up
// to Index.
type Snapshot struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
	// Meta is a small amount of caller data, such as the membership.
	Meta []byte `msgpack:"m"`
	Data []byte `msgpack:"d"`
}

// A snapshot file is: magic (8) | owner (8) | CRC (4) | payload, with big-endian integers. The
// CRC-32C covers the owner and the payload.
const snapshotHeaderSize = 20

// snapshotEncodingSize is the size in bytes of the field names, numbers and lengths of an
// encoded snapshot, rounded up.
const snapshotEncodingSize = 64

var snapshotMagic = [8]byte{'T', 'T', 'S', 'N', 'A', 'P', 0, 1}

// size returns the size of the snapshot's file in bytes, without the encoding of its fields.
func (s *Snapshot) size() int64 { return snapshotHeaderSize + int64(len(s.Meta)) + int64(len(s.Data)) }

func encodeSnapshot(owner uint64, s *Snapshot) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(snapshotHeaderSize + len(s.Meta) + len(s.Data) + snapshotEncodingSize)
	buf.Write(make([]byte, snapshotHeaderSize))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	if err := enc.Encode(s); err != nil {
		return nil, err
	}
	b := buf.Bytes()
	copy(b, snapshotMagic[:])
	binary.BigEndian.PutUint64(b[8:], owner)
	crc := crc32.Update(crc32.Checksum(b[8:16], castagnoli), castagnoli, b[snapshotHeaderSize:])
	binary.BigEndian.PutUint32(b[16:], crc)
	return b, nil
}

func decodeSnapshot(name string, data []byte) (owner uint64, s *Snapshot, err error) {
	if len(data) < snapshotHeaderSize || !bytes.Equal(data[:8], snapshotMagic[:]) {
		return 0, nil, &CorruptError{name, 0, "snapshot header is damaged"}
	}
	payload := data[snapshotHeaderSize:]
	crc := crc32.Update(crc32.Checksum(data[8:16], castagnoli), castagnoli, payload)
	if crc != binary.BigEndian.Uint32(data[16:]) {
		return 0, nil, &CorruptError{name, snapshotHeaderSize, "snapshot checksum does not match"}
	}
	s = &Snapshot{}
	if err := msgpack.Unmarshal(payload, s); err != nil {
		return 0, nil, &CorruptError{name, snapshotHeaderSize, "decode snapshot: " + err.Error()}
	}
	return binary.BigEndian.Uint64(data[8:]), s, nil
}

// writeSnapshot writes a snapshot to a temporary file, syncs it and renames it, so that a
// crash never leaves a partial snapshot under the final name.
func writeSnapshot(fsys FS, folder string, owner uint64, s *Snapshot) error {
	data, err := encodeSnapshot(owner, s)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	name := filepath.Join(folder, snapshotName(s.Index))
	temporary := name + temporarySuffix
	f, err := fsys.Create(temporary)
	if err != nil {
		return noSpace(fmt.Errorf("create %s: %w", temporary, err))
	}
	if _, err := f.Write(data); err != nil {
		err = fmt.Errorf("write %s: %w", temporary, errors.Join(err, f.Close()))
		if undo := fsys.Remove(temporary); undo != nil {
			return fmt.Errorf("%w; it cannot be undone: %w", err, undo)
		}
		return noSpace(err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", temporary, errors.Join(err, f.Close()))
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close %s: %w", temporary, err)
	}
	if err := fsys.Rename(temporary, name); err != nil {
		return fmt.Errorf("rename %s: %w", temporary, err)
	}
	if err := fsys.SyncFolder(folder); err != nil {
		return fmt.Errorf("sync folder %s: %w", folder, err)
	}
	return nil
}
