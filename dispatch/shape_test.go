package dispatch_test

import (
	"bytes"
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"toucantiller.dev/dispatch"
)

// nested returns a message with an unknown field that holds depth arrays in one another.
func nested(depth int) []byte {
	head := []byte{0x81, 0xa1, 'z'} // a map with the key "z"
	return append(append(head, bytes.Repeat([]byte{0x91}, depth)...), 0x01)
}

// Guards against a message of 1 MiB whose nesting takes 256 MiB of stack, which ends the process
// that reads it.
func TestDeeplyNestedMessageExhaustsMemory(t *testing.T) {
	for _, depth := range []int{40, dispatch.MaxFrame - 4} {
		var seal dispatch.SealReply
		assert.ErrorIs(t, dispatch.ReadMessage(bytes.NewReader(nested(depth)), &seal), dispatch.ErrTooDeep)
		assert.ErrorIs(t, dispatch.Decode(nested(depth), &seal), dispatch.ErrTooDeep)
	}
	var seal dispatch.SealReply
	assert.NilError(t, dispatch.ReadMessage(bytes.NewReader(nested(20)), &seal))
	assert.ErrorIs(t, dispatch.ReadMessage(bytes.NewReader(make([]byte, dispatch.MaxFrame+1)), &seal), dispatch.ErrMalformed)
}

// Guards against a message of a few bytes for which the decoder makes room for a million values.
func TestDeclaredCountExhaustsMemory(t *testing.T) {
	message := []byte("\x81\xa6answer\x81\xa6header\xdf\xff\xff\xff\xff\xa1a\x90")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var seal dispatch.SealReply
	err := dispatch.ReadMessage(bytes.NewReader(message), &seal)
	runtime.ReadMemStats(&after)
	assert.ErrorIs(t, err, dispatch.ErrMalformed)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 1<<20, "%d bytes", after.TotalAlloc-before.TotalAlloc)
}

// Guards against nesting that hides behind a value of any other kind.
func TestNestingBehindEachKindOfValue(t *testing.T) {
	long := strings.Repeat("s", 1<<16)
	for name, value := range map[string]any{
		"nil": nil, "bool": true, "small": 7, "negative": -3, "int8": int8(-100), "uint16": uint16(1 << 15), "int32": int32(1 << 30),
		"uint64": uint64(1 << 63), "float32": float32(1), "float64": 1.5, "short string": "s", "string8": long[:200], "string16": long[:300],
		"string32": long, "binary8": []byte(long[:10]), "binary16": []byte(long[:300]), "binary32": []byte(long),
		"extension": &msgpack.RawMessage{0xc7, 2, 5, 0x91, 0x91}, "fixed extension": &msgpack.RawMessage{0xd8, 5, 15: 0x91, 17: 0},
		"array16": make([]int, 100), "array32": make([]int, 1<<16), "map16": map[int]int{1: 2, 3: 4}, "empty": []int{}, "empty map": map[int]int{},
	} {
		t.Run(name, func(t *testing.T) {
			encoded, err := msgpack.Marshal(value)
			assert.NilError(t, err)
			whole := append([]byte{0x92}, encoded...)
			var out any
			flat := dispatch.Decode(append(whole, 0x01), &out)
			assert.Assert(t, !errors.Is(flat, dispatch.ErrTooDeep), "%v", flat)
			assert.ErrorIs(t, dispatch.Decode(append(whole, nested(40)...), &out), dispatch.ErrTooDeep)
		})
	}
}

// Guards against messages from a faulty peer that crash the decoder or pass with any nesting.
func FuzzShape(f *testing.F) {
	f.Add(nested(20))
	f.Add(nested(40))
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff, 0x91, 0x91})
	f.Fuzz(func(t *testing.T, in []byte) {
		var out any
		if err := dispatch.Decode(in, &out); err != nil {
			return
		}
		assert.Assert(t, depthOf(out) <= 32)
	})
}

func depthOf(value any) int {
	deepest := 0
	switch v := value.(type) {
	case []any:
		for _, inner := range v {
			deepest = max(deepest, depthOf(inner))
		}
	case map[string]any:
		for _, inner := range v {
			deepest = max(deepest, depthOf(inner))
		}
	default:
		return 0
	}
	return deepest + 1
}
