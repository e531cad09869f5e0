package fault

import (
	"errors"
	"fmt"
)

// CheckRange returns a BadInput error for the named field unless v lies from low
// to high.
func CheckRange(field string, v, low, high int) error {
	if v < low || v > high {
		return Invalid(field, fmt.Sprintf("use a number from %d to %d", low, high), "%d is out of range", v)
	}
	return nil
}

// IsTimeout reports whether an error of the network or a client says that it is
// a timeout.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
