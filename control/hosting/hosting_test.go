package hosting

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/instance"
)

const actsFor = 3 * time.Second

var start = time.Unix(1000, 0)

func fleet(hosts ...instance.ID) Fleet {
	f := Fleet{ActsFor: actsFor, LostAt: func(instance.ID) (time.Time, bool) { return time.Time{}, false }}
	for _, h := range hosts {
		f.Hosts = append(f.Hosts, instance.Instance{ID: h, Domain: "a"})
	}
	return f
}

func absent(since time.Time) Look { return Look{Last: Absent, AbsentSince: since} }

// Guards against an endpoint without an agent that nobody serves, against an agent that is
// replaced because it restarts or cannot be reached, and against one whose successor acts
// while gateways may still use it.
func TestDecide(t *testing.T) {
	lost := fleet("h2")
	lost.LostAt = func(instance.ID) (time.Time, bool) { return start, true }
	withdrawn := absent(start)
	withdrawn.WithdrawnSince = start
	back := Look{Last: Present, WithdrawnSince: start}
	for name, c := range map[string]struct {
		claim Claim
		after time.Duration
		fleet Fleet
		want  Change
		none  bool
	}{
		"found beside":            {claim: Claim{Look: Look{Last: Present}}, want: Change{State: Beside}},
		"not looked yet":          {claim: Claim{}, none: true},
		"both may be starting":    {claim: Claim{Look: absent(start)}, after: AbsentTime - 1, none: true},
		"no agent":                {claim: Claim{Look: absent(start)}, after: AbsentTime, want: Change{State: Withdrawn}},
		"a restart":               {claim: Claim{State: Beside, Look: absent(start)}, after: LostTime - 1, none: true},
		"gone for good":           {claim: Claim{State: Beside, Look: absent(start)}, after: LostTime, want: Change{State: Withdrawn}},
		"out of reach":            {claim: Claim{State: Beside, Look: Look{Last: Unknown}}, after: time.Hour, none: true},
		"still in use":            {claim: Claim{State: Withdrawn, Look: withdrawn}, after: actsFor + Margin - 1, fleet: fleet("h"), none: true},
		"no longer in use":        {claim: Claim{State: Withdrawn, Look: withdrawn}, after: actsFor + Margin, fleet: fleet("h"), want: Change{State: Hosted, Host: "h"}},
		"back in time":            {claim: Claim{State: Withdrawn, Look: back}, after: actsFor + Margin, fleet: fleet("h"), want: Change{State: Beside}},
		"no host":                 {claim: Claim{State: Withdrawn, Look: withdrawn}, after: time.Hour, none: true},
		"never published":         {claim: Claim{State: Unpublished, Look: absent(start)}, fleet: fleet("h"), want: Change{State: Hosted, Host: "h"}},
		"an agent appeared":       {claim: Claim{State: Hosted, Host: "h", Look: Look{Last: Present}}, fleet: fleet("h"), want: Change{State: Withdrawn}},
		"hosted":                  {claim: Claim{State: Hosted, Host: "h", Look: absent(start)}, after: time.Hour, fleet: fleet("h"), none: true},
		"the host left":           {claim: Claim{State: Hosted, Host: "h1", Look: absent(start)}, fleet: fleet("h2"), want: Change{State: Hosted, Host: "h2"}},
		"the host may still act":  {claim: Claim{State: Hosted, Host: "h1", Look: absent(start)}, after: actsFor + Margin - 1, fleet: lost, none: true},
		"the host acts no longer": {claim: Claim{State: Hosted, Host: "h1", Look: absent(start)}, after: actsFor + Margin, fleet: lost, want: Change{State: Hosted, Host: "h2"}},
	} {
		c.claim.Target = "t"
		got, ok := Decide(start.Add(c.after), []Claim{c.claim}, c.fleet)["t"]
		assert.Equal(t, ok, !c.none, name)
		if ok {
			assert.Equal(t, got, c.want, name)
		}
	}
}

// Guards against a host that runs most agents while others of the domain run none, and one
// in another domain that is chosen without need.
func TestAgentsAreSpreadInTheirDomain(t *testing.T) {
	f := fleet("a1", "a2", "a3")
	f.Hosts = append(f.Hosts, instance.Instance{ID: "b1", Domain: "b"})
	var claims []Claim
	for i := range 8 {
		domain := "a"
		if i == 7 {
			domain = "b"
		}
		c := Claim{Target: fmt.Sprint("t", i), State: Unpublished, Look: absent(start)}
		c.Domain = f.Hosts[0].Domain
		if domain == "b" {
			c.Domain = "b"
		}
		claims = append(claims, c)
	}
	count := make(map[instance.ID]int)
	for _, c := range Decide(start, claims, f) {
		count[c.Host]++
	}
	assert.DeepEqual(t, count, map[instance.ID]int{"a1": 3, "a2": 2, "a3": 2, "b1": 1})
}

// Guards against two agents of one endpoint that act at once, whatever looks, hosts and
// leaders do: an agent acts until the time is over for which a process uses what it knew.
func TestAgentsNeverActTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := world{alive: map[instance.ID]bool{"h1": true, "h2": true, "h3": true}, lost: map[instance.ID]time.Time{}, acts: map[string]time.Time{}, now: start}
		w.publish()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.step(t)
		}
	})
}

// world is one endpoint, its hosts, and the leader that looks after it.
type world struct {
	claim Claim
	now   time.Time
	alive map[instance.ID]bool
	lost  map[instance.ID]time.Time
	// acts holds until when each agent that was ever published may act.
	acts map[string]time.Time
}

// holder names the agent that gateways are told of, "" for none.
func (w *world) holder() string {
	switch w.claim.State {
	case Assumed, Beside:
		return "beside"
	case Hosted:
		if w.alive[w.claim.Host] {
			return string(w.claim.Host)
		}
	case Unpublished, Withdrawn:
	}
	return ""
}

func (w *world) publish() {
	if h := w.holder(); h != "" {
		w.acts[h] = w.now.Add(actsFor)
	}
}

func (w *world) step(t *rapid.T) {
	w.publish() // until now the agent was fresh
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
	if w.holder() != "" {
		w.publish()
	}
	host := rapid.SampledFrom([]instance.ID{"h1", "h2", "h3"}).Draw(t, "host")
	switch rapid.SampledFrom([]string{"look", "look", "decide", "decide", "lose", "join", "elect"}).Draw(t, "event") {
	case "look":
		w.claim.Look.Observe(rapid.SampledFrom([]Finding{Unknown, Present, Absent, Absent}).Draw(t, "finding"), w.now)
	case "lose":
		if w.alive[host] {
			w.alive[host] = false
			w.lost[host] = w.now
			if w.claim.State == Hosted && w.claim.Host == host {
				w.acts[string(host)] = w.now.Add(actsFor)
			}
		}
	case "join":
		w.alive[host] = true
		delete(w.lost, host)
	case "elect":
		w.claim.Look = Look{}
		if w.claim.State == Withdrawn {
			w.claim.Look.WithdrawnSince = w.now
		}
	case "decide":
		w.decide(t)
	}
}

func (w *world) decide(t *rapid.T) {
	f := Fleet{ActsFor: actsFor, LostAt: func(id instance.ID) (time.Time, bool) {
		at, ok := w.lost[id]
		return at, ok
	}}
	for id, alive := range w.alive {
		if alive {
			f.Hosts = append(f.Hosts, instance.Instance{ID: id})
		}
	}
	w.claim.Target = "t"
	change, ok := Decide(w.now, []Claim{w.claim}, f)["t"]
	if !ok {
		return
	}
	w.claim.State, w.claim.Host = change.State, change.Host
	w.claim.Look.WithdrawnSince = time.Time{}
	if change.State == Withdrawn {
		w.claim.Look.WithdrawnSince = w.now
	}
	next := w.holder()
	for other, until := range w.acts {
		if next != "" && other != next && w.now.Before(until) {
			t.Fatalf("%s acts from %s while %s may act until %s", next, w.now, other, until)
		}
	}
	w.publish()
}
