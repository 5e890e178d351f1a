package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// otherWriter: another writer announces the servers of a service under a service that the configuration
// does not name.
func otherWriter() {
	const (
		calm    = 5 * time.Second
		pressed = 40 * time.Second
	)
	startDeployment(lookDocument(1))
	servers := startServers("desk", "v1", 3, nil)
	awaitService(http.MethodGet, lookPath)
	t := startTraffic(http.MethodGet, lookPath, time.Second, 30, gateways())
	time.Sleep(calm)
	came := time.Now()
	born := came.UnixMilli()
	for seq := 1; time.Since(came) < pressed; seq++ {
		for i, s := range servers {
			if !bed.trouble {
				break
			}
			body, _ := json.Marshal(map[string]any{
				"backend": "other-desk", "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
				"state": "ready", "cold_left_ms": 0, "seq": seq, "born": born,
			})
			id := fmt.Sprintf("w-%d", i+1)
			for _, node := range shuffled(bed.controlAddresses()) {
				status, content := call(context.Background(), http.MethodPut, node, "/replicas/"+id, body, time.Second)
				bed.record.line("other writer: PUT /replicas/%s of other-desk at %s: %d %.60q", id, s.address, status, content)
				if status/100 == 2 || status/100 == 4 {
					break
				}
			}
		}
		if bed.trouble && seq == 1 {
			say("another writer announces the three addresses under a service that is not named")
		}
		time.Sleep(heartbeatPause)
	}
	all := t.end()
	served := 0
	for _, o := range all {
		if o.served() {
			served++
		}
	}
	perSecond(all, allRuns(servers), nil)
	verdict(10*(len(all)-served) > 6*len(all), "%d of %d ordinary requests were refused or failed (at most 60%% are allowed)", len(all)-served, len(all))
}
