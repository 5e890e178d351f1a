package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

func init() { trials["clock"] = playClock }

// load sends requests at an even rate to the gateways in turn until stopped, and keeps what came of them.
type load struct {
	mu    sync.Mutex
	all   []outcome
	group sync.WaitGroup
	end   chan struct{}
}

func startLoad(d *deployment, c *client, r request, gap time.Duration) *load {
	return startLoadAt(d, c, r, gap, []int{1, 2, 3})
}

// startLoadAt is startLoad for the gateways on some of the machines.
func startLoadAt(d *deployment, c *client, r request, gap time.Duration, machines []int) *load {
	l := &load{end: make(chan struct{})}
	l.group.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-l.end:
				return
			case <-time.After(gap):
			}
			r.gateway = d.at(machines[i%len(machines)], d.ports.front)
			send := r
			l.group.Go(func() {
				o := c.send(send)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.all = append(l.all, o)
			})
		}
	})
	return l
}

func (l *load) stop() []outcome {
	close(l.end)
	l.group.Wait()
	return l.all
}

// playClock: the time of day of a replica's machine jumps back while the replica crashes and starts
// again under its id; then it leaves. Judged: no request reaches it later than drain_ms after its
// draining was acknowledged (DRAIN).
func playClock(d *deployment, trouble bool) (verdict, error) {
	if err := d.startFronts(config(7)); err != nil {
		return failed, err
	}
	reps, _, _, err := startReplicas(d, 0, 3, 0, 0)
	if err != nil {
		return failed, err
	}
	for _, r := range reps {
		r.first = 100 * time.Millisecond
	}
	c := newClient(d.rec, "c2")
	look := request{method: "GET", path: "/look/a", key: key, wait: time.Second}
	if err := awaitService(d, c, look, 20*time.Second); err != nil {
		return failed, err
	}
	// The core is stable for longer than contact_ms before the disruption.
	time.Sleep(6 * time.Second)
	l := startLoad(d, c, look, 25*time.Millisecond)
	book := startLoad(d, newClient(d.rec, "b2"), request{method: "POST", path: "/book/a", key: key, body: "slot 7", wait: time.Second}, 25*time.Millisecond)
	var step time.Duration
	x := reps[2]
	x.crash()
	time.Sleep(500 * time.Millisecond)
	x.clock = func() time.Time { return time.Now().Add(step) }
	if err := x.start(); err != nil {
		return failed, err
	}
	time.Sleep(time.Second)
	if trouble {
		step = -2400 * time.Millisecond
		d.rec.note("the time of day of the machine of replica %s jumps back by 2400 ms", x.id)
	}
	x.crash()
	time.Sleep(300 * time.Millisecond)
	if err := x.start(); err != nil {
		return failed, err
	}
	time.Sleep(1500 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	acknowledged, err := x.drain(ctx)
	if err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)
	_, err = x.call(ctx, http.MethodDelete, d.controls()[0], map[string]any{"born": x.born})
	d.rec.note("replica %s says that it is gone: %s", x.id, errText(err))
	x.crash()
	time.Sleep(time.Second)
	l.stop()
	cut := 0
	for _, o := range book.stop() {
		if o.sent.After(acknowledged) && o.status != http.StatusOK {
			cut++
			d.rec.note("booking %s, sent %d ms after the acknowledgement, ended with status %d", o.id, o.sent.Sub(acknowledged).Milliseconds(), o.status)
		}
	}
	d.rec.note("%d bookings that were sent after the acknowledgement failed", cut)
	const drain = 2 * time.Second
	late := 0
	for _, r := range x.ran() {
		if after := r.at.Sub(acknowledged); after > drain {
			late++
			d.rec.note("late: replica %s ran %s %d ms after its draining was acknowledged", x.id, r.id, after.Milliseconds())
		}
	}
	d.rec.note("%d requests reached replica %s later than drain_ms after the acknowledgement", late, x.id)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
