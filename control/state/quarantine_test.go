package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/quarantine"
)

// Guards against a quarantine that is lost with a snapshot, never ends, or grows without bound.
func TestQuarantineIsKeptAndEnds(t *testing.T) {
	s, at := New(), time.Unix(1000, 0).UTC()
	s.apply(&Command{At: at, SetQuarantine: &SetQuarantine{Held: []quarantine.Part{9, 7}}})
	revision := s.DirectoryRevision()
	assert.DeepEqual(t, s.Directory().Quarantined, []quarantine.Part{7, 9})

	snapshot, err := s.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(snapshot))
	assert.DeepEqual(t, restored.Directory().Quarantined, []quarantine.Part{7, 9})

	later := at.Add(QuarantineTime / 2)
	s.apply(&Command{At: later, SetQuarantine: &SetQuarantine{Held: []quarantine.Part{7}}})
	assert.Equal(t, s.DirectoryRevision(), revision, "a part was published again")
	s.apply(&Command{At: later, SetQuarantine: &SetQuarantine{Released: []quarantine.Part{9}}})
	assert.DeepEqual(t, s.Directory().Quarantined, []quarantine.Part{7})
	assert.Assert(t, !s.OnProbation(9), "a part that was answered is on probation")
	later = at.Add(QuarantineTime + time.Second)
	s.apply(&Command{At: later, Maintain: &Maintain{}})
	assert.Equal(t, len(s.Directory().Quarantined), 0)
	assert.Assert(t, s.OnProbation(7))
	later = later.Add(ProbationTime + time.Second)
	s.apply(&Command{At: later, Maintain: &Maintain{}})
	assert.Assert(t, !s.OnProbation(7))

	for i := range 2 * MaxQuarantined {
		s.apply(&Command{At: later, SetQuarantine: &SetQuarantine{Held: []quarantine.Part{quarantine.Part(i)}}})
	}
	assert.Equal(t, len(s.Directory().Quarantined), MaxQuarantined)
}
