package main

import (
	"net/http"
	"time"
)

// firstStart: at the first start the seeds are three machines that serve control, one of them without
// a disk. It is no case; the report tells of it.
func firstStart() {
	for _, z := range zones {
		bed.newMachine(z, true)
		bed.newMachine(z, false)
	}
	seeds := []*machine{bed.machines[0], bed.machines[2], bed.machines[4]}
	if bed.trouble {
		seeds[0] = bed.machines[1]
	}
	bed.startMachines(seeds)
	status, content := order(http.MethodPut, "/config", lookDocument(1), 40*time.Second)
	say("first configuration: %d %.100s", status, content)
	startServers("desk", "v1", 3, nil)
	t := startTraffic(http.MethodGet, lookPath, time.Second, 20, gateways())
	time.Sleep(20 * time.Second)
	served := 0
	all := t.end()
	for _, o := range all {
		if o.served() {
			served++
		}
	}
	verdict(served == 0, "%d of %d requests were served", served, len(all))
}
