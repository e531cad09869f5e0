package mesh

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// maxQueuedBytes bounds the values of the records of a topic that wait to be pushed. Above
// it the older ones are dropped; peers ask for them or read them.
const maxQueuedBytes = 1 << 20

// pushQueue holds the records of a topic that wait to be pushed to all peers. It is safe
// for concurrent use.
type pushQueue struct {
	mu sync.Mutex
	// latest holds the newest records of each key, and next those that follow.
	latest, next *wire.RecordPush
	// since is when the oldest of them was added.
	since time.Time
	// wake receives a value when there is something to push.
	wake chan struct{}
}

func newPushQueue() *pushQueue { return &pushQueue{wake: make(chan struct{}, 1)} }

// put adds a push, and returns the number of records that are not going to be pushed
// because of it though no record of the push takes their place.
func (q *pushQueue) put(p *wire.RecordPush, now time.Time) (dropped int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.latest == nil && q.next == nil {
		q.since = now
	}
	if p.Latest {
		q.latest, q.next = p, nil
	} else {
		q.next, dropped = mergePushes(q.next, p)
	}
	select {
	case q.wake <- struct{}{}:
	default: // the loop is to be woken already
	}
	return dropped
}

// take removes and returns the next push and the time since which it, or a part of it, has
// waited. It returns nil if there is none.
func (q *pushQueue) take() (p *wire.RecordPush, since time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.latest != nil {
		p, q.latest = q.latest, nil
	} else {
		p, q.next = q.next, nil
	}
	return p, q.since
}

// bytes returns the size of the values that wait.
func (q *pushQueue) bytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return valueBytes(q.latest) + valueBytes(q.next)
}

func valueBytes(p *wire.RecordPush) (sum int) {
	if p == nil {
		return 0
	}
	for i := range p.Records {
		sum += len(p.Records[i].Value)
	}
	return sum
}

func pushEnd(p *wire.RecordPush) uint64 { return p.FirstOffset + uint64(len(p.Records)) }

// mergePushes returns the push that takes the place of one that waits and a later one, and
// the number of records in neither that are left out. It addresses changes that are read
// faster than the link carries them to all peers: a push that covers the waiting one
// replaces it, and one that follows it is appended.
func mergePushes(waiting, p *wire.RecordPush) (merged *wire.RecordPush, dropped int) {
	switch {
	case waiting == nil:
		return p, 0
	case p.Era != waiting.Era:
		if p.Era < waiting.Era {
			return waiting, len(p.Records)
		}
		return p, len(waiting.Records)
	case p.FirstOffset <= waiting.FirstOffset && pushEnd(p) >= pushEnd(waiting):
		return p, 0
	case pushEnd(p) <= pushEnd(waiting):
		return waiting, 0
	case p.FirstOffset > pushEnd(waiting), valueBytes(waiting)+valueBytes(p) > maxQueuedBytes:
		return p, len(waiting.Records)
	}
	fresh := p.Records[pushEnd(waiting)-p.FirstOffset:]
	all := append(append([]wire.KeyedValue(nil), waiting.Records...), fresh...)
	return &wire.RecordPush{Era: p.Era, Topic: p.Topic, FirstOffset: waiting.FirstOffset, Records: all}, 0
}
