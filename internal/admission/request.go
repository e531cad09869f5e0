// Package admission decides whether a request is sent to an engine under load, and
// when the client of a refused one should come back. The decisions are pure functions in
// decide.go: their input is a request, the choice of package balance and a Snapshot,
// their output a verdict with its reason, or a time. Ledger holds the state that
// snapshots are taken from, in shards. The package does no I/O and reads no clock.
package admission

import "time"

// Standing is how a request is judged.
type Standing uint8

// The standings.
const (
	// New requests can meet their target latency.
	New Standing = iota
	// Late requests can't, since their clients have waited after a refusal. They are
	// judged by their deadline.
	Late
)

var standingNames = [...]string{"new", "late"}

// String returns the name of the standing in logs and metrics.
func (s Standing) String() string { return standingNames[s] }

// Request is what a decision depends on of a request.
type Request struct {
	// Urgency is 0 for the most urgent requests.
	Urgency int
	// Standing is the result of Classify.
	Standing Standing
	// Target is the target latency, Remaining the time left to the client.
	Target    time.Duration
	Remaining time.Duration
	// Patience is how long the client waits for the first event before it leaves; 0 if it
	// waits until its deadline.
	Patience time.Duration
	// Share is the result of DrawShare.
	Share Share
	// Sent is set if the request was sent to an engine before.
	Sent bool
}
