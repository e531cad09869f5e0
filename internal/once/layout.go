package once

import "time"

// Layout is the state of the layout stream, which fixes the number of streams over
// which keys are spread. Daemons that used different numbers would not see each
// other's intents. The first Begin sets the number. A different number is accepted
// only if there was no renewal for 2*Horizon, in which all keys of the old streams
// have expired; daemons that serve keys renew the number far more often.
type Layout struct {
	limits    Limits
	shards    int
	renewedAt time.Time
	next      uint64
	// catchingUp is set while reading a trimmed stream up to its end.
	catchingUp bool
}

// renewalsPerMaxKeyAge is the number of times that the layout is renewed per MaxKeyAge.
const renewalsPerMaxKeyAge = 4

// NewLayout returns the layout of an empty stream.
func NewLayout(l Limits) *Layout { return &Layout{limits: l} }

// Shards returns the current number of streams, or 0 if none is set.
func (l *Layout) Shards() int { return l.shards }

// Next returns the offset of the next record to apply.
func (l *Layout) Next() uint64 { return l.next }

// RenewedAt returns the latest log time of an accepted record.
func (l *Layout) RenewedAt() time.Time { return l.renewedAt }

// StartTrimmedAt starts reading at offset, the oldest record of a trimmed stream.
// Until CaughtUp is called, each record replaces the number: the oldest retained
// record may be a Begin that was rejected when it was written, while the last ones
// are renewals by daemons that have read the stream from its beginning.
func (l *Layout) StartTrimmedAt(offset uint64) { l.next, l.catchingUp = offset, true }

// CaughtUp must be called when the end of a stream has been read. It ends the
// special treatment of records after StartTrimmedAt.
func (l *Layout) CaughtUp() { l.catchingUp = false }

// Apply updates the layout with the record at p. Records already applied are
// ignored.
func (l *Layout) Apply(p Position, b Begin) {
	if p.Offset < l.next {
		return
	}
	l.next = p.Offset + 1
	renewalLapsed := p.At.Sub(l.renewedAt) > 2*l.limits.Horizon()
	if b.Shards < 1 || (l.shards != 0 && l.shards != b.Shards && !renewalLapsed && !l.catchingUp) {
		return
	}
	l.shards = b.Shards
	if p.At.After(l.renewedAt) {
		l.renewedAt = p.At
	}
}

// RenewInterval returns how long a daemon may rely on the layout that it has read,
// and how often it renews it.
func (l *Layout) RenewInterval() time.Duration { return l.limits.MaxKeyAge / renewalsPerMaxKeyAge }
