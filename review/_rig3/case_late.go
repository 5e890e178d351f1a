package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { trials["late"] = playLate }

// Bounds of the site.
const (
	drainBound   = 2 * time.Second // drain_ms
	contactBound = 3 * time.Second // contact_ms
)

// playLate: the leader's machine freezes just after it has acknowledged that a replica is draining,
// and a heartbeat that the replica sent before that arrives late, at the next leader. Judged: no
// request reaches the replica later than drain_ms after the acknowledgement (DRAIN), from machines
// that are in touch again.
func playLate(d *deployment, trouble bool) (verdict, error) {
	if err := d.startFronts(config(7)); err != nil {
		return failed, err
	}
	reps, _, _, err := startReplicas(d, 0, 3, 0, 0)
	if err != nil {
		return failed, err
	}
	for _, r := range reps {
		r.first = 30 * time.Millisecond
	}
	c := newClient(d.rec, "c6")
	look := request{method: "GET", path: "/look/a", key: key, wait: time.Second}
	if err := awaitService(d, c, look, 20*time.Second); err != nil {
		return failed, err
	}
	time.Sleep(6 * time.Second)
	x := reps[0]
	x.quiet(true) // from here on the case sends the replica's heartbeats, in the same rhythm
	ctx := context.Background()
	if err := x.beat(ctx); err != nil {
		return failed, err
	}
	leader := x.beatAt
	machine := 0
	var others []int
	for n := 1; n <= fronts; n++ {
		if strings.HasPrefix(leader, d.ip(n)+":") {
			machine = n
			continue
		}
		others = append(others, n)
	}
	if machine == 0 {
		return failed, fmt.Errorf("control names no leader: %q", leader)
	}
	d.rec.note("machine %d leads", machine)
	l := startLoadAt(d, c, look, 8*time.Millisecond, others)
	time.Sleep(1200 * time.Millisecond)
	// This call is on its way for some seconds.
	late := x.nextBeat()
	d.rec.note("replica %s sends heartbeat %v, ready, which is delayed", x.id, late["seq"])
	time.Sleep(time.Second)
	acknowledged, err := x.drain(ctx)
	if err != nil {
		return failed, err
	}
	time.Sleep(150 * time.Millisecond)
	if trouble {
		d.signalMachine(machine, syscall.SIGSTOP)
	}
	frozen := time.Now()
	time.Sleep(time.Until(acknowledged.Add(1200 * time.Millisecond)))
	arrived := make(chan error, 1)
	go func() {
		time.Sleep(time.Until(frozen.Add(2500 * time.Millisecond)))
		_, err := x.call(ctx, http.MethodPut, d.at(others[0], d.ports.control), late)
		d.rec.note("the delayed heartbeat %v arrives: %s", late["seq"], errText(err))
		arrived <- err
	}()
	// The replica's next heartbeat goes to the address that it was told, then to the nodes in turn,
	// of which the machine that leads happens to be the first.
	x.beatAt = leader
	x.controls = []string{d.at(machine, d.ports.control), d.at(others[0], d.ports.control), d.at(others[1], d.ports.control)}
	err = x.beat(ctx)
	d.rec.note("replica %s: next heartbeat, draining: %s", x.id, errText(err))
	<-arrived
	x.quiet(false)
	time.Sleep(time.Until(frozen.Add(4 * time.Second)))
	thawed := time.Now()
	if trouble {
		d.signalMachine(machine, syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second)
	l.stop()
	broke := 0
	for _, r := range x.ran() {
		after := r.at.Sub(acknowledged)
		inTouch := !trouble || r.at.After(frozen.Add(contactBound+50*time.Millisecond)) && r.at.Before(thawed)
		if after > drainBound && inTouch {
			broke++
			d.rec.note("late: replica %s ran %s %d ms after its draining was acknowledged", x.id, r.id, after.Milliseconds())
		}
	}
	d.rec.note("%d requests reached replica %s later than drain_ms after the acknowledgement, from machines in touch", broke, x.id)
	if broke > 0 {
		return broken, nil
	}
	return held, nil
}

// quiet stops the replica's own heartbeats, or lets them go on.
func (s *replica) quiet(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dark = on
}

// nextBeat returns a heartbeat that is sent now.
func (s *replica) nextBeat() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	content, _ := json.Marshal(map[string]any{"backend": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots,
		"state": s.state, "cold_left_ms": 0, "seq": s.seq, "born": s.born})
	var out map[string]any
	_ = json.Unmarshal(content, &out) // a copy that does not change
	return out
}

// signalMachine sends a signal to the processes of a front machine.
func (d *deployment) signalMachine(n int, s syscall.Signal) {
	d.rec.note("machine %d: %s", n, s)
	for _, p := range d.procs {
		if p.name == fmt.Sprintf("control-%d", n) || p.name == fmt.Sprintf("gateway-%d", n) {
			p.signal(s)
		}
	}
}
