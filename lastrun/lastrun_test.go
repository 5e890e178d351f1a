package lastrun

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// childFolder names the variable with the data folder of a process that the tests start.
const childFolder = "LASTRUN_CHILD_FOLDER"

// TestMain runs as the recorded process if the variable is set.
func TestMain(m *testing.M) {
	if folder := os.Getenv(childFolder); folder != "" {
		runChild(folder, os.Args[1])
	}
	os.Exit(m.Run())
}

func runChild(folder, how string) {
	r := Start(folder, log.NewNopLogger())
	r.SetLogBytes(func() int64 { return 4711 })
	fmt.Println("ready")
	switch how {
	case "stop":
		r.End(nil)
		os.Exit(0)
	case "fail":
		r.Fail(errors.New("no space left on device"))
		r.End(nil)
		os.Exit(1)
	case "panic":
		panic("index out of order")
	case "fatal":
		new(sync.Mutex).Unlock()
	}
	select {}
}

// startChild runs a process until it is ready, and waits for its end unless it is to be killed.
func startChild(t *testing.T, folder, how string) *exec.Cmd {
	t.Helper()
	c := exec.Command(os.Args[0], how)
	c.Env = append(os.Environ(), childFolder+"="+folder)
	out, err := c.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, c.Start())
	t.Cleanup(func() { _ = c.Process.Kill() })
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "ready\n")
	if how != "wait" {
		_ = c.Wait() // its record tells how it ended
	}
	return c
}

// previousRun starts a run and returns what it logs.
func previousRun(t *testing.T, folder string) string {
	t.Helper()
	var out bytes.Buffer
	r := Start(folder, log.NewLogfmtLogger(&out))
	r.End(nil)
	return out.String()
}

func TestPreviousRunIsReportedByItsEnd(t *testing.T) {
	for how, want := range map[string]string{
		"stop":  `msg="previous run" end=stopped err= pid=`,
		"fail":  `msg="previous run" end=failed err="no space left on device" pid=`,
		"panic": `msg="previous run" end=crashed err="panic: index out of order" pid=`,
		"fatal": `msg="previous run" end=crashed err="fatal error in internal/sync.fatal < internal/sync.(*Mutex).unlockSlow`,
	} {
		t.Run(how, func(t *testing.T) {
			folder := t.TempDir()
			assert.Equal(t, previousRun(t, folder), "")
			c := startChild(t, folder, how)
			line := previousRun(t, folder)
			assert.Assert(t, strings.HasPrefix(line, want), line)
			assert.Assert(t, strings.Contains(line, fmt.Sprintf(" pid=%d uptime=", c.Process.Pid)), line)
			assert.Assert(t, !strings.Contains(line, "resident_bytes=0 "), line)
			if how == "stop" || how == "fail" {
				assert.Assert(t, strings.Contains(line, "log_bytes=4711 "), line)
			}
			assert.Assert(t, strings.Contains(previousRun(t, folder), "end=stopped"), "a crash is reported once")
		})
	}
}

func TestKilledRunIsUnknownAndItsFolderInUseBefore(t *testing.T) {
	folder := t.TempDir()
	c := startChild(t, folder, "wait")
	var out bytes.Buffer
	assert.Assert(t, Start(folder, log.NewLogfmtLogger(&out)) == nil)
	assert.Assert(t, strings.Contains(out.String(), "in use by another process"), out.String())
	assert.NilError(t, c.Process.Kill())
	_ = c.Wait()
	line := previousRun(t, folder)
	assert.Assert(t, strings.HasPrefix(line, fmt.Sprintf(`msg="previous run" end=unknown err= pid=%d`, c.Process.Pid)), line)
	// A process that ends soon after its start, again and again, is the one whose figures matter.
	assert.Assert(t, strings.Contains(line, "log_bytes=4711 "), line)
}

func TestCrashTextIsKeptAndBounded(t *testing.T) {
	folder := t.TempDir()
	text := "panic: here\n" + strings.Repeat("goroutine 1 [running]:\n", maxCrashBytes/8)
	assert.NilError(t, os.WriteFile(filepath.Join(folder, crashName), []byte(text), 0o600))
	line := previousRun(t, folder)
	assert.Assert(t, strings.Contains(line, `end=crashed err="panic: here"`), line)
	kept, err := os.ReadFile(filepath.Join(folder, keptName))
	assert.NilError(t, err)
	assert.Equal(t, string(kept), text[:maxCrashBytes])
}

func TestRecordIsOverwrittenWhereNoNewFileFits(t *testing.T) {
	folder := t.TempDir()
	r := Start(folder, log.NewNopLogger())
	// A folder in the place of the new file makes its creation fail, as a full disk does.
	assert.NilError(t, os.MkdirAll(filepath.Join(folder, newName, "full"), 0o700))
	r.Fail(errors.New("no space left on device"))
	r.End(nil)
	line := previousRun(t, folder)
	assert.Assert(t, strings.Contains(line, `end=failed err="no space left on device"`), line)
	info, err := os.Stat(filepath.Join(folder, recordName))
	assert.NilError(t, err)
	assert.Equal(t, info.Size(), int64(recordBytes))
}

func TestDamagedRecordAndMissingFolderDoNotPreventAStart(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, recordName), []byte("{"), 0o600))
	assert.Assert(t, strings.Contains(previousRun(t, folder), "end=unknown"), "a damaged record is no end")
	r := Start(filepath.Join(folder, "missing"), log.NewNopLogger())
	r.SetLogBytes(func() int64 { return 1 })
	r.Fail(errors.New("failed"))
	r.End(nil)
}
