package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// freezeTime is how long a core machine stands still: for_s of node_freeze in the site file.
	freezeTime = 7 * time.Second
	// catchUp is catch_up_s and a margin: from then on a machine that was away no longer counts
	// as lost.
	catchUp = 6 * time.Second
	// readBack is how long the operator asks for the configuration, far beyond contact_ms and
	// recovery_s.
	readBack = 25 * time.Second
)

// removedCase replaces a core machine as planned while another one stands still, and later takes
// the disk of a third. No two machines are lost at once.
func removedCase(r *record, trouble bool) int {
	d, err := newDeployment()
	if err != nil {
		r.line("%v", err)
		return couldNot
	}
	defer d.stop()
	if err := d.startControl(); err != nil {
		r.line("%v", err)
		return couldNot
	}
	// Machine 0 loses its disk later, 1 is replaced, 2 is frozen.
	wiped, replaced, frozen := 0, 1, 2
	version := 0
	put := func() bool {
		version++
		status, _, err := d.order(http.MethodPut, "/config", document(version), 10*time.Second)
		r.line("PUT /config version %d: %d %v", version, status, err)
		return err == nil && status == http.StatusOK
	}
	if !put() {
		return couldNot
	}
	time.Sleep(3 * time.Second)

	if trouble {
		r.line("core machine %d stands still", frozen)
		d.controls[frozen].signal(syscall.SIGSTOP)
	}
	time.Sleep(2500 * time.Millisecond)
	if err := d.startSuccessor(len(d.controls)); err != nil {
		r.line("%v", err)
		return couldNot
	}
	r.line("an empty core machine 3 starts at an address of its own")
	time.Sleep(freezeTime - 2500*time.Millisecond)
	if trouble {
		d.controls[frozen].signal(syscall.SIGCONT)
		r.line("core machine %d goes on", frozen)
	}
	time.Sleep(catchUp)
	if !put() {
		return couldNot
	}
	r.line("core machine %d is replaced: SIGTERM, and it doesn't come back", replaced)
	d.controls[replaced].signal(syscall.SIGTERM)
	for end := time.Now().Add(8 * time.Second); d.controls[replaced].running() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	d.controls[replaced].kill()
	d.calls = []string{d.calls[wiped], d.calls[frozen], at(d.ip(classFront, 3), portControl)}
	time.Sleep(catchUp)
	if !put() {
		return couldNot
	}
	newest := version

	r.line("core machine %d loses its disk and comes back at its address", wiped)
	d.controls[wiped].kill()
	if err := d.emptyDisk(wiped); err != nil {
		r.line("%v", err)
		return couldNot
	}
	time.Sleep(time.Second)
	if err := d.controls[wiped].start(); err != nil {
		r.line("%v", err)
		return couldNot
	}
	time.Sleep(catchUp)
	return d.readConfiguration(r, newest)
}

// startSuccessor starts a control process on a new machine with an empty disk.
func (d *deployment) startSuccessor(i int) error {
	data := fmt.Sprintf("%s/data-%d", d.folder, i)
	if err := os.Mkdir(data, 0o700); err != nil {
		return err
	}
	args := append([]string{}, d.controls[0].args...)
	ip, first := d.ip(classFront, i), d.ip(classFront, 0)
	for n, a := range args {
		switch {
		case strings.HasPrefix(a, "--id="):
			args[n] = "--id=front-new-1-control"
		case strings.HasPrefix(a, "--data="):
			args[n] = "--data=" + data
		case strings.HasPrefix(a, "--listen="), strings.HasPrefix(a, "--call-listen="):
			args[n] = strings.Replace(a, "="+first+":", "="+ip+":", 1)
		case strings.HasPrefix(a, "--bootstrap="):
			args[n] = "--bootstrap=false"
		}
	}
	p := d.program(fmt.Sprintf("control-%d", i), args...)
	d.controls = append(d.controls, p)
	return p.start()
}

// emptyDisk empties the data folder of a control process, which restarts without bootstrap.
func (d *deployment) emptyDisk(i int) error {
	for n, a := range d.controls[i].args {
		if data, ok := strings.CutPrefix(a, "--data="); ok {
			if err := os.RemoveAll(data); err != nil {
				return err
			}
			if err := os.Mkdir(data, 0o700); err != nil {
				return err
			}
		}
		if strings.HasPrefix(a, "--bootstrap=") {
			d.controls[i].args[n] = "--bootstrap=false"
		}
	}
	return nil
}

// readConfiguration reads the configuration back at the machines of the core.
func (d *deployment) readConfiguration(r *record, newest int) int {
	for end := time.Now().Add(readBack); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		status, body, err := d.order(http.MethodGet, "/config", nil, 2*time.Second)
		var got struct {
			Version int `json:"version"`
		}
		if err == nil && status == http.StatusOK && json.Unmarshal([]byte(body), &got) == nil {
			r.line("GET /config: version %d, acknowledged was %d", got.Version, newest)
			if got.Version >= newest {
				return held
			}
			return broken
		}
		r.line("GET /config at every core machine: no answer (%v)", err)
	}
	r.line("the configuration doesn't come in %s", readBack)
	return broken
}
