package once

import "time"

// Layout folds the stream that fixes the number of once streams: daemons that
// spread keys over different numbers of streams would not see each other's
// intents. The first Begin fixes the number. Another one is accepted only after
// a quiet time in which all keys of the old streams have expired, while daemons
// that serve keys renew the number far more often.
type Layout struct {
	limits Limits
	shards int
	at     time.Time
	next   uint64
	// joined is set while a stream is read whose beginning was trimmed.
	joined bool
}

// renewals is the number of times that the layout is renewed per MaxKeyAge.
const renewals = 4

// NewLayout returns the layout of an empty stream.
func NewLayout(l Limits) *Layout { return &Layout{limits: l} }

// Shards returns the number in force; 0 if there is none.
func (l *Layout) Shards() int { return l.shards }

// Next returns the offset of the next record to fold.
func (l *Layout) Next() uint64 { return l.next }

// At returns the log's time of the latest accepted record.
func (l *Layout) At() time.Time { return l.at }

// StartTrimmedAt begins in a stream whose records before offset were trimmed. Until
// Joined, each record replaces the number: the last ones are renewals by
// daemons that have read the beginning, while the oldest one may be a Begin
// that lost a race.
func (l *Layout) StartTrimmedAt(offset uint64) { l.next, l.joined = offset, true }

// CaughtUp ends what Join began, once the end of the stream was read.
func (l *Layout) CaughtUp() { l.joined = false }

// Apply takes in the record at p.
func (l *Layout) Apply(p Position, b Begin) {
	if p.Offset < l.next {
		return
	}
	l.next = p.Offset + 1
	quiet := p.At.Sub(l.at) > 2*l.limits.Horizon()
	if b.Shards < 1 || (l.shards != 0 && l.shards != b.Shards && !quiet && !l.joined) {
		return
	}
	l.shards = b.Shards
	if p.At.After(l.at) {
		l.at = p.At
	}
}

// RenewInterval is the time for which a daemon may rely on the layout it has read.
func (l *Layout) RenewInterval() time.Duration { return l.limits.MaxKeyAge / renewals }
