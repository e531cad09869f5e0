package drive

import (
	"github.com/valyala/fasthttp"
)

// controlClient sends requests other than the plan's own.
var controlClient = &fasthttp.Client{
	MaxIdemponentCallAttempts: 1,
	RetryIfErr:                neverRetry,
	ReadTimeout:               controlTimeout,
	WriteTimeout:              controlTimeout,
	NoDefaultUserAgentHeader:  true,
}

// neverRetry keeps the library from repeating a request.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
