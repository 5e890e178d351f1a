// Command toucan-gateway runs a gateway, which schedules callers' requests on endpoints.
package main

import "toucantiller.dev/program"

func main() {
	var s program.GatewaySettings
	program.Parse("toucan-gateway", "Accepts callers' requests and schedules them on endpoints.", &s)
	program.Run("toucan-gateway", program.Module(&s, &s.Common, program.NewGateway))
}
