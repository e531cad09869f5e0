package ingress

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/relay"
)

// writer writes one response to the client. It implements relay.Writer.
type writer struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// closing is set if the connection is to be closed after this response.
	closing bool
	// streaming is set if each write is flushed.
	streaming bool
	aborted   bool
}

// WriteHeader writes the status and headers. A negative length starts a streamed
// body.
func (wr *writer) WriteHeader(status int, header map[string][]string, length int) error {
	h := wr.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Prevents net/http from sniffing a type that the engine did not set.
		h["Content-Type"] = nil
	}
	wr.setConnectionClose()
	wr.streaming = length < 0
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	wr.w.WriteHeader(status)
	return nil
}

// setConnectionClose sets the Connection header if closing is set.
func (wr *writer) setConnectionClose() {
	if wr.closing {
		wr.w.Header().Set("Connection", "close")
	}
}

// setReadDeadline sets the deadline for reading from the client.
func (wr *writer) setReadDeadline(t time.Time) {
	// It fails only if the connection has ended, which the next read reports.
	_ = wr.rc.SetReadDeadline(t)
}

// Write writes bytes of the body.
func (wr *writer) Write(p []byte) (int, error) {
	n, err := wr.w.Write(p)
	if err == nil && wr.streaming {
		err = wr.rc.Flush()
	}
	return n, err
}

// Abort makes the server close the connection before the end of the body.
func (wr *writer) Abort() { wr.aborted = true }

// statusByCause maps causes of refusals to statuses. 503 states that the request
// has not run; 502 and 504 leave that open. 422 tells the client not to send the
// request again.
var statusByCause = map[relay.Cause]int{
	relay.NotReady:    http.StatusServiceUnavailable,
	relay.NoRoute:     http.StatusNotFound,
	relay.UnknownKey:  http.StatusUnauthorized,
	relay.NoEngine:    http.StatusServiceUnavailable,
	relay.Expired:     http.StatusServiceUnavailable,
	relay.Failed:      http.StatusBadGateway,
	relay.TimedOut:    http.StatusGatewayTimeout,
	relay.Quarantined: http.StatusUnprocessableEntity,
}

// Refuse writes a refusal as a text response.
func (wr *writer) Refuse(r relay.Refusal) {
	if r.RetryAfter > 0 {
		wr.w.Header().Set("Retry-After", formatSeconds(r.RetryAfter))
	}
	wr.writeText(statusByCause[r.Cause], r.Cause.String()+": "+r.Reason)
}

// writeText writes a short text response.
func (wr *writer) writeText(status int, text string) {
	wr.setConnectionClose()
	wr.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	wr.w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	wr.w.WriteHeader(status)
	// The write fails only if the client has disconnected; the relay has logged the
	// refusal.
	_, _ = fmt.Fprintln(wr.w, text)
}

// formatSeconds formats a duration as seconds with three decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
