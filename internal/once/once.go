// Package once is the state machine of at-most-once execution. A stream of the log
// contains the intents to run requests with an idempotency key, their results, and
// withdrawals of attempts. The state is a deterministic function of the records,
// their offsets and their log times, so all readers agree on which attempt acquired
// a key. Only that attempt may be sent to a target. A key passes to another attempt
// only after an Abandon by its holder, so a daemon's clock, an expired lease or a
// paused process can't lead to a second execution.
//
// Expiry: a caller sends, with every attempt, the time at which it first issued the
// request. An intent is accepted only if the log time of its record is between
// IssuedAt - MaxSkew and IssuedAt + MaxKeyAge. Both times are part of the record, so
// every reader reaches the same result, wherever in the stream it started. A key is
// dropped once no later record for it can be accepted, and a reader that starts
// Horizon before the end of the stream misses no record that can still matter.
// Horizon must be well within the log's retention. The log's clock may step back by
// up to maxClockStepBack.
//
// The package does no I/O and is independent of the encoding of records.
package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Intent is the claim of an attempt to a key. The first accepted intent acquires
// the key.
type Intent struct {
	Key       string
	Workspace string
	// Route is informational and not compared, since operators may change the
	// routes between two attempts.
	Route   string
	Attempt string
	// Author and BootID identify the daemon process that would send the request.
	Author string
	BootID string `msgpack:"Boot"`
	// IssuedAt is when the caller first issued the request.
	IssuedAt    time.Time
	Fingerprint Fingerprint
}

// Done records the result of the attempt that holds a key.
type Done struct {
	Attempt string
	Result  Result
}

// Abandon withdraws an attempt. Only the attempt's author may write it, and only if
// it has not sent the request and never will, or if the target reported that it did
// not run the request.
type Abandon struct {
	Attempt  string
	IssuedAt time.Time
}

// Begin is written at the start of a stream, and to probe a log that was down. In
// the layout stream it sets or renews the number of streams.
type Begin struct {
	Shards int
}

// Record is a record of a stream. Exactly one of the fields is set.
type Record struct {
	Intent  *Intent
	Done    *Done
	Abandon *Abandon
	Begin   *Begin
}

// Result is the recorded result of an attempt.
type Result struct {
	// Outcome is Ran, or Unknown if the connection to the target failed during the
	// request.
	Outcome     fault.Outcome
	Status      int
	ContentType string
	Body        []byte
	// Omitted means that the body was not stored because of its size; Digest is its
	// hash.
	Omitted bool
	Digest  Fingerprint
	Replica string
}

// MaxResultBytes is the maximum size of the body of a recorded result.
const MaxResultBytes = 16 << 10

// Bounded returns r, without its body if that exceeds MaxResultBytes.
func (r Result) Bounded() Result {
	if len(r.Body) <= MaxResultBytes {
		return r
	}
	return r.WithoutBody()
}

// WithoutBody returns r with its body replaced by the body's hash.
func (r Result) WithoutBody() Result {
	if r.Omitted {
		return r
	}
	r.Digest = FingerprintOf(r.Body)
	r.Omitted, r.Body = true, nil
	return r
}

// Fingerprint is a hash that identifies a request, a body, a key or an attempt.
type Fingerprint [16]byte

// FingerprintOf returns the hash of parts. Each part is preceded by its length, so
// that different splits of the same bytes differ.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// ShardOf returns which of n streams a workspace's key belongs to.
func ShardOf(workspace, key string, n int) int {
	f := hashKey(workspace, key)
	return int(binary.BigEndian.Uint64(f[:8]) % uint64(n))
}

func hashKey(workspace, key string) Fingerprint {
	return FingerprintOf([]byte(workspace), []byte(key))
}

// Limits are the time limits on keys. All daemons must use the same limits.
type Limits struct {
	// MaxKeyAge is the age, by IssuedAt and the log time, up to which a key is
	// accepted.
	MaxKeyAge time.Duration
	// MaxSkew is how far a caller's clock may be ahead of the log's.
	MaxSkew time.Duration
}

const (
	// DefaultMaxKeyAge and DefaultMaxSkew are the default limits.
	DefaultMaxKeyAge = time.Hour
	DefaultMaxSkew   = 30 * time.Second
	// maxClockStepBack is the largest step back of the log's clock that is
	// tolerated.
	maxClockStepBack = 5 * time.Minute
	// MaxKeyBytes and MaxWorkspaceBytes bound the strings that callers choose.
	MaxKeyBytes       = 255
	MaxWorkspaceBytes = 255
)

// Horizon returns the age beyond which a record can't affect any decision.
func (l Limits) Horizon() time.Duration { return l.MaxKeyAge + l.MaxSkew + 2*maxClockStepBack }

// Check returns an error if the limits are invalid or exceed the log's retention.
func (l Limits) Check(retention time.Duration) error {
	if l.MaxKeyAge <= 0 || l.MaxSkew <= 0 {
		return fault.Invalid("once.max_key_age", "use a positive duration", "%s is not positive", l.MaxKeyAge)
	}
	if l.Horizon() >= retention {
		return fault.Invalid("once.max_key_age", "shorten it, or lengthen the log's retention",
			"a maximum key age of %s requires records of the last %s, but the log retains %s", l.MaxKeyAge, l.Horizon(), retention)
	}
	return nil
}

// CheckIntent returns an error for an intent that would be rejected if it were
// appended at time now. The outcome for an expired key is Unknown, since an earlier
// attempt with the key may have run and have been dropped from the state.
func (l Limits) CheckIntent(in *Intent, now time.Time) error {
	switch {
	case in.Key == "" || len(in.Key) > MaxKeyBytes:
		return fault.Invalid("Idempotency-Key", "send a key of 1 to 255 bytes", "key has %d bytes", len(in.Key))
	case len(in.Workspace) > MaxWorkspaceBytes:
		return fault.Invalid("workspace", "use at most 255 bytes", "workspace has %d bytes", len(in.Workspace))
	case l.isExpired(in.IssuedAt, now):
		return errExpired(l.MaxKeyAge)
	case l.isInFuture(in.IssuedAt, now):
		return errIssuedInFuture(l.MaxSkew)
	default:
		return nil
	}
}

func (l Limits) isExpired(issued, at time.Time) bool  { return at.After(issued.Add(l.MaxKeyAge)) }
func (l Limits) isInFuture(issued, at time.Time) bool { return issued.After(at.Add(l.MaxSkew)) }
