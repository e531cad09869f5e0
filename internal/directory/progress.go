package directory

import (
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

// knownEnd is an end of a topic beyond the cursor.
type knownEnd struct {
	end uint64
	// heardAt is the boot time at which this daemon learned of it.
	heardAt time.Duration
}

// learnEnd records an end of the topic that this daemon has learned of. The caller holds
// the lock.
func (t *topicPosition) learnEnd(end uint64, now time.Duration) {
	n := len(t.ends)
	if !t.cursor.Known || end <= t.cursor.Next || n > 0 && end <= t.ends[n-1].end {
		return
	}
	if n == maxKnownEnds {
		t.ends = t.ends[:n-1]
	}
	t.ends = append(t.ends, knownEnd{end, now})
}

// forgetReachedEnds removes the ends that the cursor has reached. The caller holds the
// lock.
func (t *topicPosition) forgetReachedEnds() {
	reached := 0
	for reached < len(t.ends) && t.ends[reached].end <= t.cursor.Next {
		reached++
	}
	t.ends = t.ends[reached:]
}

// behind returns for how long this daemon has known of records of the topic that it has
// not applied. The caller holds the lock.
func (t *topicPosition) behind(now time.Duration) time.Duration {
	if len(t.ends) == 0 {
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
