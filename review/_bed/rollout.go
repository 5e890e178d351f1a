package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the site lwan-router.
const (
	exposeShare  = 0.1
	exposeSlack  = 50
	rollbackTime = 5 * time.Second
	drainTime    = 2 * time.Second
	minBad       = 50
)

const bookPath = "/puxa403/2f"

// bookDocument has one route whose requests run once at most, to the plain service.
func bookDocument() string {
	return document(1, []string{"desk"}, []route{{name: "r-book", prefix: "/puxa403/", kind: "unsafe", service: "desk", timeoutMS: 1000, attempts: 1}})
}

// rolloutState asks for the state of the rollout of the service.
func rolloutState() (state, target string) {
	status, content := order(http.MethodGet, "/rollouts/desk", "", time.Second)
	var out struct{ State, Target string }
	if status != http.StatusOK || json.Unmarshal([]byte(content), &out) != nil {
		return fmt.Sprint(status), content
	}
	return out.State, out.Target
}

// orderRollout orders a rollout until it is acknowledged.
func orderRollout(target string, duration time.Duration) time.Time {
	status, content := order(http.MethodPost, "/rollouts", fmt.Sprintf(`{"backend":"desk","target":%q,"duration_s":%g}`, target, duration.Seconds()), 4*time.Second)
	say("operator: POST /rollouts desk to %s in %s: %d %.80s", target, duration, status, content)
	if status != http.StatusOK {
		fail("the rollout was not acknowledged")
	}
	return time.Now()
}

// allRuns returns what ran at the servers, in order of time.
func allRuns(servers []*server) []run {
	var out []run
	for _, s := range servers {
		out = append(out, s.all()...)
	}
	slices.SortFunc(out, func(a, b run) int { return a.at.Compare(b.at) })
	return out
}

// between counts the runs from one time to another.
func between(runs []run, from, to time.Time) (n int) {
	for _, r := range runs {
		if r.at.After(from) && r.at.Before(to) {
			n++
		}
	}
	return n
}

// lateRuns counts the requests that a client sent later than rollbackTime after the 50th bad answer
// from a time on, and that reached the bad version.
func lateRuns(runs []run, from time.Time, sent map[string]time.Time) (late int, limit time.Time) {
	bad := 0
	for _, r := range runs {
		if r.at.Before(from) {
			continue
		}
		if r.status >= http.StatusInternalServerError {
			if bad++; bad == minBad {
				limit = r.at.Add(rollbackTime)
			}
		}
		if !limit.IsZero() && sent[r.attempt].After(limit) {
			late++
		}
	}
	return late, limit
}

// sentTimes returns when clients sent their requests, by attempt.
func sentTimes(all []outcome) map[string]time.Time {
	out := make(map[string]time.Time, len(all))
	for _, o := range all {
		out[o.attempt] = o.sent
	}
	return out
}

// perSecond records what clients got and which version ran, for each second.
func perSecond(all []outcome, oldRuns, newRuns []run) {
	if len(all) == 0 {
		return
	}
	first := all[0].sent
	for _, o := range all {
		if o.sent.Before(first) {
			first = o.sent
		}
	}
	for s := 0; ; s++ {
		from, to := first.Add(time.Duration(s)*time.Second), first.Add(time.Duration(s+1)*time.Second)
		statuses, n := make(map[int]int), 0
		for _, o := range all {
			if !o.sent.Before(from) && o.sent.Before(to) {
				statuses[o.status]++
				n++
			}
		}
		if n == 0 {
			return
		}
		say("second %2d of the traffic: answers %v, runs %d of the old version, %d of the new one", s, statuses, between(oldRuns, from, to), between(newRuns, from, to))
	}
}

// orderAfterTakeBack: a bad version is taken back; the operator then orders the version in force.
func orderAfterTakeBack() {
	const (
		rate     = 150
		duration = 20 * time.Second
		// The new servers drain some seconds after the rollout was taken back.
		drainsAfter = 8 * time.Second
		length      = 45 * time.Second
	)
	startDeployment(bookDocument())
	oldServers := startServers("desk", "v1", 3, nil)
	awaitService(http.MethodPost, bookPath)
	t := startTraffic(http.MethodPost, bookPath, time.Second, rate, gateways())
	time.Sleep(2 * time.Second)
	var bad func(int64) bool
	if bed.trouble {
		bad = func(n int64) bool { return n%2 == 0 }
	}
	newServers := startServers("desk", "v2", 3, bad)
	ordered := time.Now()
	orderRollout("v2", duration)
	end := ordered.Add(length)
	last, backOrdered := "", false
	var platform sync.WaitGroup
	for time.Now().Before(end) {
		state, target := rolloutState()
		if now := state + " to " + target; now != last {
			say("operator: GET /rollouts/desk: %s", now)
			last = now
		}
		switch {
		case state == "rolled_back" && target == "v2" && !backOrdered:
			backOrdered = true
			platform.Go(func() {
				time.Sleep(drainsAfter)
				for _, s := range newServers {
					platform.Go(func() { s.leave(drainTime, time.Second) })
				}
			})
			time.Sleep(300 * time.Millisecond)
			orderRollout("v1", duration)
		case state == "done" && target == "v2" && oldServers[0].http != nil && !backOrdered:
			backOrdered = true
			say("platform: the old servers stop")
			for _, s := range oldServers {
				s.exit()
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	platform.Wait()
	all := t.end()
	oldRuns, newRuns := allRuns(oldServers), allRuns(newServers)
	perSecond(all, oldRuns, newRuns)
	deadline := ordered.Add(duration)
	toOld, toNew := between(oldRuns, ordered, deadline), between(newRuns, ordered, deadline)
	allowed := int(exposeShare*float64(toOld+toNew)) + exposeSlack
	say("between the order of v2 and its deadline %d requests reached the service, %d of them v2 (%d are allowed for a bad version)", toOld+toNew, toNew, allowed)
	late, limit := lateRuns(newRuns, ordered, sentTimes(all))
	if !limit.IsZero() {
		say("%d requests that were sent later than %s after the 50th bad answer of v2 reached it (limit at %.3f s)", late, rollbackTime, limit.Sub(bed.record.began).Seconds())
	}
	broken := bed.trouble && (toNew > allowed || late > 0)
	verdict(broken, "the new version got %d of %d requests, %d too late after it was found bad", toNew, toOld+toNew, late)
}
