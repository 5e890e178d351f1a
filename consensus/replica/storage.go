package replica

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/consensus"
	"toucantiller.dev/wal"
)

// storage persists the state of a core in a write-ahead log.
type storage struct {
	log *wal.Log
	// id is the replica's identity, which was created with the data folder.
	id consensus.ID
	// discarded is true if the data folder held a log that was discarded.
	discarded bool
	// founders are the addresses with which the replica was to form a group that it did not join
	// before its process ended.
	founders []string
}

// foundingState is stored in the place of the core's state until the replica belongs to a group.
type foundingState struct {
	Founders []string `msgpack:"founders"`
}

// snapshotMeta is the core's part of a stored snapshot.
type snapshotMeta struct {
	Group    consensus.GroupID    `msgpack:"g"`
	Members  consensus.Membership `msgpack:"m"`
	Founding consensus.Membership `msgpack:"f"`
}

// storedEntry is the payload of a log entry.
type storedEntry struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Kind     consensus.EntryKind
	Data     []byte
}

// openStorage opens the data folder and returns the state recovered from it.
func openStorage(folder string, o wal.Options) (*storage, consensus.Recovered, error) {
	log, found, err := wal.Open(folder, o)
	if err != nil {
		return nil, consensus.Recovered{}, err
	}
	s := &storage{log: log, id: consensus.ID(found.Owner), discarded: found.Discarded}
	r, err := decodeRecovered(found)
	if err == nil {
		s.founders, err = decodeFounders(found)
	}
	if err != nil {
		_ = log.Close()
		return nil, r, fmt.Errorf("data folder %s: %w", folder, err)
	}
	return s, r, nil
}

func decodeFounders(found *wal.Recovered) ([]string, error) {
	var f foundingState
	if found.Snapshot != nil || found.State == nil {
		return nil, nil
	}
	if err := msgpack.Unmarshal(found.State, &f); err != nil {
		return nil, fmt.Errorf("decode founders: %w", err)
	}
	return f.Founders, nil
}

// saveFounders records the addresses with which the replica is to form a group.
func (s *storage) saveFounders(addresses []string) error {
	state, err := msgpack.Marshal(&foundingState{Founders: addresses})
	if err != nil {
		return fmt.Errorf("encode founders: %w", err)
	}
	return s.log.Append(state, nil)
}

func decodeRecovered(found *wal.Recovered) (consensus.Recovered, error) {
	var r consensus.Recovered
	if found.State != nil {
		if err := msgpack.Unmarshal(found.State, &r.State); err != nil {
			return r, fmt.Errorf("decode state: %w", err)
		}
	}
	if s := found.Snapshot; s != nil {
		var meta snapshotMeta
		if err := msgpack.Unmarshal(s.Meta, &meta); err != nil {
			return r, fmt.Errorf("decode snapshot %d: %w", s.Index, err)
		}
		r.Snapshot = &consensus.Snapshot{
			Index: s.Index, Term: s.Term, Group: meta.Group, Members: meta.Members, Founding: meta.Founding, Data: s.Data,
		}
	}
	r.Entries = make([]consensus.Entry, 0, len(found.Entries))
	for i := range found.Entries {
		e := &found.Entries[i]
		var stored storedEntry
		if err := msgpack.Unmarshal(e.Data, &stored); err != nil {
			return r, fmt.Errorf("decode entry %d: %w", e.Index, err)
		}
		e.Data = nil // a log near the memory limit must not be held twice
		r.Entries = append(r.Entries, consensus.Entry{
			Index: e.Index, Term: e.Term, Kind: stored.Kind, Data: stored.Data,
		})
	}
	return r, nil
}

// save persists a batch of the core. A new snapshot needs a sync of its own; everything else
// shares one sync.
func (s *storage) save(r *consensus.Ready) error {
	var state []byte
	if r.State != nil {
		var err error
		if state, err = msgpack.Marshal(r.State); err != nil {
			return fmt.Errorf("encode state: %w", err)
		}
	}
	if r.Snapshot != nil {
		// The state is written first, so that the log never holds a term above the stored one.
		if state != nil {
			if err := s.log.Append(state, nil); err != nil {
				return err
			}
			state = nil
		}
		if err := s.saveSnapshot(r.Snapshot, false); err != nil {
			return err
		}
	}
	if state == nil && len(r.Entries) == 0 {
		return nil
	}
	entries := make([]wal.Entry, 0, len(r.Entries))
	for _, e := range r.Entries {
		data, err := msgpack.Marshal(&storedEntry{Kind: e.Kind, Data: e.Data})
		if err != nil {
			return fmt.Errorf("encode entry %d: %w", e.Index, err)
		}
		entries = append(entries, wal.Entry{Index: e.Index, Term: e.Term, Data: data})
	}
	return s.log.Append(state, entries)
}

// saveSnapshot persists a snapshot. keep keeps the log entries after it, and is set only if
// the log holds the snapshot's last entry.
func (s *storage) saveSnapshot(snap *consensus.Snapshot, keep bool) error {
	out, err := encodeSnapshot(snap)
	if err != nil {
		return err
	}
	return s.log.SaveSnapshot(out, keep)
}

func encodeSnapshot(snap *consensus.Snapshot) (*wal.Snapshot, error) {
	meta, err := msgpack.Marshal(&snapshotMeta{Group: snap.Group, Members: snap.Members, Founding: snap.Founding})
	if err != nil {
		return nil, fmt.Errorf("encode snapshot %d: %w", snap.Index, err)
	}
	return &wal.Snapshot{Index: snap.Index, Term: snap.Term, Meta: meta, Data: snap.Data}, nil
}

func (s *storage) close() error { return s.log.Close() }
