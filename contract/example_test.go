package contract_test

import (
	"errors"
	"fmt"
	"os"
	"time"

	"toucantiller.dev/contract"
)

// Every problem carries its position and a fix.
func ExampleValidate() {
	content := []byte("name: weavers\nversion: 1\nserve_stale: 10\n")
	for _, p := range contract.Validate(content, time.Now())[:2] {
		fmt.Println(p.Line, p.Field, "-", p.Message)
	}
	// Output:
	// 1 operators - required and empty
	// 1 author - required and not set
}

// A bundle needs the signature of an operator other than its author.
func ExampleVerify() {
	content, _ := os.ReadFile("../examples/weavers.yaml")
	now := time.Date(2031, 5, 4, 12, 0, 0, 0, time.UTC)
	fmt.Println(errors.Is(contract.Verify(content, nil, nil, now), contract.ErrSignOff))
	signed := contract.Sign(content, "bashir", contract.DemoKey("bashir"), now)
	fmt.Println(contract.Verify(content, []contract.SignOff{signed}, nil, now))
	// Output:
	// true
	// <nil>
}
