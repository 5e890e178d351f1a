package lastrun

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/go-kit/log"
)

const (
	recordName = "lastrun.json"
	newName    = "lastrun.json.new"
	// recordBytes is the size of the file. It does not vary, so that the record can be
	// overwritten in place on a full disk.
	recordBytes = 4 << 10
	// maxErrBytes bounds the error in a record, so that the record fits into the file even if each
	// byte of it is escaped.
	maxErrBytes = 512
)

// end is how a run ended.
type end string

const (
	// endRunning is written while the process runs; at the next start it becomes endCrashed or
	// endUnknown.
	endRunning end = "running"
	endStopped end = "stopped"
	endFailed  end = "failed"
	endCrashed end = "crashed"
	// endUnknown means killed, ended by a memory limit, or lost with the machine's power.
	endUnknown end = "unknown"
)

// record is what is known of a run. Sizes are in bytes.
type record struct {
	PID      int       `json:"pid"`
	Started  time.Time `json:"started"`
	Seen     time.Time `json:"seen"`
	Resident int64     `json:"resident_bytes"`
	Peak     int64     `json:"peak_bytes"`
	LogBytes int64     `json:"log_bytes"`
	End      end       `json:"end"`
	Err      string    `json:"err,omitempty"`
}

func (r *record) log(logger log.Logger) {
	_ = logger.Log("msg", "previous run", "end", r.End, "err", r.Err, "pid", r.PID,
		"uptime", r.Seen.Sub(r.Started).Round(time.Millisecond), "resident_bytes", r.Resident, "peak_bytes", r.Peak,
		"log_bytes", r.LogBytes, "last_seen", r.Seen.UTC().Format(time.RFC3339Nano))
}

// write replaces the record file. If there is no room for a new one, it overwrites the old one.
func (r *record) write(folder string) error {
	c := *r
	c.Err = c.Err[:min(len(c.Err), maxErrBytes)]
	content, err := json.Marshal(&c)
	if err != nil {
		return fmt.Errorf("encode the record of the run: %w", err)
	}
	if len(content) > recordBytes {
		return fmt.Errorf("the record of the run has %d bytes", len(content))
	}
	content = append(content, bytes.Repeat([]byte{' '}, recordBytes-len(content))...)
	name, temporary := filepath.Join(folder, recordName), filepath.Join(folder, newName)
	if err = os.WriteFile(temporary, content, 0o600); err == nil {
		return os.Rename(temporary, name)
	}
	_ = os.Remove(temporary) // the error of the write is the one to report
	return errors.Join(err, overwrite(name, content))
}

// overwrite writes into an existing file without truncating it.
func overwrite(name string, content []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(content, 0)
	return errors.Join(err, f.Close())
}

// readPrevious returns the record of the previous run and how that run ended, and false if there was none.
func readPrevious(folder string) (*record, bool) {
	var r record
	content, err := os.ReadFile(filepath.Join(folder, recordName))
	crash := takeCrash(folder)
	if errors.Is(err, fs.ErrNotExist) && crash == "" {
		return nil, false
	}
	if err == nil {
		err = json.Unmarshal(content, &r)
	}
	switch {
	case crash != "":
		r.End, r.Err = endCrashed, crash
	case err != nil:
		r.End, r.Err = endUnknown, err.Error()
	case r.End == endRunning:
		r.End = endUnknown
	}
	return &r, true
}
