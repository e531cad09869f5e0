package drive

import (
	"github.com/valyala/fasthttp"
)

// controlClient sends requests that are not part of the plan's load: events, samples
// and readiness probes.
var controlClient = &fasthttp.Client{
	MaxIdemponentCallAttempts: 1,
	RetryIfErr:                neverRetry,
	ReadTimeout:               controlTimeout,
	WriteTimeout:              controlTimeout,
	NoDefaultUserAgentHeader:  true,
}

// neverRetry disables fasthttp's own retries: a request that was sent again could run
// twice.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
