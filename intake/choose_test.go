package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that is closed while its client makes progress or waits for an
// answer, and against an idle one that goes before one that has stopped in the middle of a head.
func TestWhatMakesNoProgressGoesFirst(t *testing.T) {
	var (
		serving  = Snapshot{Phase: PhaseServing, Age: time.Hour, Quiet: time.Hour}
		opening  = Snapshot{Phase: PhaseOpened, Age: silentTime - 1, Quiet: silentTime - 1}
		silent   = Snapshot{Phase: PhaseOpened, Age: silentTime, Quiet: silentTime}
		fast     = Snapshot{Phase: PhaseBody, Age: time.Second, Bytes: slowRate + 1, Quiet: stallTime - 1}
		dripping = Snapshot{Phase: PhaseHead, Age: time.Second, Bytes: 20, Quiet: time.Millisecond}
		slow     = Snapshot{Phase: PhaseBody, Age: time.Second, Bytes: 200, Quiet: stallTime - 1}
		stalled  = Snapshot{Phase: PhaseBody, Age: time.Hour, Bytes: 1 << 40, Quiet: stallTime}
		reading  = Snapshot{Phase: PhaseAnswer, Age: time.Second, Quiet: answerStallTime - 1}
		left     = Snapshot{Phase: PhaseAnswer, Age: answerStallTime, Quiet: answerStallTime}
		idle     = Snapshot{Phase: PhaseIdle, Age: time.Minute, Quiet: time.Minute}
		waiting  = Snapshot{Phase: PhaseHead, Age: time.Hour, Quiet: time.Hour, Bytes: 10, Waiting: true}
		large    = Snapshot{Phase: PhaseHead, Age: time.Second, Quiet: time.Second, Bytes: 20, Waiting: true}
		used     = Snapshot{Phase: PhaseIdle, Age: minIdleTime - 1, Quiet: minIdleTime - 1}
	)
	for _, c := range []struct {
		name        string
		connections []Snapshot
		want        int
	}{
		{"none", nil, -1},
		{"each is needed", []Snapshot{serving, opening, fast, reading, used}, -1},
		{"stalled before idle", []Snapshot{serving, idle, dripping, stalled}, 3},
		{"silent before idle", []Snapshot{idle, silent}, 1},
		{"an answer that nobody reads", []Snapshot{idle, left}, 1},
		{"idle before slow", []Snapshot{dripping, idle, fast}, 1},
		{"slow before waiting", []Snapshot{waiting, slow, fast}, 1},
		{"one that passes makes room for those that wait", []Snapshot{waiting, fast}, -1},
		{"all wait", []Snapshot{waiting, large, waiting}, 1},
		{"the slowest", []Snapshot{slow, dripping, fast}, 1},
		{"the one stalled longest", []Snapshot{stalled, left, silent}, 1},
	} {
		assert.Equal(t, Choose(c.connections), c.want, c.name)
	}
}
