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
	f := Fleet{ServeStale: serveStale, LostAt: func(instance.ID) (time.Time, bool) { return time.Time{}, false }}
	for _, h := range hosts {
		f.Hosts = append(f.Hosts, instance.Instance{ID: h, Domain: "a"})
	}
	return f
}

func absent(since time.Time) ProbeHistory { return ProbeHistory{Last: Absent, AbsentSince: since} }

// Guards against an endpoint without an agent that gets no host, against an agent that is
// replaced because it restarts or is unreachable, and against a replacement that acts while
// gateways may still use the previous agent.
func TestDecide(t *testing.T) {
	lost := fleet("h2")
	lost.LostAt = func(instance.ID) (time.Time, bool) { return start, true }
	withdrawn := absent(start)
	withdrawn.WithdrawnSince = start
	back := ProbeHistory{Last: Present, WithdrawnSince: start}
	for name, c := range map[string]struct {
		agent Agent
		after time.Duration
		fleet Fleet
		want  Change
		none  bool
	}{
		"found beside":            {agent: Agent{Probes: ProbeHistory{Last: Present}}, want: Change{State: Beside}},
		"not looked yet":          {agent: Agent{}, none: true},
		"both may be starting":    {agent: Agent{Probes: absent(start)}, after: StartGrace - 1, none: true},
		"no agent":                {agent: Agent{Probes: absent(start)}, after: StartGrace, want: Change{State: Withdrawn}},
		"a restart":               {agent: Agent{State: Beside, Probes: absent(start)}, after: RestartGrace - 1, none: true},
		"gone for good":           {agent: Agent{State: Beside, Probes: absent(start)}, after: RestartGrace, want: Change{State: Withdrawn}},
		"out of reach":            {agent: Agent{State: Beside, Probes: ProbeHistory{Last: Unknown}}, after: time.Hour, none: true},
		"still in use":            {agent: Agent{State: Withdrawn, Probes: withdrawn}, after: serveStale + Margin - 1, fleet: fleet("h"), none: true},
		"no longer in use":        {agent: Agent{State: Withdrawn, Probes: withdrawn}, after: serveStale + Margin, fleet: fleet("h"), want: Change{State: Hosted, Host: "h"}},
		"back in time":            {agent: Agent{State: Withdrawn, Probes: back}, after: serveStale + Margin, fleet: fleet("h"), want: Change{State: Beside}},
		"no host":                 {agent: Agent{State: Withdrawn, Probes: withdrawn}, after: time.Hour, none: true},
		"never published":         {agent: Agent{State: Unpublished, Probes: absent(start)}, fleet: fleet("h"), want: Change{State: Hosted, Host: "h"}},
		"an agent appeared":       {agent: Agent{State: Hosted, Host: "h", Probes: ProbeHistory{Last: Present}}, fleet: fleet("h"), want: Change{State: Withdrawn}},
		"hosted":                  {agent: Agent{State: Hosted, Host: "h", Probes: absent(start)}, after: time.Hour, fleet: fleet("h"), none: true},
		"the host left":           {agent: Agent{State: Hosted, Host: "h1", Probes: absent(start)}, fleet: fleet("h2"), want: Change{State: Hosted, Host: "h2"}},
		"the host may still act":  {agent: Agent{State: Hosted, Host: "h1", Probes: absent(start)}, after: serveStale + Margin - 1, fleet: lost, none: true},
		"the host acts no longer": {agent: Agent{State: Hosted, Host: "h1", Probes: absent(start)}, after: serveStale + Margin, fleet: lost, want: Change{State: Hosted, Host: "h2"}},
	} {
		c.agent.Target = "t"
		got, ok := Decide(start.Add(c.after), []Agent{c.agent}, c.fleet)["t"]
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
	var agents []Agent
	for i := range 8 {
		domain := "a"
		if i == 7 {
			domain = "b"
		}
		c := Agent{Target: fmt.Sprint("t", i), State: Unpublished, Probes: absent(start)}
		c.Domain = f.Hosts[0].Domain
		if domain == "b" {
			c.Domain = "b"
		}
		agents = append(agents, c)
	}
	count := make(map[instance.ID]int)
	for _, c := range Decide(start, agents, f) {
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
	agent Agent
	now   time.Time
	alive map[instance.ID]bool
	lost  map[instance.ID]time.Time
	// mayActUntil is the time until which each agent that was ever published may act.
	mayActUntil map[string]time.Time
}

// publishedAgent returns the name of the agent that is published to gateways, "" for none.
func (s *simulation) publishedAgent() string {
	switch s.agent.State {
	case Assumed, Beside:
		return "beside"
	case Hosted:
		if s.alive[s.agent.Host] {
			return string(s.agent.Host)
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
		s.agent.Probes.Observe(rapid.SampledFrom([]Finding{Unknown, Present, Absent, Absent}).Draw(t, "finding"), s.now)
	case "lose":
		if s.alive[host] {
			s.alive[host] = false
			s.lost[host] = s.now
			if s.agent.State == Hosted && s.agent.Host == host {
				s.mayActUntil[string(host)] = s.now.Add(serveStale)
			}
		}
	case "join":
		s.alive[host] = true
		delete(s.lost, host)
	case "elect":
		s.agent.Probes = ProbeHistory{}
		if s.agent.State == Withdrawn {
			s.agent.Probes.WithdrawnSince = s.now
		}
	case "decide":
		s.decide(t)
	}
}

func (s *simulation) decide(t *rapid.T) {
	f := Fleet{ServeStale: serveStale, LostAt: func(id instance.ID) (time.Time, bool) {
		at, ok := s.lost[id]
		return at, ok
	}}
	for id, alive := range s.alive {
		if alive {
			f.Hosts = append(f.Hosts, instance.Instance{ID: id})
		}
	}
	s.agent.Target = "t"
	change, ok := Decide(s.now, []Agent{s.agent}, f)["t"]
	if !ok {
		return
	}
	s.agent.State, s.agent.Host = change.State, change.Host
	s.agent.Probes.WithdrawnSince = time.Time{}
	if change.State == Withdrawn {
		s.agent.Probes.WithdrawnSince = s.now
	}
	next := s.publishedAgent()
	for other, until := range s.mayActUntil {
		if next != "" && other != next && s.now.Before(until) {
			t.Fatalf("%s acts from %s while %s may act until %s", next, s.now, other, until)
		}
	}
	s.publish()
}
