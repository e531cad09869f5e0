// Package oracle gives the answers that stand-in targets are to give: pure
// functions of the request, so that a check can tell a whole answer from a cut,
// mixed or wrong one.
package oracle

import (
	"fmt"
	"strings"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Token returns token number index, from 1, of the answer to prompt.
func Token(prompt string, index int) string {
	return fmt.Sprintf("%08x ", uint32(shard.Hash(fmt.Sprintf("%d/%s", index, prompt))))
}

// ResponseText returns the first n tokens of the answer to prompt.
func ResponseText(prompt string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// ServiceResponse is the JSON body of a plain service's answer.
type ServiceResponse struct {
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Digest depends on the method, the path and the body of the request.
	Digest string `json:"digest"`
}

// NewServiceResponse returns the answer of a plain service.
func NewServiceResponse(requestID, method, path string, body []byte) ServiceResponse {
	sum := shard.Hash(method + " " + path + "\n" + string(body))
	return ServiceResponse{RequestID: requestID, Method: method, Path: path, Digest: fmt.Sprintf("%016x", sum)}
}
