package lastrun

import (
	"os"
	"strconv"
	"strings"
)

// memory returns the resident memory of this process and its peak, in bytes; both are 0 on
// systems without /proc/self/status.
func memory() (resident, peak int64) {
	content, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(content)) {
		switch name, value, _ := strings.Cut(line, ":"); name {
		case "VmRSS":
			resident = kilobytes(value)
		case "VmHWM":
			peak = kilobytes(value)
		}
	}
	return resident, peak
}

// kilobytes converts a value such as "  5124 kB" to bytes.
func kilobytes(value string) int64 {
	n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64) // 0 if malformed
	return n << 10
}
