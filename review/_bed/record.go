package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a script.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(name string) *recorder {
	f, err := os.Create(name)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	return &recorder{file: f, began: time.Now()}
}

// line writes one line with the time since the start.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line and prints it.
func say(format string, args ...any) {
	bed.record.line(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(bed.record.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends the script: the case couldn't run.
func fail(format string, args ...any) {
	if bed != nil && bed.record != nil {
		say("NOT RUN: "+format, args...)
	}
	finish(statusNotRun)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

var finishOnce sync.Mutex

// finish ends all processes and the script.
func finish(status int) {
	finishOnce.Lock()
	killAll()
	if bed != nil && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(bed.folder)
	}
	os.Exit(status)
}

// verdict ends the script with what was found.
func verdict(broken bool, format string, args ...any) {
	word := "HELD"
	status := statusHeld
	if broken {
		word, status = "BROKEN", statusBroken
	}
	say(word+": "+format, args...)
	finish(status)
}
