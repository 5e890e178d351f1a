package limit

import "fmt"

func (l *Limiter) Debug() string { return fmt.Sprintf("f%.2f s%.2f", l.fast, l.slow) }
