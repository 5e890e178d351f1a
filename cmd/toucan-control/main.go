// Command toucan-control starts a control process.
package main

import "toucantiller.dev/program"

func main() {
	var s program.ControlSettings
	program.Parse("toucan-control", "Keeps the replicated state of a deployment.", &s)
	program.Run("toucan-control", program.Module(&s, &s.Common, program.NewControl))
}
