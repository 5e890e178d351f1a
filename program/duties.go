package program

import (
	"errors"
	"fmt"
	"math"
	"time"

	"toucantiller.dev/control"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/platform"
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
	// minDutyLease leaves time for a call within half of the lease.
	minDutyLease = 100 * time.Millisecond
	maxDutyTime  = 24 * time.Hour
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
	} {
		if d.value == 0 {
			return &SettingError{Flag: d.flag, Err: errNotSet}
		}
		if d.value < d.least || d.value > maxDutyTime {
			return &SettingError{Flag: d.flag, Err: fmt.Errorf("%s is not between %s and %s", d.value, d.least, maxDutyTime)}
		}
	}
	return nil
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
		UsageLate:      inUnits(s.UsageLate, time.Second),
		Lease:          inUnits(s.DutyLeaseMS, time.Millisecond),
		CallsPerSecond: s.DutyRate.Or(defaultDutyRate),
		Holder:         instance.ID(s.DutyHolder),
		Sender:         sender,
	}
	if o.UsageLate == 0 {
		o.UsageLate = 2 * o.UsageWindow
	}
	if o.Holder == "" {
		o.Holder = instance.ID(id)
	}
	return o, nil
}
