package directory

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/storepace"
)

// eraLog is a Log that can be restored from an older copy. Its reads do not wait.
type eraLog struct {
	mu      sync.Mutex
	era     uint64
	records map[string][]Record
	// reads counts the reads of the newest records.
	reads int
	// straddle, if set, is called once between the start of a read and its answer.
	straddle func()
}

func newEraLog() *eraLog { return &eraLog{era: 1, records: map[string][]Record{}} }

func (l *eraLog) put(topic, key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[topic] = append(l.records[topic], rec(uint64(len(l.records[topic])), key, value))
}

// restore drops the last n records of each topic.
func (l *eraLog) restore(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	for topic, records := range l.records {
		l.records[topic] = slices.Clone(records[:max(0, len(records)-n)])
	}
}

func (l *eraLog) Read(topic string, from uint64, _ time.Duration) ([]Record, Position, error) {
	if f := l.straddle; f != nil {
		l.straddle = nil
		f()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	end := uint64(len(l.records[topic]))
	if from > end {
		return nil, Position{}, &TruncatedError{Era: l.era}
	}
	return slices.Clone(l.records[topic][from:]), Position{l.era, end}, nil
}

func (l *eraLog) ReadLatest(topic string) ([]Record, Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	newest := map[string]Record{}
	for _, r := range l.records[topic] {
		newest[r.Key] = r
	}
	var out []Record
	for _, r := range newest {
		if len(r.Value) > 0 {
			out = append(out, r)
		}
	}
	return out, Position{l.era, uint64(len(l.records[topic]))}, nil
}

func newEraDirectory(l *eraLog) *Directory {
	return New(Options{Log: l, Decoder: textDecoder{}, Topics: Topics{"operator", "engines", "daemons"}, ConfigBound: 2 * time.Second})
}

// step reads all topics once, as followTopic does, and reports whether a read failed.
func step(d *Directory) (failed bool) {
	for t := range topicCount {
		r, err := d.readNext(t, topicTimings[t].longPoll, false)
		if err != nil {
			failed = true
			continue
		}
		d.positions[t].commitRead(r, func(fresh []Record) { d.apply(t, r.next.Era, fresh, r.full) })
	}
	return failed
}

// endGrace lets the grace time of a restore pass.
func endGrace(d *Directory) {
	for _, pos := range d.positions {
		pos.withLock(func() { pos.graceUntil = 0 })
	}
	d.removalsDeferredUntil = 0
	d.applyHeld(boottime.Now())
	d.removeDue(boottime.Now())
}

// TestNoViewRegressesAcrossRestores plays restores of different depths, once and twice,
// with offsets that are assigned anew before the next read (so that no read gets 410) or
// not, and with a daemon that does not read meanwhile. What the restored store lacks must
// stay in force until it is written again, and the records of the new era must be applied.
func TestNoViewRegressesAcrossRestores(t *testing.T) {
	for _, c := range []struct {
		name     string
		lost     []int // by restore, records of each topic
		reassign bool
		asleep   bool
	}{
		{"one record back", []int{1}, false, false},
		{"all records back", []int{9}, false, false},
		{"offsets assigned anew before the next read", []int{3}, true, false},
		{"twice", []int{2, 2}, false, false},
		{"twice, with offsets assigned anew", []int{1, 3}, true, false},
		{"suspended throughout", []int{2, 1}, false, true},
		{"suspended throughout, with offsets assigned anew", []int{2, 3}, true, true},
	} {
		l := newEraLog()
		d := newEraDirectory(l)
		l.put("operator", "zone/x", "out")
		l.put("engines", "a", "engine 1 1")
		l.put("daemons", "front-1", "10.0.0.1:1")
		must.False(t, step(d))
		l.put("operator", "config", "config 5")
		l.put("operator", "config", "config 6")
		l.put("engines", "b", "engine 1 3")
		l.put("engines", "b", "")
		l.put("engines", "a", "engine 1 7")
		l.put("engines", "c", "engine 2 1")
		l.put("daemons", "front-2", "10.0.0.2:1")
		must.False(t, step(d))
		must.Eq(t, "ac", knownEngines(d))
		check := func(when string) {
			what := must.Sprint(c.name, ", ", when)
			must.Eq(t, 6, d.Config().Version, what)
			must.True(t, d.ZoneOutOfService("x"), what)
			must.Eq(t, "ac", knownEngines(d), what)
			e, _ := d.Engine("a")
			must.Eq(t, 7, e.HeartbeatSeq, what)
			must.MapLen(t, 2, d.Daemons(), what)
			must.Less(t, time.Minute, d.ConfigAge(), what)
		}
		for i, n := range c.lost {
			l.restore(n)
			if c.reassign {
				for range 12 {
					l.put("engines", "b", "")
					l.put("operator", "zone/y", "")
					l.put("daemons", "front-3", "")
				}
			}
			if c.asleep {
				continue
			}
			must.True(t, step(d), must.Sprint(c.name, ": a read by offset was applied across the restore"))
			check(fmt.Sprint("restore ", i, " noticed"))
			must.False(t, step(d))
			check(fmt.Sprint("restore ", i, " read"))
		}
		if c.asleep {
			step(d)
			check("awake")
			step(d)
			check("caught up")
		}
		// Its writers write the state again, and change it.
		l.put("operator", "config", "config 7")
		l.put("operator", "zone/x", "out")
		l.put("engines", "a", "engine 1 8")
		l.put("engines", "c", "engine 2 2")
		l.put("daemons", "front-2", "10.0.0.9:1")
		must.False(t, step(d), must.Sprint(c.name))
		endGrace(d)
		must.Eq(t, 7, d.Config().Version, must.Sprint(c.name))
		must.True(t, d.ZoneOutOfService("x"), must.Sprint(c.name))
		must.Eq(t, "ac", knownEngines(d), must.Sprint(c.name))
		must.Eq(t, "10.0.0.9:1", d.Daemons()["front-2"], must.Sprint(c.name))
		must.Eq(t, uint64(1+len(c.lost)), d.Era(), must.Sprint(c.name))
	}
}

// TestReadAcrossARestoreIsDiscarded lets the store be restored, and its offsets be assigned
// anew, while a read by offset is under way.
func TestReadAcrossARestoreIsDiscarded(t *testing.T) {
	l := newEraLog()
	d := newEraDirectory(l)
	l.put("engines", "a", "engine 1 1")
	l.put("engines", "b", "engine 1 1")
	step(d)
	l.straddle = func() {
		l.restore(1)
		l.put("engines", "a", "engine 3 1")
		l.put("engines", "c", "engine 1 1")
	}
	_, err := d.readNext(EnginesTopic, topicTimings[EnginesTopic].longPoll, false)
	must.ErrorIs(t, err, errRestored)
	must.Eq(t, "ab", knownEngines(d))
	step(d)
	must.Eq(t, "abc", knownEngines(d))
	e, _ := d.Engine("a")
	must.Eq(t, 3, e.StartUnixMS, must.Sprint("the record at the position that was read already"))
}

// TestWhatIsNotWrittenAgainGoes checks that the grace time ends: an engine, a zone and an
// address of the older copy count as they are in the store after it.
func TestWhatIsNotWrittenAgainGoes(t *testing.T) {
	l := newEraLog()
	d := newEraDirectory(l)
	l.put("daemons", "front-1", "10.0.0.1:1")
	l.put("engines", "a", "engine 1 1")
	l.put("operator", "zone/y", "out")
	step(d)
	l.put("engines", "b", "engine 1 1")
	l.put("operator", "zone/x", "out")
	l.put("operator", "zone/y", "")
	l.put("daemons", "front-1", "10.0.0.2:1")
	step(d)
	l.restore(1)
	step(d)
	step(d)
	must.Eq(t, "ab", knownEngines(d))
	must.False(t, d.ZoneOutOfService("y"), must.Sprint("the older copy has the zone out of service"))
	must.Eq(t, "10.0.0.2:1", d.Daemons()["front-1"])
	addr, _ := d.RecordedAddr("front-1")
	must.Eq(t, "10.0.0.1:1", addr, must.Sprint("the daemon must learn that its address is to be written again"))
	endGrace(d)
	must.Eq(t, "a", knownEngines(d))
	must.True(t, d.ZoneOutOfService("y"))
	must.Eq(t, "10.0.0.1:1", d.Daemons()["front-1"])
}

// TestSupersedes lists which announcements are applied. An equal one of a removed engine,
// or one that says again that a draining engine is ready, may stand in an older copy.
func TestSupersedes(t *testing.T) {
	was := announcementVersion{startMS: 5, heartbeat: 7, era: 1}
	same := announcementContext{era: 1, present: true}
	later := announcementContext{era: 2, present: true}
	laterFull := announcementContext{era: 2, present: true, full: true}
	laterGone := announcementContext{era: 2}
	for _, c := range []struct {
		name             string
		start, heartbeat int64
		draining         bool
		in               announcementContext
		want             bool
	}{
		{"repeated in the same era", 5, 7, false, same, true},
		{"removed and repeated in the same era", 5, 7, false, announcementContext{era: 1}, true},
		{"older heartbeat", 5, 6, false, same, false},
		{"older heartbeat in a later era", 5, 6, false, later, false},
		{"older start with a higher heartbeat in a later era", 4, 9, false, laterFull, false},
		{"repeated in the copy", 5, 7, false, laterFull, false},
		{"repeated in the copy, draining", 5, 7, true, laterFull, true},
		{"repeated after the copy was read", 5, 7, false, later, true},
		{"removed and repeated in the copy", 5, 7, false, announcementContext{era: 2, full: true}, false},
		{"removed and repeated after the copy was read", 5, 7, true, laterGone, false},
		{"removed, newer heartbeat", 5, 8, false, laterGone, true},
		{"removed, newer start", 6, 1, false, laterGone, true},
	} {
		e := &catalog.Engine{StartUnixMS: c.start, HeartbeatSeq: c.heartbeat, Draining: c.draining}
		must.Eq(t, c.want, supersedes(e, was, c.in), must.Sprint(c.name))
	}
}

// TestDaemonsThatDisagreeOnTheEra gives a daemon reports and pushes of other eras. Those of
// an earlier one must have no effect, even at its offset; those of a later one only make
// its position unknown, and the newest records of that era give it a new one.
func TestDaemonsThatDisagreeOnTheEra(t *testing.T) {
	var restored []uint64
	d := New(Options{Decoder: textDecoder{}, ConfigBound: 2 * time.Second, OnRestore: func(era uint64) { restored = append(restored, era) }})
	d.ObserveEra(3)
	must.Len(t, 0, restored, must.Sprint("nothing was read in an earlier era"))
	old := boottime.Now() - time.Minute
	for topic := range topicCount {
		d.positions[topic].commitRead(wholeRead(nil, Position{3, 5}, true, old), func([]Record) {})
	}
	now := boottime.Now()
	d.ConfirmEnd(OperatorTopic, Position{2, 5}, now)
	d.ConfirmEnd(OperatorTopic, Position{2, 9}, now)
	d.ApplyPushed(EnginesTopic, Position{2, 5}, []Record{rec(5, "a", "engine 1 1")})
	d.ApplyLatest(EnginesTopic, Position{2, 9}, []Record{rec(5, "a", "engine 1 1")})
	must.Greater(t, time.Second, d.ConfigAge())
	must.False(t, d.positions[OperatorTopic].hasUnread())
	must.Eq(t, "", knownEngines(d))

	d.ApplyPushed(EnginesTopic, Position{4, 5}, []Record{rec(5, "a", "engine 1 1")})
	must.Eq(t, "", knownEngines(d))
	must.Eq(t, Cursor{Era: 4, ConfirmedAt: old}, d.Cursor(EnginesTopic))
	must.Eq(t, []uint64{4}, restored)
	d.ConfirmEnd(EnginesTopic, Position{4, 0}, now)
	must.Eq(t, old, d.Cursor(EnginesTopic).ConfirmedAt, must.Sprint("a position that is unknown can't be confirmed"))
	d.ApplyLatest(EnginesTopic, Position{4, 2}, []Record{rec(0, "b", "engine 1 1")})
	must.Eq(t, "b", knownEngines(d))
	d.ApplyPushed(EnginesTopic, Position{4, 2}, []Record{rec(2, "c", "engine 1 1")})
	must.Eq(t, "bc", knownEngines(d))
	d.ApplyLatest(EnginesTopic, Position{4, 2}, nil)
	must.Eq(t, 3, d.Cursor(EnginesTopic).Next, must.Sprint("the newest records of before a push"))
	d.positions[EnginesTopic].commitRead(wholeRead(nil, Position{4, 2}, true, now), func([]Record) { t.Error("a read of before a push is applied") })
	d.positions[EnginesTopic].commitRead(wholeRead(nil, Position{3, 9}, false, now), func([]Record) { t.Error("a read of an earlier era is applied") })
}

// TestAnswersOfAnEndedEraFail guards against a replica of the store that lags behind.
func TestAnswersOfAnEndedEraFail(t *testing.T) {
	l := newEraLog()
	d := newEraDirectory(l)
	step(d)
	d.ObserveEra(2)
	for range 2 {
		must.True(t, step(d))
		must.False(t, d.Cursor(EnginesTopic).Known)
	}
	l.restore(0)
	must.False(t, step(d))
}

// TestFleetReadsARestoredStoreInTurn guards against a fleet that reads a restored store at
// the same moment: only readers read at once, and a daemon that a peer has sent the newest
// records does not read at all.
func TestFleetReadsARestoredStoreInTurn(t *testing.T) {
	must.Eq(t, 0, rereadDelay(0))
	must.Eq(t, rereadSpread, rereadDelay(1))
	const phase, limit = 0.4, time.Second // the delay is 600 ms
	for _, c := range []struct {
		name                      string
		reader, pushed, confirmed bool
		least, most               time.Duration
	}{
		{"a reader", true, false, false, 0, rereadDelay(phase)},
		{"another daemon", false, false, false, rereadDelay(phase), limit},
		{"one that has the records, which nobody confirms", false, true, false, rereadDelay(phase), limit},
		{"one that has the records", false, true, true, limit, time.Hour},
	} {
		d := New(Options{
			Decoder: textDecoder{}, ConfigBound: 10 * time.Second, RereadPhase: func() float64 { return phase },
			Fleet: func() storepace.Fleet {
				f := storepace.Fleet{Size: 1}
				if c.reader {
					f.Role = storepace.Reading
				}
				return f
			},
		})
		d.positions[EnginesTopic].commitRead(wholeRead(nil, Position{0, 5}, true, boottime.Now()-time.Minute), func([]Record) {})
		must.LessEq(t, 0, d.positions[EnginesTopic].untilReread(boottime.Now()))
		begun := time.Now()
		d.ObserveEra(1)
		if c.pushed {
			d.ApplyLatest(EnginesTopic, Position{1, 2}, nil)
		}
		if c.confirmed {
			d.ConfirmEnd(EnginesTopic, Position{1, 2}, boottime.Now())
		}
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		_, _ = d.awaitTurn(ctx, EnginesTopic, false)
		cancel()
		must.Between(t, c.least, time.Since(begun).Round(time.Millisecond), c.most, must.Sprint(c.name))
	}
}

// TestHistoryIsOfOneEra guards against giving a peer records of an era that has ended,
// whose offsets fit.
func TestHistoryIsOfOneEra(t *testing.T) {
	var h History
	h.Add(1, numbered(5, 3, 1), nil)
	h.Add(2, numbered(8, 2, 1), nil)
	must.Len(t, 0, h.From(Position{1, 5}))
	must.Len(t, 0, h.From(Position{2, 5}))
	must.Len(t, 2, h.From(Position{2, 8}))
	h.Add(1, numbered(10, 2, 1), nil)
	must.Len(t, 2, h.From(Position{2, 8}))
}
