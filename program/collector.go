package program

import (
	"os"
	"runtime/debug"
)

// collectorPercent is the heap that gateways and agents allocate between two collections,
// in hundredths of the live heap. What is live is small and what a request allocates is
// short-lived: at the default of 100 a gateway core carries a sixth fewer requests. At the
// design size a gateway's heap stays below 256 MB.
const collectorPercent = 300

// TuneCollector sets the garbage collector for the data path, unless GOGC is set.
func TuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
}
