package control

import (
	"sync"

	"toucantiller.dev/control/state"
)

// machine serializes access to the replicated state and signals its changes.
type machine struct {
	mu    sync.Mutex
	state *state.State
	// changed receives after the configuration or the directory changed.
	changed chan struct{}
}

func newMachine() *machine {
	return &machine{state: state.New(), changed: make(chan struct{}, 1)}
}

// Apply executes a committed command.
func (m *machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	before := m.revisions()
	result := m.state.Apply(command)
	after := m.revisions()
	m.mu.Unlock()
	if before != after {
		m.notifyChanged()
	}
	return result
}

// Snapshot encodes the state.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Snapshot()
}

// Restore replaces the state.
func (m *machine) Restore(snapshot []byte) error {
	m.mu.Lock()
	err := m.state.Restore(snapshot)
	m.mu.Unlock()
	m.notifyChanged()
	return err
}

// read runs f with the state locked.
func (m *machine) read(f func(s *state.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

// revisions returns the revisions of the configuration and the directory.
func (m *machine) revisions() [2]uint64 {
	return [2]uint64{m.state.Revision(), m.state.DirectoryRevision()}
}

// notifyChanged signals changed; signals that were not received yet are merged.
func (m *machine) notifyChanged() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
