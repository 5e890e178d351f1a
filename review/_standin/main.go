// Command standin plays clients, servers, operator and platform for the scripts under review/.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Outcomes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	caseLimit = 115 * time.Second
)

var cases = map[string]func(r *record, trouble bool) int{
	"evacuate": evacuateCase,
	"leader":   leaderCase,
	"removed":  removedCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(couldNot)
	}
	stopOnSignal()
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	code := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	r.line("exit %d", code)
	r.close()
	os.Exit(code)
}

// started lists the programs that run, so that none is left behind.
var started struct {
	mu   sync.Mutex
	list []*program
}

// stopOnSignal ends the programs when the case is interrupted or takes too long.
func stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		started.mu.Lock()
		for _, p := range started.list {
			p.kill()
		}
		os.Exit(couldNot)
	}()
}
