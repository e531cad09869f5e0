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

// BaseCurrent stands for the revision that the daemon sees at the moment.
const BaseCurrent = "current"

const (
	// MaxChanges bounds the rows of one edit.
	MaxChanges = 1000
	// MaxWait bounds the wait for an edit to be in force everywhere.
	MaxWait = time.Minute
	// submitTimeout bounds the wait for the verdict.
	submitTimeout = 15 * time.Second
)

// ApplyRequest is an edit of the tables: all of its changes take effect, or none.
type ApplyRequest struct {
	// RecordID identifies the edit: a request sent again with the same one takes
	// effect once. Empty means a new one.
	RecordID string   `json:"record,omitempty"`
	Note     string   `json:"note,omitempty"`
	Changes  []Change `json:"changes"`
	// Wait is how long to wait until the edit is in force on all daemons.
	Wait tomlfile.Duration `json:"wait,omitempty"`
	// AllowMinority lets the edit through on a daemon that does not see most of the
	// others. Daemons on the other side may not follow it.
	AllowMinority bool `json:"minority,omitempty"`
	// NewLog opens a log that was set up anew without any state, because no
	// daemon holds one any more.
	NewLog bool `json:"new_log,omitempty"`
}

// Change sets or drops one row. Exactly one of the row fields is set.
type Change struct {
	// Base is the revision that the operator saw: a number, 0 for a new row, or
	// BaseCurrent.
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
	// Duplicate means that the record had been decided before; this is that verdict.
	Duplicate bool          `json:"duplicate,omitempty"`
	Reason    string        `json:"reason,omitempty"`
	Winner    *audit.Winner `json:"won_by,omitempty"`
	Rows      []RowRevision `json:"rows,omitempty"`
	// Propagation says on how many daemons the edit is in force; only set
	// for an accepted edit.
	Propagation *control.Propagation `json:"spread,omitempty"`
}

// RowRevision is the revision of a row after an accepted edit; 0 for a dropped one.
type RowRevision struct {
	Row      string `json:"row"`
	Revision uint64 `json:"revision"`
}

// Apply submits the edit under the author's name and returns the verdict.
func (s *Service) Apply(ctx context.Context, author string, req ApplyRequest) (ApplyResponse, error) {
	if err := s.openLog(ctx, req); err != nil {
		return ApplyResponse{}, err
	}
	if err := s.mayEdit(req); err != nil {
		return ApplyResponse{}, err
	}
	edit, err := s.edit(req)
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
	return s.answer(ctx, verdict, rec, time.Duration(req.Wait)), nil
}

// openLog opens an empty log if the operator asks for it, and waits until this
// daemon has taken it over.
func (s *Service) openLog(ctx context.Context, req ApplyRequest) error {
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

// mayEdit keeps edits on the side of the majority: the daemons of a majority
// that lost the log go on serving, because no edit can have been accepted.
func (s *Service) mayEdit(req ApplyRequest) error {
	standing := s.opts.Control.ServingStatus()
	if !s.opts.Control.CaughtUp() {
		return fault.Refuse(fault.Isolated, "ask another daemon", "this daemon has not reached the tables in force: %s", standing.Reason)
	}
	if !standing.Majority && !req.AllowMinority {
		return fault.Refuse(fault.Isolated, "ask a daemon of the other side, or repeat with --minority if the others are gone",
			"this daemon does not see most of the %d joined daemons", len(s.opts.View.Daemons()))
	}
	return nil
}

func (s *Service) edit(req ApplyRequest) (*state.Edit, error) {
	if len(req.Changes) == 0 || len(req.Changes) > MaxChanges {
		return nil, fault.Invalid("changes", fmt.Sprintf("send 1 to %d rows", MaxChanges), "%d rows", len(req.Changes))
	}
	if w := time.Duration(req.Wait); w < 0 || w > MaxWait {
		return nil, fault.Invalid("wait", fmt.Sprintf("use up to %s", MaxWait), "%s is out of range", w)
	}
	e := &state.Edit{Note: req.Note}
	var errs []error
	for i, c := range req.Changes {
		change, err := s.change(fmt.Sprintf("changes[%d]", i), c)
		errs = append(errs, err)
		e.Changes = append(e.Changes, change)
	}
	return e, errors.Join(errs...)
}

func (s *Service) change(at string, c Change) (state.Change, error) {
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
		return out, fault.Invalid(at, "set exactly one of set_pool, set_route, drop_pool, drop_route", "%d rows in one change", set)
	}
	base, err := s.base(at, c.Base, out)
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

func (s *Service) base(at, text string, c state.Change) (uint64, error) {
	if text == BaseCurrent {
		return s.revision(c), nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.Invalid(at+".base", `give the revision that you saw, 0 for a new row, or "current"`, "%q is not a revision", text)
	}
	return n, nil
}

// revision returns the revision of the row that the change names, 0 if there
// is no such row.
func (s *Service) revision(c state.Change) uint64 {
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

func (s *Service) answer(ctx context.Context, v state.Verdict, rec *state.Record, wait time.Duration) ApplyResponse {
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
		spread := s.opts.Control.WaitPropagation(waitCtx, v.Pos)
		a.Propagation = &spread
	}
	return a
}

func (s *Service) rowRevision(c state.Change) RowRevision {
	route, pool := c.RowNames()
	if pool != "" {
		return RowRevision{Row: "pool/" + pool, Revision: s.revision(c)}
	}
	return RowRevision{Row: "route/" + route, Revision: s.revision(c)}
}
