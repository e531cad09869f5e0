package operate

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
)

// Stamp identifies the last write of a row.
type Stamp struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Position string    `json:"position"`
}

// PoolRow is a pool with its stamp.
type PoolRow struct {
	Pool  tablefile.Pool `json:"pool"`
	Stamp Stamp          `json:"stamp"`
}

// RouteRow is a route with its stamp.
type RouteRow struct {
	Route tablefile.Route `json:"route"`
	Stamp Stamp           `json:"stamp"`
}

// Tables holds both tables as seen by one daemon.
type Tables struct {
	Position string     `json:"position"`
	Pools    []PoolRow  `json:"pools"`
	Routes   []RouteRow `json:"routes"`
}

// File returns the rows without their stamps.
func (t Tables) File() tablefile.File {
	var f tablefile.File
	for _, p := range t.Pools {
		f.Pools = append(f.Pools, p.Pool)
	}
	for _, r := range t.Routes {
		f.Routes = append(f.Routes, r.Route)
	}
	return f
}

// Tables returns both tables as seen by this daemon.
func (s *Service) Tables() Tables {
	t := Tables{Position: s.opts.View.Position().String()}
	for _, row := range s.opts.View.Pools() {
		t.Pools = append(t.Pools, PoolRow{Pool: tablefile.FromPool(row.Pool), Stamp: stampOf(row.Stamp)})
	}
	for _, row := range s.opts.View.Routes() {
		t.Routes = append(t.Routes, RouteRow{Route: tablefile.FromRoute(row.Route), Stamp: stampOf(row.Stamp)})
	}
	return t
}

func stampOf(st state.Stamp) Stamp {
	return Stamp{Revision: st.Revision, Author: st.Author, At: st.At.UTC(), Position: st.Pos.String()}
}

// AuditHeader tells which part of the control stream an audit trail covers.
type AuditHeader struct {
	// Begin is the position of the oldest record that the log keeps.
	Begin string `json:"begin"`
	// Snapshot is the position of the snapshot that the trail is based on; empty if
	// the trail starts with the stream or there is no snapshot to start from.
	Snapshot string `json:"snapshot,omitempty"`
	// Complete is set if the log has dropped no records before Begin.
	Complete bool `json:"complete"`
	// End is the position of the last record; a request for later entries gives it
	// as Filter.After.
	End string `json:"end"`
}

// AuditRequest selects entries of the audit trail.
type AuditRequest struct {
	audit.Filter
	// Wait is how long to wait for records after Filter.After, if it is set.
	Wait time.Duration
}

// Audit returns the selected entries, oldest first.
func (s *Service) Audit(ctx context.Context, req AuditRequest) (AuditHeader, []audit.Entry, error) {
	if req.Wait < 0 || req.Wait > MaxWait {
		return AuditHeader{}, nil, fault.Invalid("wait", "use up to "+MaxWait.String(), "wait time %s is out of range", req.Wait)
	}
	if req.After != nil && req.Wait > 0 {
		s.waitPast(ctx, *req.After, req.Wait)
	}
	trail, err := s.opts.Control.AuditTrail(ctx)
	if err != nil {
		return AuditHeader{}, nil, err
	}
	return headerOf(trail), req.Filter.Apply(audit.Entries(trail)), nil
}

// waitPast waits until the view is past pos, at most for the given time.
func (s *Service) waitPast(ctx context.Context, pos state.Position, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	next := state.Position{Epoch: pos.Epoch, Offset: pos.Offset + 1}
	_ = s.opts.View.WaitPosition(ctx, next) // a time-out is no error: the response has no entries
}

func headerOf(t audit.Trail) AuditHeader {
	h := AuditHeader{Begin: t.Begin.String(), Complete: t.Base != nil && !t.Base.Started}
	if t.Base != nil && t.Base.Started {
		h.Snapshot = t.Base.Pos.String()
	}
	if n := len(t.Records); n > 0 {
		h.End = t.Records[n-1].Pos.String()
	}
	return h
}
