package ingress

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/relay"
)

// writer takes one answer to the caller. It implements relay.Writer.
type writer struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// closing ends the connection with this answer.
	closing bool
	// streaming answers are flushed after each write.
	streaming bool
	aborted   bool
}

// WriteHeader sends the head.
func (o *writer) WriteHeader(status int, header map[string][]string, length int) error {
	h := o.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing a type that the engine did not name.
		h["Content-Type"] = nil
	}
	o.end()
	o.streaming = length < 0
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	o.w.WriteHeader(status)
	return nil
}

func (o *writer) end() {
	if o.closing {
		o.w.Header().Set("Connection", "close")
	}
}

// Write sends bytes of the body.
func (o *writer) Write(p []byte) (int, error) {
	n, err := o.w.Write(p)
	if err == nil && o.streaming {
		err = o.rc.Flush()
	}
	return n, err
}

// Abort makes the server close the connection before the end of the body.
func (o *writer) Abort() { o.aborted = true }

// statuses maps the causes of refusals. 503 promises that the request has not
// run; 502 and 504 promise nothing.
var statuses = map[relay.Cause]int{
	relay.NotReady:   http.StatusServiceUnavailable,
	relay.NoRoute:    http.StatusNotFound,
	relay.UnknownKey: http.StatusUnauthorized,
	relay.NoEngine:   http.StatusServiceUnavailable,
	relay.Expired:    http.StatusServiceUnavailable,
	relay.Failed:     http.StatusBadGateway,
	relay.TimedOut:   http.StatusGatewayTimeout,
}

// Refuse sends an answer of the system's own.
func (o *writer) Refuse(r relay.Refusal) {
	if r.RetryAfter > 0 {
		o.w.Header().Set("Retry-After", formatSeconds(r.RetryAfter))
	}
	o.plain(statuses[r.Cause], r.Cause.String()+": "+r.Reason)
}

// plain sends a short answer in text.
func (o *writer) plain(status int, text string) {
	o.end()
	o.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	o.w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	o.w.WriteHeader(status)
	// An error here means that the caller has left; the relay has logged the refusal.
	_, _ = fmt.Fprintln(o.w, text)
}

// formatSeconds formats a duration as seconds with a fraction.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
