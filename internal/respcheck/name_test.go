package respcheck

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestFieldNames checks each byte within a name against the grammar's list.
func TestFieldNames(t *testing.T) {
	const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for c := range 256 {
		name := []byte{'X', byte(c), 'y'}
		valid := strings.IndexByte(tokenBytes, byte(c)) >= 0
		must.Eq(t, valid, checkFieldName(name) == nil, must.Sprintf("%q", name))
		must.Eq(t, valid, checkFieldName(name[1:2]) == nil, must.Sprintf("%q", name[1:2]))
	}
	must.Error(t, checkFieldName(nil))
	must.Less(t, 200, len(checkFieldName([]byte(strings.Repeat("x y", 10_000))).Error()))
}
