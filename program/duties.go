package program

import (
	"errors"
	"fmt"
	"math"
	"time"

	"toucantiller.dev/control"
	"toucantiller.dev/duty"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/platform"
	"toucantiller.dev/usage"
)

// DutySettings are the settings of the calls to the platform's API that one instance at a time
// makes. A deployment's template passes empty values where none is configured.
type DutySettings struct {
	PlatformAPI    string        `name:"platform-api" help:"Address of the platform's API, ip:port; empty for none." env:"TOUCAN_PLATFORM_API"`
	PlatformDuties string        `help:"The platform's names of the duties to take on, comma separated; empty for none." env:"TOUCAN_PLATFORM_DUTIES"`
	DutyHolder     string        `help:"Name of this machine at the platform, if not --id." env:"TOUCAN_DUTY_HOLDER"`
	DutyRate       OptionalFloat `help:"Calls that the platform takes per second from all processes together; 1 if empty." env:"TOUCAN_DUTY_RATE"`
	DutyLeaseMS    OptionalFloat `name:"duty-lease-ms" help:"Milliseconds within which the platform must not see calls of two holders change places twice." env:"TOUCAN_DUTY_LEASE_MS"`
	UsageWindow    OptionalFloat `help:"Length in seconds of the windows in which usage is reported." env:"TOUCAN_USAGE_WINDOW"`
	UsageLate      OptionalFloat `help:"Seconds after the end of a window for which its report is wanted; two windows if empty." env:"TOUCAN_USAGE_LATE"`
}

// Bounds of the settings.
const (
	// minDutyLease leaves time for a confirmation and a call within half of the lease.
	minDutyLease = time.Second
	maxDutyTime  = 24 * time.Hour
	// callTime is the time that a late report leaves for its call.
	callTime = time.Second
	// defaultDutyRate is in calls per second.
	defaultDutyRate = 1
)

var errNotSet = errors.New("needed to report usage, and not set")

// reportsUsage reports whether the deployment has the duty to report usage.
func (s *DutySettings) reportsUsage() bool {
	return s.PlatformAPI != "" && platform.ReportsUsage(s.PlatformDuties)
}

// Check checks the settings of a deployment that has duties.
func (s *DutySettings) Check() error {
	if !s.reportsUsage() {
		return nil
	}
	if _, err := platform.NewDutyClient(nil, s.PlatformAPI); err != nil {
		return &SettingError{Flag: "platform-api", Err: fmt.Errorf("%q: %w", s.PlatformAPI, err)}
	}
	for _, d := range []struct {
		flag  string
		value time.Duration
		least time.Duration
	}{
		{"usage-window", inUnits(s.UsageWindow, time.Second), time.Second},
		{"duty-lease-ms", inUnits(s.DutyLeaseMS, time.Millisecond), minDutyLease},
		{"usage-late", s.usageLate(), s.leastUsageLate()},
	} {
		if d.value == 0 {
			return &SettingError{Flag: d.flag, Err: errNotSet}
		}
		if d.value < d.least || d.value > maxDutyTime {
			return &SettingError{Flag: d.flag, Err: fmt.Errorf("%s is not between %s and %s", d.value, d.least, maxDutyTime)}
		}
	}
	if rate := s.DutyRate.Or(defaultDutyRate); rate <= 0 {
		return &SettingError{Flag: "duty-rate", Err: fmt.Errorf("%g is not above 0", rate)}
	}
	return nil
}

// usageLate returns how long after the end of its window a report is wanted.
func (s *DutySettings) usageLate() time.Duration {
	if s.UsageLate.Or(0) == 0 {
		return 2 * inUnits(s.UsageWindow, time.Second)
	}
	return inUnits(s.UsageLate, time.Second)
}

// leastUsageLate returns the time in which a report can be made although a gateway is silent and
// the holder changes.
func (s *DutySettings) leastUsageLate() time.Duration {
	lease := inUnits(s.DutyLeaseMS, time.Millisecond)
	return usage.Patience + duty.NewHolderWait(lease) + callTime
}

// inUnits returns a number of units, 0 if it is unset.
func inUnits(f OptionalFloat, unit time.Duration) time.Duration {
	return time.Duration(min(f.Or(0)*float64(unit), math.MaxInt64/2))
}

// options returns the options of a control replica with an ID. Without a duty they are empty.
func (s *DutySettings) options(id string) (control.DutyOptions, error) {
	if !s.reportsUsage() {
		return control.DutyOptions{}, nil
	}
	sender, err := platform.NewDutyClient(link.TCP{}, s.PlatformAPI)
	if err != nil {
		return control.DutyOptions{}, err
	}
	o := control.DutyOptions{
		UsageWindow:    inUnits(s.UsageWindow, time.Second),
		UsageLate:      s.usageLate(),
		Lease:          inUnits(s.DutyLeaseMS, time.Millisecond),
		CallsPerSecond: s.DutyRate.Or(defaultDutyRate),
		Holder:         instance.ID(s.DutyHolder),
		Sender:         sender,
	}
	if o.Holder == "" {
		o.Holder = instance.ID(id)
	}
	return o, nil
}
