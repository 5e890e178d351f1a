// Command toucan-control runs a control replica, which keeps the replicated state of a deployment.
package main

import "toucantiller.dev/program"

func main() {
	var s program.ControlSettings
	program.Parse("toucan-control", "Keeps the replicated state of a deployment.", &s)
	program.Run("toucan-control", program.Module(&s, &s.Common, program.NewControl))
}
