// Command toucan-agent runs an agent, which executes the dispatches of an endpoint.
package main

import "toucantiller.dev/program"

func main() {
	var s program.AgentSettings
	program.Parse("toucan-agent", "Runs beside an endpoint and executes its dispatches at most once.", &s)
	program.Run("toucan-agent", program.Module(&s, &s.Common, program.NewAgent))
}
