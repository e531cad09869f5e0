package grant

import (
	"fmt"
	"strconv"
	"strings"
)

// nextTerm returns the term of a tenure that follows the last known one. Terms
// are ordered as strings: by a counter, then by the home's id, so that all daemons
// prefer the same one of two tenures that started at the same time.
func nextTerm(last, home string) string {
	count, _, _ := strings.Cut(last, "-")
	n, _ := strconv.ParseUint(count, 16, 64)
	return fmt.Sprintf("%016x-%s", n+1, home)
}
