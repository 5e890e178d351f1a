package program

import (
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"
)

func parseDuties(t *testing.T, args ...string) *DutySettings {
	t.Helper()
	var s DutySettings
	parser, err := kong.New(&s)
	assert.NilError(t, err)
	_, err = parser.Parse(args)
	assert.NilError(t, err)
	return &s
}

// Guards against a deployment without the duty that takes it on or does not start for its empty
// settings, and one with it that starts with settings that cannot work.
func TestDutySettings(t *testing.T) {
	empty := []string{"--platform-api=", "--platform-duties=", "--duty-holder=", "--duty-rate=", "--duty-lease-ms=", "--usage-window=", "--usage-late="}
	for _, off := range [][]string{nil, empty, {"--platform-api=10.0.0.1:80"}, {"--platform-api=10.0.0.1:80", "--platform-duties=autoscale"}} {
		s := parseDuties(t, off...)
		assert.NilError(t, s.Check())
		o, err := s.options("c")
		assert.NilError(t, err)
		assert.Equal(t, o.UsageWindow, time.Duration(0), "%v", off)
	}
	on := []string{"--platform-api=10.0.0.1:80", "--platform-duties=metering,autoscale", "--usage-window=5", "--duty-lease-ms=3000"}
	s := parseDuties(t, on...)
	assert.NilError(t, s.Check())
	o, err := s.options("c")
	assert.NilError(t, err)
	assert.Equal(t, o.UsageWindow, 5*time.Second)
	assert.Equal(t, o.UsageLate, 10*time.Second)
	assert.Equal(t, o.Lease, 3*time.Second)
	assert.Equal(t, string(o.Holder), "c")
	o, err = parseDuties(t, append(on, "--duty-holder=front-1", "--usage-late=9.5", "--duty-rate=50")...).options("c")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Holder), "front-1")
	assert.Equal(t, o.UsageLate, 9500*time.Millisecond)
	assert.Equal(t, o.CallsPerSecond, 50.0)
	assert.ErrorContains(t, parseDuties(t, on[:3]...).Check(), "--duty-lease-ms: needed to report usage")
	for flag, bad := range map[string]string{"platform-api": "--platform-api=x", "usage-window": "--usage-window=0.1", "duty-lease-ms": "--duty-lease-ms=0", "usage-late": "--usage-late=8", "duty-rate": "--duty-rate=0"} {
		err := parseDuties(t, append(on, bad)...).Check()
		assert.ErrorContains(t, err, "--"+flag+": ")
	}
}
