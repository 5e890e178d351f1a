package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
)

// Guards against answers being recorded that together exceed the memory for answers, and against
// one that is stored cut.
func TestAnswersBeingRecordedAreBounded(t *testing.T) {
	const bound = 1 << 20
	l := NewLedger(bound)
	recorders := make([]*answerRecorder, 8)
	for i := range recorders {
		recorders[i] = newAnswerRecorder(l, &dispatch.Header{Claim: "a/k"}, &endpoint.Answer{Status: 200})
	}
	for range dispatch.MaxStoredAnswer / copyBuffer {
		for _, k := range recorders {
			k.add(make([]byte, copyBuffer))
		}
		assert.Assert(t, l.held <= bound, "%d bytes are held", l.held)
	}
	whole := 0
	for i, k := range recorders {
		id := dispatch.ID{Attempt: i}
		l.Admit(id, time.Now())
		l.Commit(id)
		answer := k.answer()
		k.release()
		l.Finish(id, answer, time.Now())
		if r := l.Seal(id, time.Now()); r.State == dispatch.SealDone {
			assert.Equal(t, len(r.Answer.Body), dispatch.MaxStoredAnswer)
			whole++
		} else {
			assert.Assert(t, r.Ended)
		}
		l.Confirm(id)
	}
	assert.Assert(t, whole >= 1, "none was stored")
	assert.Equal(t, l.held, int64(0))
}
