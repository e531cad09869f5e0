package directory

import "time"

// storeAnswer is an answer of the store to a read of a topic. Times are boot times.
type storeAnswer struct {
	// from is the offset that was asked for, and records the number of records in the
	// answer, which have the offsets from there on. end is the end of the topic that the
	// answer states.
	from    uint64
	records int
	end     uint64
	// full is set if the records are the newest of each key, in one or more pages, and end
	// is that of the first page.
	full bool
	// begun is when the read, or that of the first page, was sent, and wait the time for
	// which the store was asked to wait for a record. answered is when the answer came.
	begun, answered, wait time.Duration
}

// provenEnd returns an end of the topic and a boot time at which the topic had no record at
// it or after it, as the answer proves. It is the only place that dates the end of a topic
// by a read: a daemon that has applied the records before the end was current at that time.
//
// The end is stated when the store answers, so at the time of sending there were no more.
// That holds for an answer with a part of the records, whose end lies after them, and for
// the newest records of each key: later pages may hold later records, and none that was
// written before the first page was read is missed. An empty answer after the whole long
// poll proves that there was no record all the while.
func (a *storeAnswer) provenEnd() (end uint64, at time.Duration) {
	if !a.full && a.records == 0 && a.end == a.from && a.answered-a.begun >= a.wait {
		return a.end, a.begun + a.wait
	}
	return a.end, a.begun
}

// isStale reports whether the topic ends before the offset that was asked for, where records
// have been read. In one era the store loses none, so the answer is of an earlier time.
func (a *storeAnswer) isStale() bool { return !a.full && a.end < a.from }

// topicRead is the result of a read of a topic.
type topicRead struct {
	records []Record
	// next is the position of the next read.
	next Position
	// full is set if the records are the newest of each key, and keys without a record do
	// not exist.
	full bool
	// end is an end that the topic had at boot time at. It lies after next if the answer
	// held a part of the records.
	end uint64
	at  time.Duration
}

// isPartial reports whether the topic had more records than the answer.
func (r *topicRead) isPartial() bool { return r.end > r.next.Offset }
