package program

import (
	"fmt"
	"strconv"
)

// OptionalFloat is a flag value that may be empty, which means the default: a deployment's
// template passes an empty value where none is configured.
type OptionalFloat struct {
	value float64
	set   bool
}

// UnmarshalText parses a number of at least 0. Empty text leaves the value unset.
func (f *OptionalFloat) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return err
	}
	if !(v >= 0) {
		return fmt.Errorf("%s is below 0", text)
	}
	f.value, f.set = v, true
	return nil
}

// Or returns the number, or other if it is unset.
func (f OptionalFloat) Or(other float64) float64 {
	if !f.set {
		return other
	}
	return f.value
}
