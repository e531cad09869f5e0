package directory

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
)

const (
	// maxKnownEnds bounds the ends of a topic that are remembered until their records are
	// applied. Above it the newest one replaces its predecessor.
	maxKnownEnds = 64
	// slowApply is the time from the answer of a read until its records are applied above
	// which it is logged.
	slowApply = 250 * time.Millisecond
	// lateFraction of ConfigBound is the time for which a daemon has known of records that
	// it has not applied from which it is logged.
	lateFraction = 0.5
)

// knownEnd is an end of a topic that the store or a peer has stated.
type knownEnd struct {
	end uint64
	// at is the latest boot time at which the topic is known to have had no record at end
	// or after it. heardAt is when this daemon first learned of the end.
	at, heardAt time.Duration
}

// learnEnd records that the topic had no record at end or after it at boot time at. Once
// the cursor has reached the end, that confirms it. The caller holds the lock.
func (t *topicPosition) learnEnd(end uint64, at, now time.Duration) {
	i, known := slices.BinarySearchFunc(t.ends, end, func(e knownEnd, end uint64) int { return cmp.Compare(e.end, end) })
	switch {
	case known:
		t.ends[i].at = max(t.ends[i].at, at)
	case len(t.ends) < maxKnownEnds:
		t.ends = slices.Insert(t.ends, i, knownEnd{end, at, now})
	case i == len(t.ends):
		t.ends[i-1] = knownEnd{end, at, now}
	}
	t.confirmReachedEnds()
}

// confirmReachedEnds removes the ends that a known cursor has reached, which confirm it:
// all records that existed at their times are applied. The caller holds the lock.
func (t *topicPosition) confirmReachedEnds() {
	if !t.cursor.Known {
		return
	}
	reached := 0
	for reached < len(t.ends) && t.ends[reached].end <= t.cursor.Next {
		t.cursor.ConfirmedAt = max(t.cursor.ConfirmedAt, t.ends[reached].at)
		reached++
	}
	t.ends = t.ends[reached:]
}

// behind returns for how long this daemon has known of records of the topic that it has
// not applied. The caller holds the lock.
func (t *topicPosition) behind(now time.Duration) time.Duration {
	if !t.cursor.Known || len(t.ends) == 0 {
		return 0
	}
	return max(now-t.ends[0].heardAt, 0)
}

// Behind returns for how long this daemon has known of records of a topic that it has not
// applied, 0 if there are none.
func (d *Directory) Behind(t Topic) (behind time.Duration) {
	pos := d.positions[t]
	pos.withLock(func() { behind = pos.behind(boottime.Now()) })
	return behind
}

// logLateTopics logs once for each topic that this daemon is late in applying records that
// it knows to exist, and once that it has applied them.
func (d *Directory) logLateTopics(now time.Duration) {
	for t, pos := range d.positions {
		pos.withLock(func() {
			behind := pos.behind(now)
			late := behind > time.Duration(lateFraction*float64(d.opts.ConfigBound))
			if late == pos.reportedLate {
				return
			}
			pos.reportedLate = late
			if !late {
				klog.InfoS("known records applied", "topic", d.opts.Topics.name(Topic(t)), "next", pos.cursor.Next)
				return
			}
			klog.InfoS("records known to exist are late", "topic", d.opts.Topics.name(Topic(t)), "next", pos.cursor.Next,
				"known_end", pos.ends[len(pos.ends)-1].end, "behind_ms", behind.Milliseconds())
		})
	}
}

// recordApplied reports the time from the answer of a read until its records were applied.
func (d *Directory) recordApplied(t Topic, records int, took time.Duration) {
	d.opts.OnApplied(t, took)
	if took >= slowApply {
		klog.InfoS("records applied late", "topic", d.opts.Topics.name(t), "records", records, "ms_after_answer", took.Milliseconds())
	}
}
