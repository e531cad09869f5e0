// Package audit derives an audit trail from the records of the control stream:
// who changed what, when, based on which revision, and whether the change was
// accepted. It does no I/O: it replays the given records from a given state.
package audit

import (
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Kind is the kind of a record in the control stream.
type Kind string

// Kinds of records.
const (
	Edit    Kind = "edit"
	Form    Kind = "form"
	Retire  Kind = "retire"
	Release Kind = "release"
	Join    Kind = "join"
	Leave   Kind = "leave"
	// Open starts a new epoch after the log was set up anew.
	Open Kind = "open"
	// Undecodable is a record that cannot be decoded.
	Undecodable Kind = "garbled"
)

// Result is the verdict on a record.
type Result string

// Verdicts on records.
const (
	Accepted  Result = "accepted"
	Refused   Result = "refused"
	Duplicate Result = "duplicate"
	// Undetermined means that the verdict is not known: the trail has no base to
	// replay from, or the record is not newer than the base and the base does not
	// hold its verdict any more.
	Undetermined Result = "undetermined"
)

// Record is one record of the control stream.
type Record struct {
	Pos state.Position
	// AppendedAt is the time of the append by the log's clock.
	AppendedAt time.Time
	// Decoded is nil if the record cannot be decoded.
	Decoded *state.Record
}

// Trail holds the records of the control stream that the log still keeps.
type Trail struct {
	// Begin is the position of the oldest record that the log keeps.
	Begin state.Position
	// Base is the state to replay the records from: the empty state if the trail
	// starts with the stream, else the oldest snapshot that reaches Begin. It is nil
	// if there is no such snapshot.
	Base    *state.State
	Records []Record
}

// Entry describes one record in the audit trail.
type Entry struct {
	Position string    `json:"position"`
	At       time.Time `json:"at"`
	Kind     Kind      `json:"kind"`
	Author   string    `json:"author"`
	RecordID string    `json:"record"`
	Result   Result    `json:"result"`
	Reason   string    `json:"reason,omitempty"`
	// Winner is the concurrent write that made a refused edit stale.
	Winner *Winner `json:"won_by,omitempty"`
	// Subject names the group, VM or daemon that the record is about, such as
	// "vm/a1".
	Subject string      `json:"subject,omitempty"`
	Note    string      `json:"note,omitempty"`
	Rows    []RowChange `json:"rows,omitempty"`
	Detail  string      `json:"detail,omitempty"`
	// DuplicateOf is the position of an earlier record with the same id.
	DuplicateOf string `json:"duplicates,omitempty"`
	pos         state.Position
}

// Winner is the concurrent write that made a refused edit stale.
type Winner struct {
	Author   string    `json:"author"`
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
}

// RowChange is the change of one row by an edit.
type RowChange struct {
	// Name is "pool/NAME" or "route/NAME".
	Name string `json:"name"`
	// Base is the revision that the edit is based on; 0 means that the row is new.
	Base uint64 `json:"base"`
	// Revision is the row's revision after the edit; 0 if the edit was not
	// accepted, dropped the row, or the revision is not known.
	Revision uint64              `json:"revision,omitempty"`
	Dropped  bool                `json:"dropped,omitempty"`
	Fields   []table.FieldChange `json:"fields,omitempty"`
}

// Entries returns the trail's entries, oldest first.
func Entries(t Trail) []Entry {
	r := replayer{base: t.Base}
	if t.Base != nil {
		r.state = t.Base.Clone()
	}
	out := make([]Entry, 0, len(t.Records))
	for _, rec := range t.Records {
		out = append(out, r.entry(rec))
	}
	return out
}

// replayer applies the records of a trail one by one, so that each entry can be
// compared with the state before its record.
type replayer struct {
	base  *state.State
	state *state.State
}

func (r *replayer) entry(rec Record) Entry {
	e := Entry{pos: rec.Pos, Position: rec.Pos.String(), At: rec.AppendedAt.UTC(), Kind: Undecodable}
	if rec.Decoded != nil {
		e.Author, e.RecordID = rec.Decoded.Author, rec.Decoded.ID
		e.setDetails(rec)
	}
	before := r.rowsBefore(rec)
	verdict, known := r.verdict(rec)
	e.setVerdict(verdict, known)
	if rec.Decoded != nil && rec.Decoded.Edit != nil {
		e.Rows = rowChanges(rec.Decoded.Edit, before, verdict.Accepted)
	}
	return e
}

// verdict applies the record and returns the verdict on it. For a record that
// precedes the base it returns the verdict that the base holds; it returns false
// if there is none.
func (r *replayer) verdict(rec Record) (state.Verdict, bool) {
	if r.state == nil {
		return state.Verdict{}, false
	}
	if !r.state.Started || r.state.Pos.Before(rec.Pos) {
		return r.state.Apply(rec.Pos, rec.Decoded), true
	}
	for _, v := range r.base.Recent {
		if rec.Decoded != nil && v.RecordID == rec.Decoded.ID {
			v.Duplicate = v.Pos != rec.Pos
			return v, true
		}
	}
	return state.Verdict{}, false
}

func (e *Entry) setVerdict(v state.Verdict, known bool) {
	switch {
	case !known:
		e.Result = Undetermined
	case v.Duplicate:
		e.Result, e.DuplicateOf = Duplicate, v.Pos.String()
	case v.Accepted:
		e.Result = Accepted
	default:
		e.Result, e.Reason = Refused, v.Reason
	}
	if v.Winner.Revision > 0 {
		e.Winner = &Winner{Author: v.Winner.Author, Revision: v.Winner.Revision, At: v.Winner.At.UTC()}
	}
}

func (e *Entry) setDetails(rec Record) {
	switch r := rec.Decoded; {
	case r.Edit != nil:
		e.Kind, e.Note = Edit, r.Edit.Note
	case r.Form != nil:
		e.Kind, e.Note = Form, r.Form.Reason
		e.Subject = groupName(rec.Pos.Fence())
		e.Detail = formDetail(r.Form)
	case r.Retire != nil:
		e.Kind, e.Note, e.Subject = Retire, r.Retire.Reason, groupName(r.Retire.Group)
	case r.Release != nil:
		e.Kind, e.Note, e.Subject = Release, r.Release.Evidence, "vm/"+r.Release.VM
		e.Detail = "held by " + groupName(r.Release.Fence)
	case r.Join != nil:
		e.Kind, e.Subject = Join, "daemon/"+r.Join.Daemon
		e.Detail = fmt.Sprintf("at %s in %s, boot %s", r.Join.Addr, r.Join.FailureDomain, r.Join.BootID)
	case r.Leave != nil:
		e.Kind, e.Note, e.Subject = Leave, r.Leave.Reason, "daemon/"+r.Leave.Daemon
		e.Detail = "boot " + r.Leave.BootID
	case r.Open != nil:
		e.Kind, e.Detail = Open, "builds on position "+r.Open.Base.String()
	}
}

func formDetail(f *state.Form) string {
	s := fmt.Sprintf("pool %s, %s %s, on", f.Pool, f.Model, f.Version)
	for _, m := range f.Members {
		s += " " + m.VM
	}
	for _, id := range f.Replaces {
		s += ", replaces " + groupName(id)
	}
	return s
}

func groupName(id uint64) string { return fmt.Sprintf("group/%d", id) }
