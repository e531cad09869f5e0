package fault

import (
	"errors"
	"fmt"
)

// CheckRange returns a BadInput error for the named field if v is outside
// [low, high].
func CheckRange(field string, v, low, high int) error {
	if v < low || v > high {
		return Invalid(field, fmt.Sprintf("use a number from %d to %d", low, high), "%d is out of range", v)
	}
	return nil
}

// IsTimeout reports whether err's chain contains an error, such as a net.Error,
// whose Timeout method returns true.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
