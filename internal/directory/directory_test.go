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

// plainDecoder reads test records: "config VERSION", "zone out|in" and
// "engine BORN BEAT"; anything else is an error.
type plainDecoder struct{}

var errForeign = errors.New("a record of another kind")

func (plainDecoder) Operator(r Record) (*OperatorRecord, error) {
	var version int64
	if _, err := fmt.Sscanf(string(r.Value), "config %d", &version); err == nil {
		return &OperatorRecord{Config: &catalog.Config{Version: version, Services: map[string]catalog.Service{"s": {Name: "s"}}}}, nil
	}
	if zone, ok := strings.CutPrefix(r.Key, "zone/"); ok {
		return &OperatorRecord{Zone: zone, OutOfService: len(r.Value) > 0}, nil
	}
	return nil, errForeign
}

func (plainDecoder) Engine(r Record) (*catalog.Engine, error) {
	e := &catalog.Engine{ID: r.Key, Service: "s"}
	if _, err := fmt.Sscanf(string(r.Value), "engine %d %d", &e.StartUnixMS, &e.HeartbeatSeq); err != nil {
		return nil, errForeign
	}
	return e, nil
}

func (plainDecoder) DaemonRecord(r Record) (*DaemonRecord, error) {
	return &DaemonRecord{Daemon: r.Key, Addr: string(r.Value)}, nil
}

func newDirectory() *Directory {
	return New(Options{Decoder: plainDecoder{}, ConfigBound: 2 * time.Second})
}

func rec(offset uint64, key, value string) Record {
	return Record{Offset: offset, Key: key, Value: []byte(value)}
}

func ids(d *Directory) string {
	list := []string{}
	for _, id := range []string{"a", "b", "c"} {
		if _, ok := d.Engine(id); ok {
			list = append(list, id)
		}
	}
	return strings.Join(list, "")
}

func TestConfigurationsNeverGoBack(t *testing.T) {
	d := newDirectory()
	d.applyOperator([]Record{rec(0, "config", "config 5"), rec(1, "config", "config 3")}, false)
	must.Eq(t, 5, d.Config().Version)
	d.applyOperator([]Record{rec(2, "config", "garbage"), rec(3, "config", "config 9")}, true)
	must.Eq(t, 9, d.Config().Version)
}

func TestZonesComeBack(t *testing.T) {
	d := newDirectory()
	d.applyOperator([]Record{rec(0, "zone/x", "out"), rec(1, "zone/y", "out")}, false)
	must.True(t, d.ZoneOutOfService("x"))
	d.applyOperator([]Record{rec(2, "zone/x", "")}, false)
	must.False(t, d.ZoneOutOfService("x"))
	must.True(t, d.ZoneOutOfService("y"))
	d.applyOperator(nil, true)
	must.False(t, d.ZoneOutOfService("y"), must.Sprint("a zone without a newest record is back"))
}

func TestAnnouncementsOfEngines(t *testing.T) {
	cases := []struct {
		name    string
		records []Record
		whole   bool
		want    string
	}{
		{"announced", []Record{rec(0, "a", "engine 1 1"), rec(1, "b", "engine 1 1")}, false, "ab"},
		{"removed", []Record{rec(0, "a", "engine 1 1"), rec(1, "a", "")}, false, ""},
		{"missing among the newest", []Record{rec(0, "b", "engine 1 1")}, true, "b"},
		{"overwritten by garbage", []Record{rec(0, "a", "engine 1 1"), rec(1, "a", "{")}, false, ""},
		{"an old word after the removal", []Record{rec(0, "a", "engine 1 4"), rec(1, "a", ""), rec(2, "a", "engine 1 3")}, false, ""},
		{"back after a lapse", []Record{rec(0, "a", "engine 1 4"), rec(1, "a", ""), rec(2, "a", "engine 1 5")}, false, "a"},
		{"started again", []Record{rec(0, "a", "engine 1 4"), rec(1, "a", "engine 2 1")}, false, "a"},
		{"an earlier life's word", []Record{rec(0, "a", "engine 2 1"), rec(1, "a", ""), rec(2, "a", "engine 1 9")}, false, ""},
	}
	for _, c := range cases {
		d := newDirectory()
		d.applyEngines([]Record{rec(0, "c", "engine 1 1"), rec(1, "c", "")}, false)
		d.applyEngines(c.records, c.whole)
		must.Eq(t, c.want, ids(d), must.Sprint(c.name))
	}
}

func TestRemovalsWaitAfterAnOutage(t *testing.T) {
	d := newDirectory()
	d.applyEngines([]Record{rec(0, "a", "engine 1 1"), rec(1, "b", "engine 1 1")}, false)
	d.graceUntil = time.Now().Add(time.Hour)
	d.applyEngines([]Record{rec(2, "a", ""), rec(3, "b", "")}, false)
	must.Eq(t, "ab", ids(d))
	d.applyEngines([]Record{rec(4, "a", "engine 1 2")}, false)
	d.graceUntil = time.Time{}
	d.pending.Set("b", time.Now().Add(-time.Second))
	d.applyEngines(nil, false)
	must.Eq(t, "a", ids(d), must.Sprint("an entry that stayed away is gone"))
}

// TestPassedRecordsAndReadsDoNotUndoEachOther lets a read that began earlier
// end after newer records were passed on.
func TestPassedRecordsAndReadsDoNotUndoEachOther(t *testing.T) {
	d := newDirectory()
	tr := d.tracks[EnginesTopic]
	apply := func(rs []Record) { d.applyEngines(rs, false) }
	d.ApplyPushed(EnginesTopic, 0, []Record{rec(0, "a", "engine 1 1")})
	must.Eq(t, "", ids(d), must.Sprint("nothing follows an unknown position"))

	tr.commit([]Record{rec(4, "a", "engine 1 1")}, 5, true, 1, apply)
	d.ApplyPushed(EnginesTopic, 7, []Record{rec(7, "b", "engine 1 1")})
	must.Eq(t, "a", ids(d), must.Sprint("a gap was passed over"))
	d.ApplyPushed(EnginesTopic, 4, []Record{rec(4, "a", "engine 1 1"), rec(5, "a", ""), rec(6, "b", "engine 1 1")})
	must.Eq(t, "b", ids(d))
	must.Eq(t, 7, d.Cursor(EnginesTopic).Next)
	tr.commit([]Record{rec(5, "a", "")}, 6, false, 2, apply)
	must.Eq(t, 7, d.Cursor(EnginesTopic).Next)
	tr.commit([]Record{rec(5, "a", ""), rec(6, "b", "engine 1 1"), rec(7, "a", "engine 2 1")}, 8, false, 2, apply)
	must.Eq(t, "ab", ids(d))
}

func TestAWordOfAPeerDatesTheConfiguration(t *testing.T) {
	d := newDirectory()
	must.Greater(t, time.Hour, d.ConfigAge())
	now := boottime.Now()
	d.tracks[OperatorTopic].commit(nil, 5, true, now-10*time.Second, func([]Record) {})
	must.GreaterEq(t, 10*time.Second, d.ConfigAge())
	d.ConfirmEnd(OperatorTopic, 4, now-time.Second)
	must.GreaterEq(t, 10*time.Second, d.ConfigAge(), must.Sprint("a peer that knows less proves nothing"))
	d.ConfirmEnd(OperatorTopic, 5, now+time.Hour)
	must.GreaterEq(t, 10*time.Second, d.ConfigAge(), must.Sprint("a time to come proves nothing"))
	d.ConfirmEnd(OperatorTopic, 5, now-2*time.Second)
	must.Less(t, 5*time.Second, d.ConfigAge())
	d.ConfirmEnd(OperatorTopic, 6, now-time.Second)
	must.GreaterEq(t, 2*time.Second, d.ConfigAge(), must.Sprint("a peer that knows more proves that this is old"))
	must.True(t, d.tracks[OperatorTopic].behind())
}

func TestAConfigurationMayBePassedOn(t *testing.T) {
	d := newDirectory()
	d.tracks[OperatorTopic].commit(nil, 3, true, 0, func([]Record) {})
	d.ApplyPushed(OperatorTopic, 3, []Record{rec(3, "config", "config 2")})
	must.Eq(t, 2, d.Config().Version)
	d.ApplyPushed(OperatorTopic, 5, []Record{rec(5, "config", "config 4")})
	must.Eq(t, 2, d.Config().Version, must.Sprint("a record before it is missing"))
}

func TestRecordsOfAnUnknownTopicAreLeftAlone(t *testing.T) {
	d := newDirectory()
	for _, topic := range []Topic{-1, topicCount} {
		d.ApplyPushed(topic, 0, []Record{rec(0, "a", "engine 1 1")})
	}
	must.Eq(t, "", ids(d))
}
