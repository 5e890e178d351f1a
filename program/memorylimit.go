package program

import (
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"toucantiller.dev/memory"
)

// MemoryLimit is the memory that the process may use in bytes, as a flag value: a number of bytes,
// or one with the suffix MB (10^6 bytes) or MiB (2^20 bytes). 0 and empty text mean no limit.
type MemoryLimit int64

const (
	megabyte = 1_000_000
	mebibyte = 1 << 20
	// minMemoryLimit is the least limit that is accepted: below it, the program's text and the
	// runtime leave little room for work.
	minMemoryLimit = 32 * megabyte
)

// UnmarshalText parses a limit. A suffix alone, which a template makes of a missing number, means
// no limit.
func (m *MemoryLimit) UnmarshalText(text []byte) error {
	number, unit := string(text), int64(1)
	if n, ok := strings.CutSuffix(number, "MB"); ok {
		number, unit = n, megabyte
	} else if n, ok := strings.CutSuffix(number, "MiB"); ok {
		number, unit = n, mebibyte
	}
	if number == "" {
		*m = 0
		return nil
	}
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil || n < 0 || n > math.MaxInt64/unit {
		return fmt.Errorf("%q is not a number of bytes, MB or MiB", text)
	}
	*m = MemoryLimit(n * unit)
	return nil
}

// check returns an error for a limit that the process cannot keep.
func (m MemoryLimit) check() error {
	if m != 0 && m < minMemoryLimit {
		return &SettingError{Flag: "memory-limit", Err: fmt.Errorf("%d bytes is below %d", m, minMemoryLimit)}
	}
	return nil
}

// limitCollector makes the collector run more often as the memory of the Go runtime nears its
// share of the limit, unless GOMEMLIMIT is set.
func (m MemoryLimit) limitCollector() {
	if m > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memory.RuntimeShare * float64(m)))
	}
}
