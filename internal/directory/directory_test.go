package directory

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// textDecoder decodes the records of these tests: "config VERSION", "engine START
// HEARTBEAT", and any non-empty value under a key "zone/NAME" for a zone out of
// service. Other records are errors.
type textDecoder struct{}

var errUnknownRecord = errors.New("unknown kind of record")

func (textDecoder) Operator(r Record) (*OperatorRecord, error) {
	var version int64
	if _, err := fmt.Sscanf(string(r.Value), "config %d", &version); err == nil {
		return &OperatorRecord{Config: &catalog.Config{Version: version, Services: map[string]catalog.Service{"s": {Name: "s"}}}}, nil
	}
	if zone, ok := strings.CutPrefix(r.Key, "zone/"); ok {
		return &OperatorRecord{Zone: zone, OutOfService: len(r.Value) > 0}, nil
	}
	return nil, errUnknownRecord
}

func (textDecoder) Engine(r Record) (*catalog.Engine, error) {
	e := &catalog.Engine{ID: r.Key, Service: "s"}
	if _, err := fmt.Sscanf(string(r.Value), "engine %d %d", &e.StartUnixMS, &e.HeartbeatSeq); err != nil {
		return nil, errUnknownRecord
	}
	return e, nil
}

func (textDecoder) DaemonRecord(r Record) (*DaemonRecord, error) {
	return &DaemonRecord{Daemon: r.Key, Addr: string(r.Value)}, nil
}

func newDirectory() *Directory {
	return New(Options{Decoder: textDecoder{}, ConfigBound: 2 * time.Second})
}

func rec(offset uint64, key, value string) Record {
	return Record{Offset: offset, Key: key, Value: []byte(value)}
}

// wholeRead returns a read of all records up to the end of the topic at boot time at.
func wholeRead(records []Record, next Position, full bool, at time.Duration) *topicRead {
	return &topicRead{records: records, next: next, full: full, end: next.Offset, at: at}
}

func knownEngines(d *Directory) string {
	list := []string{}
	for _, id := range []string{"a", "b", "c"} {
		if _, ok := d.Engine(id); ok {
			list = append(list, id)
		}
	}
	return strings.Join(list, "")
}

func TestOlderConfigIsIgnored(t *testing.T) {
	d := newDirectory()
	d.applyOperator([]Record{rec(0, "config", "config 5"), rec(1, "config", "config 3")}, false)
	must.Eq(t, 5, d.Config().Version)
	d.applyOperator([]Record{rec(2, "config", "garbage"), rec(3, "config", "config 9")}, true)
	must.Eq(t, 9, d.Config().Version)
}

func TestZoneReturnsToService(t *testing.T) {
	d := newDirectory()
	d.applyOperator([]Record{rec(0, "zone/x", "out"), rec(1, "zone/y", "out")}, false)
	must.True(t, d.ZoneOutOfService("x"))
	d.applyOperator([]Record{rec(2, "zone/x", "")}, false)
	must.False(t, d.ZoneOutOfService("x"))
	must.True(t, d.ZoneOutOfService("y"))
	d.applyOperator(nil, true)
	must.False(t, d.ZoneOutOfService("y"), must.Sprint("a zone without a record in a full read is in service"))
}

func TestApplyEngines(t *testing.T) {
	cases := []struct {
		name    string
		records []Record
		full    bool
		want    string
	}{
		{"announced", []Record{rec(0, "a", "engine 1 1"), rec(1, "b", "engine 1 1")}, false, "ab"},
		{"removed", []Record{rec(0, "a", "engine 1 1"), rec(1, "a", "")}, false, ""},
		{"missing in a full read", []Record{rec(0, "b", "engine 1 1")}, true, "b"},
		{"overwritten by an invalid entry", []Record{rec(0, "a", "engine 1 1"), rec(1, "a", "{")}, false, ""},
		{"older heartbeat after the removal", []Record{rec(0, "a", "engine 1 4"), rec(1, "a", ""), rec(2, "a", "engine 1 3")}, false, ""},
		{"newer heartbeat after the removal", []Record{rec(0, "a", "engine 1 4"), rec(1, "a", ""), rec(2, "a", "engine 1 5")}, false, "a"},
		{"restarted", []Record{rec(0, "a", "engine 1 4"), rec(1, "a", "engine 2 1")}, false, "a"},
		{"announcement of an earlier incarnation", []Record{rec(0, "a", "engine 2 1"), rec(1, "a", ""), rec(2, "a", "engine 1 9")}, false, ""},
	}
	for _, c := range cases {
		d := newDirectory()
		d.applyEngines([]Record{rec(0, "c", "engine 1 1"), rec(1, "c", "")}, false)
		d.applyEngines(c.records, c.full)
		must.Eq(t, c.want, knownEngines(d), must.Sprint(c.name))
	}
}

// TestReadDoesNotOverwritePushedRecords guards against a read that returns after
// newer records were pushed: its older records must not overwrite them.
func TestReadDoesNotOverwritePushedRecords(t *testing.T) {
	d := newDirectory()
	pos := d.positions[EnginesTopic]
	apply := func(rs []Record) { d.applyEngines(rs, false) }
	d.ApplyPushed(EnginesTopic, Position{Offset: 0}, []Record{rec(0, "a", "engine 1 1")})
	must.Eq(t, "", knownEngines(d), must.Sprint("a push is ignored while the position is unknown"))

	pos.commitRead(wholeRead([]Record{rec(4, "a", "engine 1 1")}, Position{Offset: 5}, true, 1), apply)
	d.ApplyPushed(EnginesTopic, Position{Offset: 7}, []Record{rec(7, "b", "engine 1 1")})
	must.Eq(t, "a", knownEngines(d), must.Sprint("a push that starts after the position is ignored"))
	d.ApplyPushed(EnginesTopic, Position{Offset: 4}, []Record{rec(4, "a", "engine 1 1"), rec(5, "a", ""), rec(6, "b", "engine 1 1")})
	must.Eq(t, "b", knownEngines(d))
	must.Eq(t, 7, d.Cursor(EnginesTopic).Next)
	pos.commitRead(wholeRead([]Record{rec(5, "a", "")}, Position{Offset: 6}, false, 2), apply)
	must.Eq(t, 7, d.Cursor(EnginesTopic).Next)
	pos.commitRead(wholeRead([]Record{rec(5, "a", ""), rec(6, "b", "engine 1 1"), rec(7, "a", "engine 2 1")}, Position{Offset: 8}, false, 2), apply)
	must.Eq(t, "ab", knownEngines(d))
}

func TestConfirmEndUpdatesConfigAge(t *testing.T) {
	d := newDirectory()
	must.Greater(t, time.Hour, d.ConfigAge())
	now := boottime.Now()
	d.positions[OperatorTopic].commitRead(wholeRead(nil, Position{Offset: 5}, true, now-10*time.Second), func([]Record) {})
	must.GreaterEq(t, 10*time.Second, d.ConfigAge())
	d.ConfirmEnd(OperatorTopic, Position{Offset: 4}, now-time.Second)
	must.GreaterEq(t, 10*time.Second, d.ConfigAge(), must.Sprint("an end before the position is ignored"))
	d.ConfirmEnd(OperatorTopic, Position{Offset: 5}, now+time.Hour)
	must.GreaterEq(t, 10*time.Second, d.ConfigAge(), must.Sprint("a time in the future is ignored"))
	d.ConfirmEnd(OperatorTopic, Position{Offset: 5}, now-2*time.Second)
	must.Less(t, 5*time.Second, d.ConfigAge())
	d.ConfirmEnd(OperatorTopic, Position{Offset: 6}, now-time.Second)
	must.GreaterEq(t, 2*time.Second, d.ConfigAge(), must.Sprint("an end after the position does not confirm it"))
	must.True(t, d.positions[OperatorTopic].hasUnread())
}

func TestApplyPushedConfig(t *testing.T) {
	d := newDirectory()
	d.positions[OperatorTopic].commitRead(wholeRead(nil, Position{Offset: 3}, true, 0), func([]Record) {})
	d.ApplyPushed(OperatorTopic, Position{Offset: 3}, []Record{rec(3, "config", "config 2")})
	must.Eq(t, 2, d.Config().Version)
	d.ApplyPushed(OperatorTopic, Position{Offset: 5}, []Record{rec(5, "config", "config 4")})
	must.Eq(t, 2, d.Config().Version, must.Sprint("a push with a gap before it is ignored"))
}

func TestPushOfUnknownTopicIsIgnored(t *testing.T) {
	d := newDirectory()
	for _, topic := range []Topic{-1, topicCount} {
		d.ApplyPushed(topic, Position{Offset: 0}, []Record{rec(0, "a", "engine 1 1")})
	}
	must.Eq(t, "", knownEngines(d))
}
