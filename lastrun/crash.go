package lastrun

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
)

const (
	// crashName receives the runtime's last words; keptName holds those of the last crash.
	crashName = "crash.txt"
	keptName  = "crash-last.txt"
	// crashReserve is the room that is reserved for them, in bytes, so that a full disk does
	// not prevent them.
	crashReserve = 16 << 10
	// maxCrashBytes is how much of them is kept after a restart, in bytes.
	maxCrashBytes = 64 << 10
)

// crashOutput is the file to which the runtime writes its last words. A program with several
// runs writes them to the latest one.
var crashOutput struct {
	sync.Mutex
	file *os.File
}

// captureCrash makes the runtime write a copy of panics and fatal errors to a file in the folder.
func captureCrash(folder string) (*os.File, error) {
	f, err := os.Create(filepath.Join(folder, crashName))
	if err != nil {
		return nil, err
	}
	// Bytes of the file that the runtime does not overwrite stay 0.
	_, writeErr := f.Write(make([]byte, crashReserve))
	_, seekErr := f.Seek(0, io.SeekStart)
	crashOutput.Lock()
	defer crashOutput.Unlock()
	if err := debug.SetCrashOutput(f, debug.CrashOptions{}); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	crashOutput.file = f
	return f, errors.Join(writeErr, seekErr)
}

// releaseCrash ends the copy to the file, unless a later run has replaced it.
func releaseCrash(f *os.File) {
	if f == nil {
		return
	}
	crashOutput.Lock()
	defer crashOutput.Unlock()
	if crashOutput.file == f {
		_ = debug.SetCrashOutput(nil, debug.CrashOptions{}) // fails only for a bad file
		crashOutput.file = nil
	}
	_ = f.Close()
}

// takeCrash returns one line on the crash of the previous run, empty if it did not crash, and keeps
// the whole text under keptName.
func takeCrash(folder string) string {
	name := filepath.Join(folder, crashName)
	f, err := os.Open(name)
	if err != nil {
		return ""
	}
	text, _ := io.ReadAll(io.LimitReader(f, maxCrashBytes)) // what could be read is reported
	_ = f.Close()
	text = bytes.TrimRight(text, "\x00")
	if len(bytes.TrimSpace(text)) == 0 {
		return ""
	}
	// The text is a help for operators; the line is logged in any case.
	_ = os.Truncate(name, int64(len(text)))
	_ = os.Rename(name, filepath.Join(folder, keptName))
	return firstWords(string(text))
}

// firstWords returns the first line of a panic. The runtime does not copy the first line of a
// fatal error; then it returns the functions at the top of the stack.
func firstWords(text string) string {
	lines := strings.Split(text, "\n")
	if lines[0] != "" {
		return lines[0]
	}
	var functions []string
	for _, line := range lines[1:] {
		if line == "" && len(functions) > 0 {
			break
		}
		if i := strings.LastIndexByte(line, '('); i > 0 && line[0] != '\t' {
			functions = append(functions, line[:i])
		}
		if n := len(functions); n > 0 && !runtimeFunction(functions[n-1]) {
			break
		}
	}
	return fmt.Sprintf("fatal error in %s", strings.Join(functions, " < "))
}

func runtimeFunction(name string) bool {
	return strings.HasPrefix(name, "runtime.") || strings.HasPrefix(name, "internal/") || strings.HasPrefix(name, "sync.")
}
