// Package oracle computes the expected responses of stand-in targets. They are
// pure functions of the request, so a check can detect truncated, swapped and
// wrong responses.
package oracle

import (
	"fmt"
	"strings"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Token returns the token at index, counted from 1, of the response to prompt.
func Token(prompt string, index int) string {
	return fmt.Sprintf("%08x ", uint32(shard.Hash(fmt.Sprintf("%d/%s", index, prompt))))
}

// ResponseText returns the text of the first tokens of the response to prompt.
func ResponseText(prompt string, tokens int) string {
	var text strings.Builder
	for i := 1; i <= tokens; i++ {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

// ServiceResponse is the JSON body that a plain service responds with.
type ServiceResponse struct {
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Digest is a hash of the request's method, path and body.
	Digest string `json:"digest"`
}

// NewServiceResponse returns the expected response of a plain service.
func NewServiceResponse(requestID, method, path string, body []byte) ServiceResponse {
	digest := shard.Hash(method + " " + path + "\n" + string(body))
	return ServiceResponse{RequestID: requestID, Method: method, Path: path, Digest: fmt.Sprintf("%016x", digest)}
}
