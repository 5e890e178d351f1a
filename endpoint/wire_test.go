package endpoint

import (
	"bytes"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// earlierLoad is a Load as earlier versions encode and decode it.
type earlierLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Limit, Running, Queued, QueuedTokens, RunningTokens int
	PrefillRate, DecodeRate                             float64
	SpeedAge                                            time.Duration
	Floor                                               int
	Exact, Full, Cold, Leaving                          bool
	Age                                                 time.Duration
}

// Guards against reports that processes of another version cannot read while they are replaced in
// turn, and against a report that grows where endpoints state no slowdown.
func TestLoadIsReadByOtherVersions(t *testing.T) {
	l := Load{Limit: 6, Running: 3, Queued: 2, QueuedTokens: 70, RunningTokens: 900, PrefillRate: 4000.5, DecodeRate: 33,
		SpeedAge: time.Second, Floor: -1, Exact: true, Cold: true, Age: 3 * time.Millisecond}
	old := earlierLoad{Limit: 6, Running: 3, Queued: 2, QueuedTokens: 70, RunningTokens: 900, PrefillRate: 4000.5, DecodeRate: 33,
		SpeedAge: time.Second, Floor: -1, Exact: true, Cold: true, Age: 3 * time.Millisecond}
	b, err := msgpack.Marshal(&old)
	assert.NilError(t, err)
	var got Load
	assert.NilError(t, msgpack.Unmarshal(b, &got))
	assert.Equal(t, got, l)

	now, err := msgpack.Marshal(&struct{ Load Load }{l})
	assert.NilError(t, err)
	before, err := msgpack.Marshal(&struct{ Load earlierLoad }{old})
	assert.NilError(t, err)
	assert.Assert(t, len(now) <= len(before), "%d bytes, %d before", len(now), len(before))
	var read struct{ Load earlierLoad }
	assert.NilError(t, msgpack.Unmarshal(now, &read))
	assert.Equal(t, read.Load, old)
}

// Guards against a slowdown that is lost on the way or takes many bytes, and against a report of
// a later version that is refused.
func TestLoadCarriesSlowdown(t *testing.T) {
	l := Load{Limit: 6, Floor: -1}
	plain, err := msgpack.Marshal(l)
	assert.NilError(t, err)
	l.Slowdown = 250
	b, err := msgpack.Marshal(l)
	assert.NilError(t, err)
	assert.Assert(t, len(b) <= len(plain)+3)
	var got Load
	assert.NilError(t, msgpack.Unmarshal(b, &got))
	assert.Equal(t, got, l)

	var later bytes.Buffer
	enc := msgpack.NewEncoder(&later)
	assert.NilError(t, enc.EncodeArrayLen(loadFields+2))
	later.Write(b[1:])
	assert.NilError(t, enc.EncodeMulti([]string{"more"}, "next"))
	dec := msgpack.NewDecoder(&later)
	assert.NilError(t, dec.Decode(&got))
	assert.Equal(t, got, l)
	next, err := dec.DecodeString()
	assert.NilError(t, err)
	assert.Equal(t, next, "next")
	assert.ErrorIs(t, msgpack.Unmarshal([]byte{0x91, 1}, &got), errShortLoad)
}
