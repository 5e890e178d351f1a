package program

import (
	"fmt"
	"strconv"
)

// OptionalFloat is a number that may be given as the empty text, which leaves the default:
// placeholders of a deployment that states no value are empty.
type OptionalFloat struct {
	value float64
	set   bool
}

// UnmarshalText reads a number of at least 0, or nothing.
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

// Or returns the number, or another one where none was given.
func (f OptionalFloat) Or(other float64) float64 {
	if !f.set {
		return other
	}
	return f.value
}
