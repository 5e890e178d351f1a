package wal

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func exampleSegment(t testing.TB) (segment, []byte) {
	s := segment{owner: 7, sequence: 1}
	data := s.header()
	for _, b := range []*batch{
		{State: []byte("state")},
		{Mark: &mark{Index: 3, Keep: true}, Entries: []Entry{{Index: 4, Term: 2, Data: []byte("four")}}},
	} {
		frame, err := s.encodeFrame(int64(len(data)), b)
		assert.NilError(t, err)
		data = append(data, frame...)
	}
	return s, data
}

// Guards against a segment decoder that panics, reads past the end, accepts a header that
// header() does not produce, or leaves bytes unread in a segment that is not the last.
func FuzzSegment(f *testing.F) {
	_, data := exampleSegment(f)
	f.Add(data, true)
	f.Add(data[:len(data)-3], true)
	f.Add(data[:headerSize+5], false)
	f.Fuzz(func(t *testing.T, data []byte, last bool) {
		s, ok := parseHeader(data)
		if !ok {
			return
		}
		assert.DeepEqual(t, s.header(), data[:headerSize])
		end, err := s.scan("segment", data, last, func(*batch) error { return nil })
		if err == nil {
			assert.Assert(t, end >= headerSize && end <= int64(len(data)))
			assert.Assert(t, last || end == int64(len(data)))
		}
	})
}

// Guards against a batch decoder that panics or that returns other entries after a batch is
// encoded again.
func FuzzBatch(f *testing.F) {
	s, data := exampleSegment(f)
	for offset := int64(headerSize); offset < int64(len(data)); {
		payload, _ := s.frameAt(data, offset)
		f.Add(payload)
		offset += frameHeaderSize + int64(len(payload))
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		b, err := decodeBatch(payload)
		if err != nil {
			return
		}
		frame, err := s.encodeFrame(0, b)
		assert.NilError(t, err)
		again, err := decodeBatch(frame[frameHeaderSize:])
		assert.NilError(t, err)
		assert.Equal(t, len(again.Entries), len(b.Entries))
		for i, e := range b.Entries {
			assert.Equal(t, again.Entries[i].Index, e.Index)
			assert.Assert(t, bytes.Equal(again.Entries[i].Data, e.Data))
		}
	})
}

// Guards against a snapshot decoder that panics or restores other data than was saved.
func FuzzSnapshot(f *testing.F) {
	data, err := encodeSnapshot(7, &Snapshot{Index: 3, Term: 2, Meta: []byte("meta"), Data: []byte("data")})
	assert.NilError(f, err)
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		owner, s, err := decodeSnapshot("snapshot", data)
		if err != nil {
			return
		}
		again, err := encodeSnapshot(owner, s)
		assert.NilError(t, err)
		_, twice, err := decodeSnapshot("snapshot", again)
		assert.NilError(t, err)
		assert.Equal(t, twice.Index, s.Index)
		assert.Assert(t, bytes.Equal(twice.Data, s.Data))
	})
}
