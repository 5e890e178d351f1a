// Command bed plays the cases of the second review: it starts the project's programs with the commands
// of the deploy file on loopback addresses, beside stand-ins for clients, servers and the platform.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scriptLimit ends a script that takes too long.
const scriptLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: bed CASE RECORD")
		os.Exit(statusNotRun)
	}
	cases := map[string]func(){
		"crowd": clientsThatStop, "order": orderAfterTakeBack, "start": firstStart, "writer": otherWriter, "targets": otherTargets, "fields": manyShortFields,
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		os.Exit(statusNotRun)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	bed = &testbed{folder: folder, network: chooseNetwork(), record: newRecorder(os.Args[2]), trouble: os.Getenv("TROUBLE") != "0", bound: os.Getenv("BOUND") == "1"}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-ends:
		case <-time.After(scriptLimit):
		}
		fail("the script was ended")
	}()
	say("case %s, trouble %t", os.Args[1], bed.trouble)
	play()
}

// zones are those of the site lwan-router.
var zones = []string{"lagos-a", "lagos-b", "lagos-c"}

// startDeployment starts three machines with disks, one a zone, and applies the first configuration.
func startDeployment(doc string) {
	for _, z := range zones {
		bed.newMachine(z, true)
	}
	bed.startMachines(bed.machines)
	status, content := order(http.MethodPut, "/config", doc, 20*time.Second)
	if status != http.StatusOK {
		fail("the first configuration was not acknowledged: %d %s", status, content)
	}
	say("the first configuration was acknowledged")
}

// gateways returns the addresses at which clients connect.
func gateways() []string {
	var out []string
	for _, m := range bed.machines {
		out = append(out, m.front)
	}
	return out
}

// startServers starts n servers of a version of the service, spread over the zones.
func startServers(service, version string, n int, bad func(int64) bool) []*server {
	var out []*server
	for i := range n {
		s := &server{
			id: fmt.Sprintf("i-%s-%s-%d", service, version, i+1), service: service, version: version, zone: zones[i%len(zones)],
			address: bed.address() + ":" + serverPort, work: 20 * time.Millisecond, slots: 6, bad: bad,
		}
		s.start()
		out = append(out, s)
	}
	return out
}

// awaitService waits until each gateway serves.
func awaitService(method, path string) {
	for i, g := range gateways() {
		n := 0
		until("service at "+g, 20*time.Second, func() bool {
			n++
			o := sendOne(method, path, time.Second, fmt.Sprintf("w%d-%d", i, n), g)
			return o.served()
		})
	}
	say("all gateways serve")
}
