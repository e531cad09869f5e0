package respcheck

import (
	"errors"
	"fmt"
	"strings"
)

// tokenSymbols are the bytes of a token (RFC 9110, section 5.6.2) that are neither
// letters nor digits.
const tokenSymbols = "!#$%&'*+-.^_`|~"

// checkFieldName returns an error unless the name of a field, as received, is a token. HTTP
// libraries accept blanks in it and before the colon. Such a line would be passed on, or
// a length that it states would be ignored.
func checkFieldName(name []byte) error {
	for _, c := range name {
		if !isTokenByte(c) {
			return fmt.Errorf("%.40q is not the name of a header field", name)
		}
	}
	if len(name) == 0 {
		return errors.New("the name of a header field is empty")
	}
	return nil
}

func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte(tokenSymbols, c) >= 0
}
