package grant

import (
	"fmt"
	"strconv"
	"strings"
)

// nextTerm names a tenure that follows the last one known. Terms order as
// strings: by a counter, then by the home's name, so that of two tenures begun
// at the same time all daemons prefer the same one.
func nextTerm(last, home string) string {
	count, _, _ := strings.Cut(last, "-")
	n, _ := strconv.ParseUint(count, 16, 64)
	return fmt.Sprintf("%016x-%s", n+1, home)
}
