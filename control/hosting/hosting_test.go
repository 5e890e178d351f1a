package hosting

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"toucantiller.dev/instance"
)

const serveStale = 3 * time.Second

var start = time.Unix(1000, 0)

func fleet(hosts ...instance.ID) Fleet {
	f := Fleet{ActsFor: serveStale, LostAt: func(instance.ID) (time.Time, bool) { return time.Time{}, false }}
	for _, h := range hosts {
		f.Hosts = append(f.Hosts, instance.Instance{ID: h, Domain: "a"})
	}
	return f
}

func absent(since time.Time) Look { return Look{Last: Absent, AbsentSince: since} }

// Guards against an endpoint without an agent that gets no host, against an agent that is
// replaced because it restarts or is unreachable, and against a replacement that acts while
// gateways may still use the previous agent.
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
		"still in use":            {claim: Claim{State: Withdrawn, Look: withdrawn}, after: serveStale + Margin - 1, fleet: fleet("h"), none: true},
		"no longer in use":        {claim: Claim{State: Withdrawn, Look: withdrawn}, after: serveStale + Margin, fleet: fleet("h"), want: Change{State: Hosted, Host: "h"}},
		"back in time":            {claim: Claim{State: Withdrawn, Look: back}, after: serveStale + Margin, fleet: fleet("h"), want: Change{State: Beside}},
		"no host":                 {claim: Claim{State: Withdrawn, Look: withdrawn}, after: time.Hour, none: true},
		"never published":         {claim: Claim{State: Unpublished, Look: absent(start)}, fleet: fleet("h"), want: Change{State: Hosted, Host: "h"}},
		"an agent appeared":       {claim: Claim{State: Hosted, Host: "h", Look: Look{Last: Present}}, fleet: fleet("h"), want: Change{State: Withdrawn}},
		"hosted":                  {claim: Claim{State: Hosted, Host: "h", Look: absent(start)}, after: time.Hour, fleet: fleet("h"), none: true},
		"the host left":           {claim: Claim{State: Hosted, Host: "h1", Look: absent(start)}, fleet: fleet("h2"), want: Change{State: Hosted, Host: "h2"}},
		"the host may still act":  {claim: Claim{State: Hosted, Host: "h1", Look: absent(start)}, after: serveStale + Margin - 1, fleet: lost, none: true},
		"the host acts no longer": {claim: Claim{State: Hosted, Host: "h1", Look: absent(start)}, after: serveStale + Margin, fleet: lost, want: Change{State: Hosted, Host: "h2"}},
	} {
		c.claim.Target = "t"
		got, ok := Decide(start.Add(c.after), []Claim{c.claim}, c.fleet)["t"]
		assert.Equal(t, ok, !c.none, name)
		if ok {
			assert.Equal(t, got, c.want, name)
		}
	}
}

// Guards against a host that gets most agents while others of its domain get none, and against
// a host in another domain that is chosen although the endpoint's domain has hosts.
func TestAgentsAreSpreadWithinDomain(t *testing.T) {
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

// Guards against two agents of one endpoint that act at the same time, under any sequence of
// findings, lost and new hosts, and elections. A process acts for serveStale on the last
// directory that it received.
func TestOneAgentActsAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := simulation{alive: map[instance.ID]bool{"h1": true, "h2": true, "h3": true}, lost: map[instance.ID]time.Time{}, mayActUntil: map[string]time.Time{}, now: start}
		s.publish()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.step(t)
		}
	})
}

// simulation models one endpoint, the hosts, and the leader that decides where its agent runs.
type simulation struct {
	claim Claim
	now   time.Time
	alive map[instance.ID]bool
	lost  map[instance.ID]time.Time
	// mayActUntil is the time until which each agent that was ever published may act.
	mayActUntil map[string]time.Time
}

// publishedAgent returns the name of the agent that is published to gateways, "" for none.
func (s *simulation) publishedAgent() string {
	switch s.claim.State {
	case Assumed, Beside:
		return "beside"
	case Hosted:
		if s.alive[s.claim.Host] {
			return string(s.claim.Host)
		}
	case Unpublished, Withdrawn:
	}
	return ""
}

// publish extends the time for which the published agent may act.
func (s *simulation) publish() {
	if h := s.publishedAgent(); h != "" {
		s.mayActUntil[h] = s.now.Add(serveStale)
	}
}

func (s *simulation) step(t *rapid.T) {
	s.publish() // the agent was published up to this moment
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
	if s.publishedAgent() != "" {
		s.publish()
	}
	host := rapid.SampledFrom([]instance.ID{"h1", "h2", "h3"}).Draw(t, "host")
	switch rapid.SampledFrom([]string{"look", "look", "decide", "decide", "lose", "join", "elect"}).Draw(t, "event") {
	case "look":
		s.claim.Look.Observe(rapid.SampledFrom([]Finding{Unknown, Present, Absent, Absent}).Draw(t, "finding"), s.now)
	case "lose":
		if s.alive[host] {
			s.alive[host] = false
			s.lost[host] = s.now
			if s.claim.State == Hosted && s.claim.Host == host {
				s.mayActUntil[string(host)] = s.now.Add(serveStale)
			}
		}
	case "join":
		s.alive[host] = true
		delete(s.lost, host)
	case "elect":
		s.claim.Look = Look{}
		if s.claim.State == Withdrawn {
			s.claim.Look.WithdrawnSince = s.now
		}
	case "decide":
		s.decide(t)
	}
}

func (s *simulation) decide(t *rapid.T) {
	f := Fleet{ActsFor: serveStale, LostAt: func(id instance.ID) (time.Time, bool) {
		at, ok := s.lost[id]
		return at, ok
	}}
	for id, alive := range s.alive {
		if alive {
			f.Hosts = append(f.Hosts, instance.Instance{ID: id})
		}
	}
	s.claim.Target = "t"
	change, ok := Decide(s.now, []Claim{s.claim}, f)["t"]
	if !ok {
		return
	}
	s.claim.State, s.claim.Host = change.State, change.Host
	s.claim.Look.WithdrawnSince = time.Time{}
	if change.State == Withdrawn {
		s.claim.Look.WithdrawnSince = s.now
	}
	next := s.publishedAgent()
	for other, until := range s.mayActUntil {
		if next != "" && other != next && s.now.Before(until) {
			t.Fatalf("%s acts from %s while %s may act until %s", next, s.now, other, until)
		}
	}
	s.publish()
}
