package directory

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/storepace"
)

// TestProvenEnd lists what an answer proves. It guards against an answer with a part of the
// records that is taken for the end of the topic.
func TestProvenEnd(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name    string
		answer  storeAnswer
		at      time.Duration
		partial bool
		stale   bool
	}{
		{"all records", storeAnswer{from: 5, records: 3, end: 8, begun: 10 * s, answered: 11 * s, wait: s}, 10 * s, false, false},
		{"a part of the records", storeAnswer{from: 5, records: 3, end: 9, begun: 10 * s, answered: 11 * s, wait: s}, 10 * s, true, false},
		{"records that were appended while the answer was written", storeAnswer{from: 5, records: 4, end: 8, begun: 10 * s, answered: 11 * s}, 10 * s, false, false},
		{"none at once", storeAnswer{from: 5, end: 5, begun: 10 * s, answered: 11 * s}, 10 * s, false, false},
		{"none after the long poll", storeAnswer{from: 5, end: 5, begun: 10 * s, answered: 12 * s, wait: s}, 11 * s, false, false},
		{"none before the long poll is over", storeAnswer{from: 5, end: 5, begun: 10 * s, answered: 10*s + 1, wait: s}, 10 * s, false, false},
		{"none of those that exist", storeAnswer{from: 5, end: 6, begun: 10 * s, answered: 12 * s, wait: s}, 10 * s, true, false},
		{"an end before the offset", storeAnswer{from: 5, end: 4, begun: 10 * s, answered: 12 * s, wait: s}, 10 * s, false, true},
		{"the newest of each key", storeAnswer{records: 700, end: 900, full: true, begun: 10 * s, answered: 15 * s}, 10 * s, false, false},
	} {
		end, at := c.answer.provenEnd()
		must.Eq(t, c.answer.end, end, must.Sprint(c.name))
		must.Eq(t, c.at, at, must.Sprint(c.name))
		must.Eq(t, c.stale, c.answer.isStale(), must.Sprint(c.name))
		next := c.answer.from + uint64(c.answer.records)
		if c.answer.full {
			next = c.answer.end
		}
		r := topicRead{next: Position{Offset: next}, full: c.answer.full, end: end, at: at}
		must.Eq(t, c.partial, r.isPartial(), must.Sprint(c.name))
	}
}

// TestPartOfABacklogConfirmsNothing reads a backlog in parts. It guards against a daemon
// that trusts the keys of the first part, against a peer that takes its word, and against a
// confirmation that is lost when the records come from a peer.
func TestPartOfABacklogConfirmsNothing(t *testing.T) {
	d, peer := newDirectory(), newDirectory()
	pos := d.positions[OperatorTopic]
	apply := func(records []Record) { d.apply(OperatorTopic, 0, records, false) }
	now := boottime.Now()
	old := now - 20*time.Second
	pos.commitRead(wholeRead(nil, Position{Offset: 3}, true, old), apply)
	records := []Record{rec(3, "config", "config 4"), rec(4, "config", "config 5")}
	pos.commitRead(&topicRead{records: records, next: Position{Offset: 5}, end: 8, at: now - 3*time.Second}, apply)
	must.Eq(t, 5, d.Config().Version)
	must.Eq(t, old, d.Cursor(OperatorTopic).ConfirmedAt)
	must.True(t, pos.hasUnread(), must.Sprint("the end that the store states is known"))

	// A peer at the same position states its own age only.
	peer.positions[OperatorTopic].commitRead(wholeRead(nil, Position{Offset: 5}, true, now-30*time.Second), func([]Record) {})
	peer.ConfirmEnd(OperatorTopic, Position{Offset: 5}, d.Cursor(OperatorTopic).ConfirmedAt)
	must.Eq(t, old, peer.Cursor(OperatorTopic).ConfirmedAt)
	d.ConfirmEnd(OperatorTopic, Position{Offset: 5}, peer.Cursor(OperatorTopic).ConfirmedAt)
	must.Eq(t, old, d.Cursor(OperatorTopic).ConfirmedAt, must.Sprint("two daemons that are cut off confirm each other"))

	// The rest comes from a peer, and reaches the end that the store had stated.
	d.ApplyPushed(OperatorTopic, Position{Offset: 5}, []Record{rec(5, "config", "config 6"), rec(6, "config", "config 7")})
	must.Eq(t, old, d.Cursor(OperatorTopic).ConfirmedAt)
	d.ApplyPushed(OperatorTopic, Position{Offset: 7}, []Record{rec(7, "config", "config 8"), rec(8, "config", "config 9")})
	must.Eq(t, now-3*time.Second, d.Cursor(OperatorTopic).ConfirmedAt)
	must.False(t, pos.hasUnread())
	must.Zero(t, d.Behind(OperatorTopic))

	// An era that changes between two parts leaves no end of the era before.
	pos.commitRead(&topicRead{records: []Record{rec(9, "config", "config 10")}, next: Position{Offset: 10}, end: 15, at: now}, apply)
	d.ObserveEra(1)
	d.ApplyLatest(OperatorTopic, Position{Era: 1, Offset: 20}, nil)
	must.Eq(t, now-3*time.Second, d.Cursor(OperatorTopic).ConfirmedAt)
}

// longLog is a store whose topics have more records than an answer holds. Each read appends
// some more.
type longLog struct {
	mu            sync.Mutex
	end, growth   uint64
	reads, latest int
	waits         []time.Duration
}

func (l *longLog) Read(topic string, from uint64, wait time.Duration) ([]Record, Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if topic != "operator" {
		return nil, Position{}, nil
	}
	l.reads++
	l.waits = append(l.waits, wait)
	l.end += l.growth
	var out []Record
	for at := from; at < l.end && len(out) < 10; at++ {
		out = append(out, rec(at, "config", fmt.Sprint("config ", at)))
	}
	if len(out) == 0 {
		time.Sleep(time.Millisecond)
	}
	return out, Position{Offset: l.end}, nil
}

func (l *longLog) ReadLatest(topic string) ([]Record, Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if topic != "operator" {
		return nil, Position{}, nil
	}
	l.latest++
	if l.latest == 1 {
		return []Record{rec(0, "config", "config 0")}, Position{Offset: 1}, nil
	}
	return []Record{rec(l.end-1, "config", fmt.Sprint("config ", l.end-1))}, Position{Offset: l.end}, nil
}

// TestBacklogsAreReadToTheirEnds lets a follower, which its peers serve otherwise, read
// backlogs of several answers. It guards against a daemon that stops after the first part,
// and against one that never reaches the end of a backlog that grows.
func TestBacklogsAreReadToTheirEnds(t *testing.T) {
	for _, c := range []struct {
		name   string
		log    *longLog
		latest int
	}{
		{"two answers", &longLog{end: 15}, 1},
		{"many answers", &longLog{end: 500}, 2},
		{"grows faster than it is read", &longLog{end: 15, growth: 20}, 2},
	} {
		log, end := c.log, c.log.end
		d := New(Options{
			Log: log, Decoder: textDecoder{}, Topics: Topics{Operator: "operator", Engines: "engines", Daemons: "daemons"}, ConfigBound: 2 * time.Second,
			Fleet: func() storepace.Fleet { return storepace.Fleet{Size: 350, PeersHeardAt: boottime.Now()} },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- d.Run(ctx) }()
		for d.Config() == nil {
			time.Sleep(time.Millisecond)
		}
		// A peer names a later record, and nobody sends it.
		d.ConfirmEnd(OperatorTopic, Position{Offset: 2}, boottime.Now())
		for d.Cursor(OperatorTopic).Next < end || d.positions[OperatorTopic].hasUnread() {
			time.Sleep(time.Millisecond)
		}
		cancel()
		must.NoError(t, <-done)
		must.GreaterEq(t, int64(end)-1, d.Config().Version)
		must.Eq(t, c.latest, log.latest, must.Sprint(c.name))
		for _, wait := range log.waits[:2] {
			must.Zero(t, wait, must.Sprint(c.name, ": a read of a backlog waits for a record"))
		}
	}
}

// slowDecoder blocks while it decodes a configuration of version 9.
type slowDecoder struct {
	textDecoder
	decoding, release chan struct{}
}

func (s slowDecoder) Operator(r Record) (*OperatorRecord, error) {
	if string(r.Value) == "config 9" {
		close(s.decoding)
		<-s.release
	}
	return s.textDecoder.Operator(r)
}

// TestAgeIsThatOfTheConfiguration asks for the configuration while the next one is applied.
// It guards against an old configuration with the confirmation of a later one, by which a
// key that was taken away is trusted, and against requests that wait for the application.
func TestAgeIsThatOfTheConfiguration(t *testing.T) {
	s := slowDecoder{decoding: make(chan struct{}), release: make(chan struct{})}
	d := New(Options{Decoder: s, ConfigBound: 2 * time.Second})
	apply := func(records []Record) { d.apply(OperatorTopic, 0, records, false) }
	pos, now := d.positions[OperatorTopic], boottime.Now()
	pos.commitRead(wholeRead([]Record{rec(0, "config", "config 8")}, Position{Offset: 1}, true, now-time.Minute), apply)
	applied := make(chan struct{})
	go func() {
		pos.commitRead(wholeRead([]Record{rec(1, "config", "config 9")}, Position{Offset: 2}, false, now), apply)
		close(applied)
	}()
	<-s.decoding
	seen := make(chan struct{})
	go func() {
		cfg, age := d.Current()
		test.Eq(t, 8, cfg.Version)
		test.GreaterEq(t, time.Minute, age)
		close(seen)
	}()
	select {
	case <-seen:
	case <-time.After(20 * time.Second):
		t.Error("a request waits while a configuration is applied")
	}
	close(s.release)
	<-applied
	cfg, age := d.Current()
	must.Eq(t, 9, cfg.Version)
	must.Less(t, time.Minute, age)
}
