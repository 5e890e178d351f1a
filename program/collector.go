package program

import (
	"os"
	"runtime/debug"
)

// gcPercent is the GOGC value of gateways and agents. The live heap is small and requests
// allocate short-lived objects: with the default of 100, a gateway core serves a sixth fewer
// requests. At the design size a gateway's heap stays below 256 MB. MemoryLimit bounds it
// on instances that have less.
const gcPercent = 300

// TuneCollector sets the garbage collection target to gcPercent, unless GOGC is set.
func TuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
