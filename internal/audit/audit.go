// Package audit turns the control stream into entries that say who changed
// what, when, from which revision, and whether the fold accepted it. It is
// pure: the records and a state to start from come in, entries go out.
package audit

import (
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Kind is the kind of a record.
type Kind string

// The kinds of entry.
const (
	Edit    Kind = "edit"
	Form    Kind = "form"
	Retire  Kind = "retire"
	Release Kind = "release"
	Join    Kind = "join"
	Leave   Kind = "leave"
	// Open is the first record that counts after the log was set up anew.
	Open Kind = "open"
	// Undecodable is a record that cannot be decoded.
	Undecodable Kind = "garbled"
)

// Result is what became of a record.
type Result string

// The results.
const (
	Accepted  Result = "accepted"
	Refused   Result = "refused"
	Duplicate Result = "duplicate"
	// Undetermined means that the record is older than the snapshot that the
	// reading starts from, and too old for that snapshot to know its verdict.
	Undetermined Result = "undetermined"
)

// Record is one record of the stream as it was read.
type Record struct {
	Pos state.Position
	// AppendedAt is the log's clock at the append.
	AppendedAt time.Time
	// Decoded is nil if the record cannot be decoded.
	Decoded *state.Record
}

// Trail is a reading of the stream, as far back as the log keeps it.
type Trail struct {
	// Begin is the position of the oldest record that is kept.
	Begin state.Position
	// Base is the state to start from: empty at the stream's start, else the
	// oldest snapshot that reaches Begin; nil if there is none.
	Base    *state.State
	Records []Record
}

// Entry is one line of the audit trail.
type Entry struct {
	Position string    `json:"position"`
	At       time.Time `json:"at"`
	Kind     Kind      `json:"kind"`
	Author   string    `json:"author"`
	RecordID string    `json:"record"`
	Result   Result    `json:"result"`
	Reason   string    `json:"reason,omitempty"`
	// Winner names the author and revision that a refused edit lost to.
	Winner *Winner `json:"won_by,omitempty"`
	// Subject is the group, VM or daemon that the record is about.
	Subject string      `json:"subject,omitempty"`
	Note    string      `json:"note,omitempty"`
	Rows    []RowChange `json:"rows,omitempty"`
	Detail  string      `json:"detail,omitempty"`
	// DuplicateOf is the position of the record that this one repeats.
	DuplicateOf string `json:"duplicates,omitempty"`
	pos         state.Position
}

// Winner is the write that a refused edit lost to.
type Winner struct {
	Author   string    `json:"author"`
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
}

// RowChange is one row of an edit.
type RowChange struct {
	// Name is "pool/NAME" or "route/NAME".
	Name string `json:"name"`
	// Base is the revision that the operator saw, Revision the one that the
	// accepted edit made; 0 means no row.
	Base     uint64              `json:"base"`
	Revision uint64              `json:"revision,omitempty"`
	Dropped  bool                `json:"dropped,omitempty"`
	Fields   []table.FieldChange `json:"fields,omitempty"`
}

// Entries returns the trail's entries, oldest first.
func Entries(t Trail) []Entry {
	r := reader{base: t.Base}
	if t.Base != nil {
		r.state = t.Base.Clone()
	}
	out := make([]Entry, 0, len(t.Records))
	for _, rec := range t.Records {
		out = append(out, r.entry(rec))
	}
	return out
}

// reader folds the trail along, so that each entry is told from the state as
// it stood at its position.
type reader struct {
	base  *state.State
	state *state.State
}

func (r *reader) entry(rec Record) Entry {
	e := Entry{pos: rec.Pos, Position: rec.Pos.String(), At: rec.AppendedAt.UTC(), Kind: Undecodable}
	if rec.Decoded != nil {
		e.Author, e.RecordID = rec.Decoded.Author, rec.Decoded.ID
		e.describe(rec)
	}
	before := r.rows(rec)
	verdict, known := r.verdict(rec)
	e.judge(verdict, known)
	if rec.Decoded != nil && rec.Decoded.Edit != nil {
		e.Rows = rows(rec.Decoded.Edit, before, verdict.Accepted)
	}
	return e
}

// verdict folds the record, or looks up what the base knows of one before it.
func (r *reader) verdict(rec Record) (state.Verdict, bool) {
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

func (e *Entry) judge(v state.Verdict, known bool) {
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

func (e *Entry) describe(rec Record) {
	switch r := rec.Decoded; {
	case r.Edit != nil:
		e.Kind, e.Note = Edit, r.Edit.Note
	case r.Form != nil:
		e.Kind, e.Note = Form, r.Form.Reason
		e.Subject = group(rec.Pos.Fence())
		e.Detail = describeForm(r.Form)
	case r.Retire != nil:
		e.Kind, e.Note, e.Subject = Retire, r.Retire.Reason, group(r.Retire.Group)
	case r.Release != nil:
		e.Kind, e.Note, e.Subject = Release, r.Release.Evidence, "vm/"+r.Release.VM
		e.Detail = "held by " + group(r.Release.Fence)
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

func describeForm(f *state.Form) string {
	s := fmt.Sprintf("pool %s, %s %s, on", f.Pool, f.Model, f.Version)
	for _, m := range f.Members {
		s += " " + m.VM
	}
	for _, id := range f.Replaces {
		s += ", replaces " + group(id)
	}
	return s
}

func group(id uint64) string { return fmt.Sprintf("group/%d", id) }
