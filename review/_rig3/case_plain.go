package main

import (
	"context"
	"strings"
	"time"
)

func init() { trials["plain"] = playPlain }

// coldDesk is the configuration with a plain service that states what its replicas bear while cold.
func coldDesk() string {
	return strings.Replace(config(7), `"cold_start_s":0.0,"cold_per_s":0.0}`, `"cold_start_s":3.0,"cold_per_s":9.1}`, 1)
}

// playPlain: a replica of a plain service comes back cold. Judged: it gets no more than cold_per_s x
// cold_overrun + cold_slack requests in one second (FAILBACK).
func playPlain(d *deployment, trouble bool) (verdict, error) {
	if err := d.startFronts(coldDesk()); err != nil {
		return failed, err
	}
	reps, _, _, err := startReplicas(d, 0, 3, 0, 0)
	if err != nil {
		return failed, err
	}
	c := newClient(d.rec, "c5")
	look := request{method: "GET", path: "/look/a", key: key, wait: time.Second}
	if err := awaitService(d, c, look, 20*time.Second); err != nil {
		return failed, err
	}
	time.Sleep(6 * time.Second)
	l := startLoad(d, c, look, 10*time.Millisecond)
	time.Sleep(4 * time.Second)
	x := reps[0]
	if trouble {
		x.crash()
		time.Sleep(2 * time.Second)
		x.id += "b"
		x.turnCold(3 * time.Second)
		if err := x.start(); err != nil {
			return failed, err
		}
	} else {
		_ = x.beat(context.Background())
	}
	time.Sleep(5 * time.Second)
	all := l.stop()
	sent := make(map[string]time.Time, len(all))
	for _, o := range all {
		sent[o.id] = o.sent
	}
	const bound = 9.1*1.5 + 5
	most, when := mostInASecond(x, sent)
	d.rec.noteMost(most, when, bound)
	if float64(most) > bound {
		return broken, nil
	}
	return held, nil
}
