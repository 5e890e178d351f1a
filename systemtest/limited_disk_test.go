package systemtest

import (
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"gotest.tools/v3/assert"

	"toucantiller.dev/program"
	"toucantiller.dev/wal"
)

// diskBudgetVariable names, in the environment of a process, the file with the size of its disk.
const diskBudgetVariable = "TOUCAN_TEST_DISK_BUDGET"

// limitDisk lets the process be this test binary, as a control replica on a limited disk.
func (p *process) limitDisk() {
	self, err := os.Executable()
	assert.NilError(p.t, err)
	p.cmd.Path = self
	p.cmd.Env = append(os.Environ(), diskBudgetVariable+"="+p.diskBudget)
}

// runOnLimitedDisk is the main function of toucan-control with a limited disk.
func runOnLimitedDisk(budget string) {
	var s program.ControlSettings
	program.Parse("toucan-control", "Keeps the replicated state of a deployment.", &s)
	s.FS = limitedDisk{folder: s.Data, budget: budget}
	program.Run("toucan-control", program.Module(&s, &s.Common, program.NewControl))
}

// limitedDisk is a file system whose files take at most a number of bytes, which another process
// writes to the file budget. What exists beyond it stays, but no file is created or grows.
type limitedDisk struct {
	wal.OS
	folder, budget string
}

// free returns how many bytes may be written.
func (d limitedDisk) free() (int64, error) {
	text, err := os.ReadFile(d.budget)
	if err != nil {
		return 0, err
	}
	size, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, err
	}
	return max(0, size-folderBytes(d.folder)), nil
}

// Create creates a file unless the disk is full.
func (d limitedDisk) Create(name string) (wal.File, error) {
	if free, err := d.free(); err != nil || free == 0 {
		return nil, &fs.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
	}
	return d.limit(d.OS.Create(name))
}

// OpenAt opens a file and truncates it.
func (d limitedDisk) OpenAt(name string, size int64) (wal.File, error) {
	return d.limit(d.OS.OpenAt(name, size))
}

func (d limitedDisk) limit(f wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return limitedFile{f, d}, nil
}

// limitedFile is a file of a limitedDisk.
type limitedFile struct {
	wal.File
	disk limitedDisk
}

// Write writes what fits on the disk.
func (f limitedFile) Write(p []byte) (int, error) {
	free, err := f.disk.free()
	if err != nil {
		return 0, err
	}
	if free >= int64(len(p)) {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:free])
	if err == nil {
		err = &fs.PathError{Op: "write", Path: f.disk.folder, Err: syscall.ENOSPC}
	}
	return n, err
}

// folderBytes returns the size of the files in a folder, some of which may vanish meanwhile.
func folderBytes(folder string) (n int64) {
	names, _ := filepath.Glob(filepath.Join(folder, "*"))
	for _, name := range names {
		if info, err := os.Stat(name); err == nil {
			n += info.Size()
		}
	}
	return n
}
