// Package once folds one at-most-once stream: intents to run keyed requests,
// their results, and their withdrawals. The fold is a pure function of the
// records, their offsets and the log's times, so all readers agree on which
// attempt is the first for a key. Only that attempt may be sent to a target; no
// clock of a daemon, no lease and no pause can make a second one, because a
// key changes hands only through its holder's own Abandon.
//
// Times. A caller sends the time at which it first issued a request with each
// attempt. An intent counts only if the log's time of its record lies between
// IssuedAt - MaxSkew and IssuedAt + MaxKeyAge; both times are in the record
// itself, so the answer is the same for every reader, wherever it began. A key
// is forgotten once no later record can be accepted for it any more, and a
// reader that begins Horizon before the end of the stream misses nothing that
// can still be asked for. Horizon must be well within the log's retention. The
// log's clock may step back by up to clockStep.
//
// The package does no I/O and knows no encoding.
package once

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Intent says that an attempt wants to be the one that runs a key's request.
type Intent struct {
	Key       string
	Workspace string
	// Route is for people only: the operators may have changed the routes
	// between two attempts.
	Route   string
	Attempt string
	// Author and Boot name the daemon process that would send the request.
	Author string
	Boot   string
	// IssuedAt is when the caller first issued the request.
	IssuedAt    time.Time
	Fingerprint Fingerprint
}

// Done records the result of the attempt that holds a key.
type Done struct {
	Attempt string
	Result  Result
}

// Abandon withdraws an attempt. Only its author may write it, and only if it
// never sent the request and never will, or the target said that it did not run it.
type Abandon struct {
	Attempt  string
	IssuedAt time.Time
}

// Begin marks the stream and says how many there are.
type Begin struct {
	Shards int
}

// Record is one entry of a stream. Exactly one of the pointers is set.
type Record struct {
	Intent  *Intent
	Done    *Done
	Abandon *Abandon
	Begin   *Begin
}

// Result is what is known of a finished attempt.
type Result struct {
	// Outcome is Ran, or Unknown if the exchange with the target broke.
	Outcome     fault.Outcome
	Status      int
	ContentType string
	Body        []byte
	// Omitted means that the body was too large to be kept; Digest is its hash.
	Omitted bool
	Digest  Fingerprint
	Replica string
}

// MaxResultBytes bounds the body of a recorded result.
const MaxResultBytes = 16 << 10

// Bounded returns the result as it is recorded.
func (r Result) Bounded() Result {
	if len(r.Body) <= MaxResultBytes {
		return r
	}
	return r.WithoutBody()
}

// WithoutBody returns the result with its body replaced by a hash.
func (r Result) WithoutBody() Result {
	if r.Omitted {
		return r
	}
	r.Digest = FingerprintOf(r.Body)
	r.Omitted, r.Body = true, nil
	return r
}

// Fingerprint is a hash that tells requests or bodies apart.
type Fingerprint [16]byte

// FingerprintOf hashes parts, each with its length.
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

// ShardOf returns the stream of a workspace's key among n.
func ShardOf(workspace, key string, n int) int {
	f := keyOf(workspace, key)
	return int(binary.BigEndian.Uint64(f[:8]) % uint64(n))
}

func keyOf(workspace, key string) Fingerprint {
	return FingerprintOf([]byte(workspace), []byte(key))
}

// Limits on keys. Two daemons must have the same.
type Limits struct {
	// MaxKeyAge is the age up to which a key is accepted.
	MaxKeyAge time.Duration
	// MaxSkew is how far a caller's clock may be ahead of the log's.
	MaxSkew time.Duration
}

const (
	// DefaultMaxKeyAge and DefaultMaxSkew are the limits unless set otherwise.
	DefaultMaxKeyAge = time.Hour
	DefaultMaxSkew   = 30 * time.Second
	// clockStep is how far the log's clock may step back.
	clockStep = 5 * time.Minute
	// MaxKeyBytes and MaxWorkspaceBytes bound what a caller controls.
	MaxKeyBytes       = 255
	MaxWorkspaceBytes = 255
)

// Horizon is the age beyond which no record matters to any decision.
func (l Limits) Horizon() time.Duration { return l.MaxKeyAge + l.MaxSkew + 2*clockStep }

// Check returns the mistakes in the limits against the log's retention.
func (l Limits) Check(retention time.Duration) error {
	if l.MaxKeyAge <= 0 || l.MaxSkew <= 0 {
		return fault.Invalid("once.max_key_age", "use a positive time", "%s", l.MaxKeyAge)
	}
	if l.Horizon() >= retention {
		return fault.Invalid("once.max_key_age", "shorten it, or lengthen the log's retention",
			"keys of %s need records of %s, but the log keeps them for %s", l.MaxKeyAge, l.Horizon(), retention)
	}
	return nil
}

// CheckIntent refuses an intent that the fold would refuse at now, before it
// is written. The outcome of too old a key is Unknown: an earlier attempt with
// it may have run and be forgotten.
func (l Limits) CheckIntent(in *Intent, now time.Time) error {
	switch {
	case in.Key == "" || len(in.Key) > MaxKeyBytes:
		return fault.Invalid("Idempotency-Key", "send a key of 1 to 255 bytes", "key has %d bytes", len(in.Key))
	case len(in.Workspace) > MaxWorkspaceBytes:
		return fault.Invalid("workspace", "use at most 255 bytes", "workspace has %d bytes", len(in.Workspace))
	case l.late(in.IssuedAt, now):
		return errExpired(l.MaxKeyAge)
	case l.early(in.IssuedAt, now):
		return errEarly(l.MaxSkew)
	default:
		return nil
	}
}

func (l Limits) late(issued, at time.Time) bool  { return at.After(issued.Add(l.MaxKeyAge)) }
func (l Limits) early(issued, at time.Time) bool { return issued.After(at.Add(l.MaxSkew)) }
