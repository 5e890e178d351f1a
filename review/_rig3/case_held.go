package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { trials["held"] = playHeld }

// startReplicas starts model replicas on machines 11 and up, with their agents, and plain replicas on
// machines 31 and up. The agent on a machine in behind listens on another address, and the proxy that
// is returned for it on the machine's own.
func startReplicas(d *deployment, models, plain int, behind int, first time.Duration) (reps []*replica, cut *proxy, agents []*process, err error) {
	for i := range models {
		n := 11 + i
		listen := d.at(n, d.ports.first)
		if n == behind {
			to := d.at(100+n, d.ports.first)
			if cut, err = newProxy(listen, to); err != nil {
				return nil, nil, nil, err
			}
			listen = to
		}
		a, err := d.startAgent(n, listen)
		if err != nil {
			return nil, nil, nil, err
		}
		agents = append(agents, a)
		reps = append(reps, &replica{rec: d.rec, id: fmt.Sprintf("i-%04x", 0xa000+n), service: "weft-lm", zone: zones[i%3], address: d.at(n, d.ports.app),
			slots: 4, model: true, first: first, events: 4, pause: 50 * time.Millisecond, controls: d.controls()})
	}
	for i := range plain {
		n := 31 + i
		reps = append(reps, &replica{rec: d.rec, id: fmt.Sprintf("i-%04x", 0xb000+n), service: "member-desk", zone: zones[i%3], address: d.at(n, d.ports.app),
			slots: 6, first: 30 * time.Millisecond, controls: d.controls()})
	}
	for _, r := range reps {
		if err := r.start(); err != nil {
			return nil, nil, nil, err
		}
	}
	return reps, cut, agents, nil
}

// awaitService sends requests until one is served by each gateway.
func awaitService(d *deployment, c *client, r request, within time.Duration) error {
	end := time.Now().Add(within)
	for n := 1; n <= fronts; n++ {
		for {
			r.gateway = d.at(n, d.ports.front)
			if o := c.send(r); o.status == 200 && o.whole {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("gateway %d serves no %s", n, r.path)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// playHeld: a machine beside a model replica is cut off. Judged: requests that are unanswered at
// their route's timeout_ms have an answer half a second later (CONFIG).
func playHeld(d *deployment, trouble bool) (verdict, error) {
	if err := d.startFronts(config(7)); err != nil {
		return failed, err
	}
	_, cut, _, err := startReplicas(d, 3, 0, 11, 800*time.Millisecond)
	if err != nil {
		return failed, err
	}
	c := newClient(d.rec, "c1")
	digest := request{method: "POST", path: "/digest/a", key: key, body: "order sheet", tokens: "460,20", wait: 8 * time.Second}
	if err := awaitService(d, c, digest, 20*time.Second); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var all []outcome
	var group sync.WaitGroup
	const (
		gap    = 110 * time.Millisecond
		length = 20 * time.Second
		cutAt  = 5 * time.Second
		cutFor = 5500 * time.Millisecond
	)
	began := time.Now()
	for i := 0; time.Since(began) < length; i++ {
		if trouble && !cut.cut.Load() && time.Since(began) > cutAt && time.Since(began) < cutAt+cutFor {
			d.rec.note("machine 11 is cut off")
			cut.cut.Store(true)
		}
		if cut.cut.Load() && time.Since(began) > cutAt+cutFor {
			d.rec.note("machine 11 is back")
			cut.cut.Store(false)
		}
		r := digest
		r.gateway = d.at(1+i%fronts, d.ports.front)
		group.Go(func() {
			o := c.send(r)
			mu.Lock()
			all = append(all, o)
			mu.Unlock()
		})
		time.Sleep(gap)
	}
	group.Wait()
	const timeout, slack = 3 * time.Second, 500 * time.Millisecond
	open, late := 0, 0
	for i := range all {
		if all[i].took() > timeout {
			open++
		}
		if all[i].took() > timeout+slack {
			late++
			d.rec.note("late: %s took %d ms, status %d", all[i].id, all[i].took().Milliseconds(), all[i].status)
		}
	}
	d.rec.note("%d requests, %d unanswered at timeout_ms, %d of these without an answer 0.5 s later", len(all), open, late)
	if 2*late > open {
		return broken, nil
	}
	return held, nil
}
