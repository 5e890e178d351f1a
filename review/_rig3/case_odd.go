package main

import (
	"context"
	"net/http"
	"time"
)

func init() { trials["odd"] = playOdd }

// playOdd: one heartbeat from another writer, which lacks a field, arrives for a cold model replica.
// Judged: the cold replica gets no more than cold_per_s x cold_overrun + cold_slack requests in one
// second (FAILBACK).
func playOdd(d *deployment, trouble bool) (verdict, error) {
	if err := d.startFronts(config(7)); err != nil {
		return failed, err
	}
	reps, _, _, err := startReplicas(d, 3, 0, 0, 60*time.Millisecond)
	if err != nil {
		return failed, err
	}
	c := newClient(d.rec, "c4")
	digest := request{method: "POST", path: "/digest/a", key: key, body: "order sheet", tokens: "460,20", wait: 3 * time.Second}
	if err := awaitService(d, c, digest, 20*time.Second); err != nil {
		return failed, err
	}
	time.Sleep(6 * time.Second)
	l := startLoad(d, c, digest, 12*time.Millisecond)
	time.Sleep(4 * time.Second)
	x := reps[0]
	x.turnCold(8 * time.Second)
	if err := x.beat(context.Background()); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		x.otherWriter()
	}
	time.Sleep(3 * time.Second)
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

// mostInASecond returns the most requests that were sent and arrived at the cold replica inside one
// second, and when that began.
func mostInASecond(x *replica, sent map[string]time.Time) (most int, when time.Time) {
	runs := x.ran()
	for i := range runs {
		from := sent[runs[i].id]
		if !x.wasCold(from) {
			continue
		}
		end, n := from.Add(time.Second), 0
		for j := range runs {
			if at, ok := sent[runs[j].id]; ok && !at.Before(from) && runs[j].at.Before(end) && x.wasCold(runs[j].at) {
				n++
			}
		}
		if n > most {
			most, when = n, from
		}
	}
	return most, when
}

// noteMost records what mostInASecond found.
func (r *recorder) noteMost(most int, when time.Time, bound float64) {
	if most == 0 {
		r.note("no cold replica got a request; the bound is %.2f in one second", bound)
		return
	}
	r.note("the cold replica got at most %d requests in one second, from %.3f; the bound is %.2f", most, when.Sub(r.began).Seconds(), bound)
}

// turnCold makes the replica cold for a time.
func (s *replica) turnCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldFrom, s.coldUntil = time.Now(), time.Now().Add(d)
	s.rec.note("replica %s is cold for %s", s.id, d)
}

func (s *replica) coldLeft() int64 {
	if left := time.Until(s.coldUntil); left > 0 {
		return left.Milliseconds()
	}
	return 0
}

func (s *replica) wasCold(at time.Time) bool { return at.After(s.coldFrom) && at.Before(s.coldUntil) }

// otherWriter sends one heartbeat for the replica that lacks the fields of newer versions.
func (s *replica) otherWriter() {
	s.mu.Lock()
	s.seq++
	body := map[string]any{"backend": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots,
		"state": s.state, "cold_left_ms": s.coldLeft(), "seq": s.seq, "born": s.born}
	s.mu.Unlock()
	for _, node := range s.controls {
		_, err := s.call(context.Background(), http.MethodPut, node, body)
		if err == nil {
			s.rec.note("a heartbeat of another writer, without stage and models, for %s was acknowledged", s.id)
			return
		}
		s.rec.note("a heartbeat of another writer, without stage and models, for %s: %v", s.id, err)
	}
}
