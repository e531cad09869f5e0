package operate

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/control"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

// BaseCurrent is the base of a change that stands for the row's current revision
// in the daemon's view.
const BaseCurrent = "current"

const (
	// MaxChanges bounds the changes of one edit.
	MaxChanges = 1000
	// MaxWait bounds the wait time of a request: for an edit to reach all daemons,
	// or for new audit entries.
	MaxWait = time.Minute
	// submitTimeout bounds the wait for the verdict on an edit, and for a newly
	// opened log.
	submitTimeout = 15 * time.Second
)

// ApplyRequest is an edit of the tables. Its changes are atomic: all of them take
// effect, or none.
type ApplyRequest struct {
	// RecordID identifies the edit. Requests with the same id take effect once;
	// empty means a new id.
	RecordID string   `json:"record,omitempty"`
	Note     string   `json:"note,omitempty"`
	Changes  []Change `json:"changes"`
	// Wait is how long to wait until all daemons have applied the edit.
	Wait tomlfile.Duration `json:"wait,omitempty"`
	// AllowMinority permits the edit on a daemon that does not see a majority of
	// the joined daemons. Daemons on the other side of a partition may not apply it.
	AllowMinority bool `json:"minority,omitempty"`
	// NewLog opens the epoch of a recreated log without a base state, because no
	// daemon has a state any more.
	NewLog bool `json:"new_log,omitempty"`
}

// Change sets or drops one row. Exactly one of SetPool, SetRoute, DropPool and
// DropRoute is set.
type Change struct {
	// Base is the revision that the change is based on: a number, 0 for a new row,
	// or BaseCurrent.
	Base      string           `json:"base"`
	SetPool   *tablefile.Pool  `json:"set_pool,omitempty"`
	SetRoute  *tablefile.Route `json:"set_route,omitempty"`
	DropPool  string           `json:"drop_pool,omitempty"`
	DropRoute string           `json:"drop_route,omitempty"`
}

// ApplyResponse is the verdict on an edit.
type ApplyResponse struct {
	RecordID string `json:"record"`
	Position string `json:"position"`
	Accepted bool   `json:"accepted"`
	// Duplicate is set if a record with the same id was decided before; the other
	// fields hold that verdict.
	Duplicate bool          `json:"duplicate,omitempty"`
	Reason    string        `json:"reason,omitempty"`
	Winner    *audit.Winner `json:"won_by,omitempty"`
	Rows      []RowRevision `json:"rows,omitempty"`
	// Propagation tells how many daemons have applied the edit. It is set only for
	// an accepted edit whose request had a wait time.
	Propagation *control.Propagation `json:"spread,omitempty"`
}

// RowRevision is the revision of a row after an accepted edit; 0 for a dropped one.
type RowRevision struct {
	Row      string `json:"row"`
	Revision uint64 `json:"revision"`
}

// Apply submits the edit in the author's name and returns the verdict. An edit
// that is not accepted is no error.
func (s *Service) Apply(ctx context.Context, author string, req ApplyRequest) (ApplyResponse, error) {
	if err := s.openEmptyLog(ctx, req); err != nil {
		return ApplyResponse{}, err
	}
	if err := s.checkMayEdit(req); err != nil {
		return ApplyResponse{}, err
	}
	edit, err := s.buildEdit(req)
	if err != nil {
		return ApplyResponse{}, err
	}
	rec := &state.Record{ID: req.RecordID, Author: author, At: s.opts.Now().UTC(), Edit: edit}
	if rec.ID == "" {
		rec.ID = ids.New()
	}
	submitCtx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	verdict, err := s.opts.Control.Submit(submitCtx, rec)
	if err != nil {
		return ApplyResponse{}, err
	}
	return s.response(ctx, verdict, rec, time.Duration(req.Wait)), nil
}

// openEmptyLog opens the epoch of a recreated log if the request asks for it, and
// waits until this daemon's view has reached that epoch.
func (s *Service) openEmptyLog(ctx context.Context, req ApplyRequest) error {
	if !req.NewLog {
		return nil
	}
	if err := s.opts.Control.OpenEmptyEpoch(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return s.opts.View.WaitPosition(ctx, state.Position{Epoch: state.FirstEpoch + 1})
}

// checkMayEdit refuses edits on a daemon that has not caught up or does not see a
// majority. A majority that cannot reach the log goes on serving; that is safe
// only because no edit is accepted on the minority side of a partition.
func (s *Service) checkMayEdit(req ApplyRequest) error {
	serving := s.opts.Control.ServingStatus()
	if !s.opts.Control.CaughtUp() {
		return fault.Refuse(fault.Isolated, "send the edit to another daemon", "this daemon has not caught up with the current tables: %s", serving.Reason)
	}
	if !serving.Majority && !req.AllowMinority {
		return fault.Refuse(fault.Isolated, "send the edit to a daemon on the majority side, or repeat it with --minority if the other daemons are gone for good",
			"this daemon does not see a majority of the %d joined daemons", len(s.opts.View.Daemons()))
	}
	return nil
}

func (s *Service) buildEdit(req ApplyRequest) (*state.Edit, error) {
	if len(req.Changes) == 0 || len(req.Changes) > MaxChanges {
		return nil, fault.Invalid("changes", fmt.Sprintf("send 1 to %d rows", MaxChanges), "edit changes %d rows", len(req.Changes))
	}
	if w := time.Duration(req.Wait); w < 0 || w > MaxWait {
		return nil, fault.Invalid("wait", fmt.Sprintf("use up to %s", MaxWait), "wait time %s is out of range", w)
	}
	e := &state.Edit{Note: req.Note}
	var errs []error
	for i, c := range req.Changes {
		change, err := s.buildChange(fmt.Sprintf("changes[%d]", i), c)
		errs = append(errs, err)
		e.Changes = append(e.Changes, change)
	}
	return e, errors.Join(errs...)
}

// buildChange converts the change to its stored form. The field is the name of
// the change in errors.
func (s *Service) buildChange(field string, c Change) (state.Change, error) {
	out := state.Change{DropPool: c.DropPool, DropRoute: c.DropRoute}
	set := 0
	if c.SetPool != nil {
		row := c.SetPool.Row()
		out.SetPool = &row
		set++
	}
	if c.SetRoute != nil {
		row := c.SetRoute.Row()
		out.SetRoute = &row
		set++
	}
	if c.DropPool != "" {
		set++
	}
	if c.DropRoute != "" {
		set++
	}
	if set != 1 {
		return out, fault.Invalid(field, "set exactly one of set_pool, set_route, drop_pool, drop_route", "change names %d rows", set)
	}
	base, err := s.baseRevision(field, c.Base, out)
	out.Base = base
	return out, errors.Join(err, checkRow(out))
}

func checkRow(c state.Change) error {
	switch {
	case c.SetPool != nil:
		return c.SetPool.Check()
	case c.SetRoute != nil:
		return c.SetRoute.Check()
	default:
		return nil
	}
}

// baseRevision parses the base of the change and resolves BaseCurrent.
func (s *Service) baseRevision(field, text string, c state.Change) (uint64, error) {
	if text == BaseCurrent {
		return s.currentRevision(c), nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.Invalid(field+".base", `give the revision that the change is based on, 0 for a new row, or "current"`, "%q is not a revision", text)
	}
	return n, nil
}

// currentRevision returns the revision, in this daemon's view, of the row that the
// change names; 0 if there is no such row.
func (s *Service) currentRevision(c state.Change) uint64 {
	route, pool := c.RowNames()
	if pool != "" {
		row, _ := s.opts.View.Pool(pool)
		return row.Stamp.Revision
	}
	for _, row := range s.opts.View.Routes() {
		if row.Route.Name == route {
			return row.Stamp.Revision
		}
	}
	return 0
}

// response builds the response to an edit. If wait is positive and the edit was
// accepted, it waits until all daemons have applied the edit.
func (s *Service) response(ctx context.Context, v state.Verdict, rec *state.Record, wait time.Duration) ApplyResponse {
	a := ApplyResponse{
		RecordID: rec.ID, Position: v.Pos.String(), Accepted: v.Accepted, Duplicate: v.Duplicate, Reason: v.Reason,
	}
	if v.Winner.Revision > 0 {
		a.Winner = &audit.Winner{Author: v.Winner.Author, Revision: v.Winner.Revision, At: v.Winner.At.UTC()}
	}
	if !v.Accepted {
		return a
	}
	for _, c := range rec.Edit.Changes {
		a.Rows = append(a.Rows, s.rowRevision(c))
	}
	if wait > 0 {
		waitCtx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		propagation := s.opts.Control.WaitPropagation(waitCtx, v.Pos)
		a.Propagation = &propagation
	}
	return a
}

func (s *Service) rowRevision(c state.Change) RowRevision {
	route, pool := c.RowNames()
	if pool != "" {
		return RowRevision{Row: "pool/" + pool, Revision: s.currentRevision(c)}
	}
	return RowRevision{Row: "route/" + route, Revision: s.currentRevision(c)}
}
