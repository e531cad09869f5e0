package cli

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

var testTime = time.Date(2026, 3, 1, 3, 0, 0, 0, time.UTC)

func TestPrintStatus(t *testing.T) {
	s := operate.Status{
		Daemon: "d1", At: testTime, Position: "1/40", Digest: "ab", LogEverRead: true, LogAge: tomlfile.Duration(250 * time.Millisecond),
		ServingStatus: operate.ServingStatus{Mode: "serve", Reason: "the log was read 250ms ago", Majority: true, MayUseCold: true},
		Members: []operate.Member{
			{ID: "d1", Addr: "10.0.0.1:7000", FailureDomain: "plateau", Joined: true, Live: true, Position: "1/40", Digest: "ab"},
			{ID: "d2", Addr: "10.0.0.2:7000", FailureDomain: "almadies", Joined: true, Live: true, Position: "1/40", Digest: "cd"},
			{ID: "d3", Addr: "10.0.0.3:7000", FailureDomain: "rufisque", Joined: true},
			{ID: "d4", Live: true},
		},
		Pools: []operate.Pool{
			{
				Name: "assistant", Kind: "engine", Model: "drafts", Version: "7", Revision: 4, VMs: 6, Withdrawn: []string{"plateau"}, Home: "d2",
				Replicas: []operate.Replica{
					{ID: "group-77", Leader: "a1", FailureDomain: "almadies", Status: "serving", Inflight: 3},
					{ID: "group-78", Leader: "b1", FailureDomain: "rufisque", Status: "broken", Reason: "b2 is gone"},
				},
				AwaitingRelease: []string{"c1", "c2"},
			},
			{
				Name: "orders", Kind: "service", Revision: 1, VMs: 3, Home: "d1",
				Groups: []operate.Group{{FencingToken: "79", Members: []string{"x", "y"}, At: testTime}},
			},
		},
	}
	var out bytes.Buffer
	must.NoError(t, printStatus(&out, s))
	goldie.New(t).Assert(t, "status", out.Bytes())
}

func TestPrintAuditEntries(t *testing.T) {
	entries := []audit.Entry{
		{Position: "1/7", At: testTime, Kind: audit.Join, Author: "d1", Result: audit.Undetermined, Subject: "daemon/d1"},
		{
			Position: "1/8", At: testTime, Kind: audit.Edit, Author: "awa", Result: audit.Accepted, Note: "flood",
			Rows: []audit.RowChange{
				{Name: "pool/assistant", Base: 3, Revision: 4, Fields: []table.FieldChange{{Field: "withdrawn", New: "plateau"}}},
				{Name: "route/old", Base: 2, Dropped: true},
			},
		},
		{
			Position: "1/9", At: testTime, Kind: audit.Edit, Author: "binta", Result: audit.Refused, Reason: "based on revision 3",
			Winner: &audit.Winner{Author: "awa", Revision: 4, At: testTime}, Rows: []audit.RowChange{{Name: "pool/assistant", Base: 3}},
		},
		{Position: "1/10", At: testTime, Kind: audit.Edit, Author: "awa", Result: audit.Duplicate, DuplicateOf: "1/8"},
	}
	var out bytes.Buffer
	printAuditHeader(&out, operate.AuditHeader{Begin: "1/7", Snapshot: "1/7"})
	must.NoError(t, printEntries(&out, entries))
	goldie.New(t).Assert(t, "audit", out.Bytes())
}
