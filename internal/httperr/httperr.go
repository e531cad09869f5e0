// Package httperr maps error kinds to HTTP status codes. Both the server for
// callers and the server for operators use it; each encodes its own error body.
package httperr

import (
	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// StatusOf returns the status code for an error of kind k.
func StatusOf(k fault.Kind) int {
	switch k {
	case fault.BadInput:
		return fasthttp.StatusBadRequest
	case fault.Unauthorized:
		return fasthttp.StatusUnauthorized
	case fault.Forbidden:
		return fasthttp.StatusForbidden
	case fault.NotFound:
		return fasthttp.StatusNotFound
	case fault.Conflict:
		return fasthttp.StatusConflict
	case fault.TooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case fault.Overload:
		return fasthttp.StatusTooManyRequests
	case fault.Quarantined:
		return fasthttp.StatusUnprocessableEntity
	case fault.Timeout:
		return fasthttp.StatusGatewayTimeout
	case fault.Interrupted:
		return fasthttp.StatusBadGateway
	case fault.Unavailable, fault.Isolated, fault.LogDown, fault.ShuttingDown:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusInternalServerError
	}
}
