package directory

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/storepace"
)

// numbered returns n records with consecutive offsets and values of the given size.
func numbered(first, n, size int) []Record {
	var out []Record
	for i := range n {
		out = append(out, Record{Offset: uint64(first + i), Key: fmt.Sprint("k", first+i), Value: make([]byte, size)})
	}
	return out
}

func TestHistory(t *testing.T) {
	cases := []struct {
		name        string
		add         [][]Record
		from        uint64
		first, last uint64 // of the returned records; last 0 for none
	}{
		{"empty", nil, 0, 0, 0},
		{"all", [][]Record{numbered(5, 3, 1)}, 5, 5, 7},
		{"some", [][]Record{numbered(5, 3, 1), numbered(8, 4, 1)}, 7, 7, 11},
		{"before the first", [][]Record{numbered(5, 3, 1)}, 4, 0, 0},
		{"after the last", [][]Record{numbered(5, 3, 1)}, 8, 0, 0},
		{"a gap drops what is older", [][]Record{numbered(5, 3, 1), numbered(10, 2, 1)}, 6, 0, 0},
		{"after a gap", [][]Record{numbered(5, 3, 1), numbered(10, 2, 1)}, 10, 10, 11},
		{"too many records", [][]Record{numbered(0, maxHistoryRecords+10, 1)}, 9, 0, 0},
		{"the latest of too many records", [][]Record{numbered(0, maxHistoryRecords+10, 1)}, 10, 10, maxHistoryRecords + 9},
		{"too many bytes", [][]Record{numbered(0, 3, maxHistoryBytes/2)}, 0, 0, 0},
		{"the latest of too many bytes", [][]Record{numbered(0, 3, maxHistoryBytes/2)}, 1, 1, 2},
		{"a record that is too large", [][]Record{numbered(1, 1, maxHistoryBytes+1)}, 1, 0, 0},
	}
	for _, c := range cases {
		var h History
		for _, records := range c.add {
			h.Add(0, records, nil)
		}
		got := h.From(Position{Offset: c.from})
		if c.last == 0 {
			must.Len(t, 0, got, must.Sprint(c.name))
			continue
		}
		must.Eq(t, int(c.last-c.first)+1, len(got), must.Sprint(c.name))
		must.Eq(t, c.first, got[0].Offset, must.Sprint(c.name))
		must.Eq(t, c.last, got[len(got)-1].Offset, must.Sprint(c.name))
	}
}

// refusingLog is a store that answers the first read of each topic and turns this daemon
// away from then on.
type refusingLog struct{ reads atomic.Int64 }

func (l *refusingLog) Read(string, uint64, time.Duration) ([]Record, Position, error) {
	l.reads.Add(1)
	return nil, Position{}, errors.New("turned away")
}

func (l *refusingLog) ReadLatest(topic string) ([]Record, Position, error) {
	if topic == "operator" {
		return []Record{rec(0, "config", "config 1")}, Position{Offset: 1}, nil
	}
	return nil, Position{Offset: 1}, nil
}

// TestMissedRecordsComeFromAPeer lets a push get lost while the store turns this daemon
// away. The daemon must ask a peer for the records, and call the store no more often
// than before.
func TestMissedRecordsComeFromAPeer(t *testing.T) {
	log := &refusingLog{}
	var d *Directory
	asked := make(chan Position, 100)
	d = New(Options{
		Log: log, Decoder: textDecoder{}, Topics: Topics{Operator: "operator", Engines: "engines", Daemons: "daemons"},
		ConfigBound: time.Hour, Fleet: func() storepace.Fleet { return storepace.Fleet{} },
		RequestRecords: func(topic Topic, next Position) bool {
			asked <- next
			go d.ApplyPushed(topic, next, []Record{rec(next.Offset, "config", "config 2"), rec(next.Offset+1, "config", "config 3")})
			return true
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	until := func(what string, f func() bool) {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)), must.Sprint(what))
	}
	until("the first configuration is read", func() bool { return d.Loaded() && d.Cursor(DaemonsTopic).Known })
	d.ConfirmEnd(OperatorTopic, Position{Offset: 3}, boottime.Now())
	until("the records that a peer knows of are applied", func() bool { return d.Config().Version == 3 })
	must.Eq(t, Position{Offset: 1}, <-asked)
	must.Eq(t, 0, log.reads.Load())
	cancel()
	must.NoError(t, <-done)
}

// TestRefusedDaemonProbesOnceForAllTopics lets the store turn a daemon away after its
// first reads. It guards against a retry loop for each of the three topics, and against
// daemons of a large fleet that all retry while they are stale.
func TestRefusedDaemonProbesOnceForAllTopics(t *testing.T) {
	const size = 1000 // the second turn comes after minutes
	for _, c := range []struct {
		name     string
		fleet    storepace.Fleet
		atMost   int64
		duration time.Duration
	}{
		{"a reader", storepace.Fleet{Size: size, Role: storepace.Reading}, 3 + 2 + 4, 2 * time.Second},
		{"a follower", storepace.Fleet{Size: size, Role: storepace.Following}, 1, 2 * time.Second},
	} {
		log := &refusingLog{}
		d := New(Options{
			Log: log, Decoder: textDecoder{}, Topics: Topics{Operator: "operator", Engines: "engines", Daemons: "daemons"},
			ConfigBound: 100 * time.Millisecond,
			Fleet: func() storepace.Fleet {
				f := c.fleet
				f.PeersHeardAt = boottime.Now()
				return f
			},
		})
		ctx, cancel := context.WithTimeout(t.Context(), c.duration)
		must.NoError(t, d.Run(ctx), must.Sprint(c.name))
		cancel()
		must.True(t, d.Loaded(), must.Sprint(c.name))
		must.LessEq(t, c.atMost, log.reads.Load(), must.Sprint(c.name))
	}
}

// scriptedLog answers the reads of the operators' topic one after the other, and has no
// records of other topics.
type scriptedLog struct{ answers chan []Record }

func (l *scriptedLog) Read(topic string, from uint64, wait time.Duration) ([]Record, Position, error) {
	if topic != "operator" {
		time.Sleep(wait)
		return nil, Position{Offset: from}, nil
	}
	select {
	case records := <-l.answers:
		return records, Position{Offset: records[len(records)-1].Offset + 1}, nil
	case <-time.After(wait):
		return nil, Position{Offset: from}, nil
	}
}

func (l *scriptedLog) ReadLatest(string) ([]Record, Position, error) { return nil, Position{}, nil }

// TestChangeIsInForceBeforeItIsSent reads changes of the configuration for peers. It guards
// against a reader that applies a change only after it has sent it to all others.
func TestChangeIsInForceBeforeItIsSent(t *testing.T) {
	log := &scriptedLog{answers: make(chan []Record, 2)}
	var d *Directory
	inForce := make(chan int64, 2)
	d = New(Options{
		Log: log, Decoder: textDecoder{}, Topics: Topics{Operator: "operator", Engines: "engines", Daemons: "daemons"}, ConfigBound: time.Hour,
		OnRead: func(Topic, Position, Position) {
			version := int64(-1)
			if c := d.Config(); c != nil {
				version = c.Version
			}
			inForce <- version
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	log.answers <- []Record{rec(0, "config", "config 7")}
	log.answers <- []Record{rec(1, "config", "config 8"), rec(2, "config", "config 9")}
	must.Eq(t, 7, <-inForce)
	must.Eq(t, 9, <-inForce)
	cancel()
	must.NoError(t, <-done)
}

// TestNewestRecordsCatchAPeerUp lets a peer that has missed changes apply what a reader
// sends of the last one. It guards against superseded configurations that fill the link, and
// against a change that is lost because a later record of its key says nothing.
func TestNewestRecordsCatchAPeerUp(t *testing.T) {
	reader, peer := newDirectory(), newDirectory()
	for _, d := range []*Directory{reader, peer} {
		d.positions[OperatorTopic].commitRead(wholeRead(nil, Position{Offset: 3}, true, 0), func([]Record) {})
	}
	reader.ApplyPushed(OperatorTopic, Position{Offset: 3}, []Record{
		rec(3, "config", "config 5"), rec(4, "zone/x", "out"), rec(5, "config", "config 6"), rec(6, "zone/x", ""), rec(7, "zone/y", "out"),
		rec(8, "config", "config 9"),
	})
	reader.ApplyPushed(OperatorTopic, Position{Offset: 9}, []Record{rec(9, "config", "garbage"), rec(10, "config", "config 2")})
	sent := reader.RecordsToSend(OperatorTopic, Position{Offset: 9})
	must.Eq(t, 3, sent[0].Offset)
	var values []string
	for _, r := range sent {
		values = append(values, string(r.Value))
	}
	must.Eq(t, []string{"", "", "", "", "out", "config 9", "garbage", "config 2"}, values)
	peer.ApplyPushed(OperatorTopic, Position{Offset: 3}, sent)
	must.Eq(t, 9, peer.Config().Version)
	must.False(t, peer.ZoneOutOfService("x"))
	must.True(t, peer.ZoneOutOfService("y"))
	must.Eq(t, reader.Cursor(OperatorTopic).Next, peer.Cursor(OperatorTopic).Next)

	// Announcements are ordered by more than their offsets, so all of them are sent.
	reader.positions[EnginesTopic].commitRead(wholeRead(nil, Position{}, true, 0), func([]Record) {})
	records := []Record{rec(0, "a", "engine 2 1"), rec(1, "a", ""), rec(2, "a", "engine 1 9")}
	reader.ApplyPushed(EnginesTopic, Position{}, records)
	must.Eq(t, records, reader.RecordsToSend(EnginesTopic, Position{}))
}
