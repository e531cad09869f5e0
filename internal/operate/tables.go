package operate

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
)

// Stamp says who wrote a row last.
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

// Tables are both tables as one daemon sees them.
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

// Tables returns both tables.
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

// AuditHeader says what an audit trail covers.
type AuditHeader struct {
	// Begin is the oldest position that the log still keeps.
	Begin string `json:"begin"`
	// Snapshot is the position of the snapshot that the reading starts from;
	// empty at the stream's start.
	Snapshot string `json:"snapshot,omitempty"`
	// Complete means that nothing was dropped before Begin.
	Complete bool `json:"complete"`
	// End is the last position read; ask for what comes after it.
	End string `json:"end"`
}

// AuditRequest selects entries of the audit trail.
type AuditRequest struct {
	audit.Filter
	// Wait is how long to wait for entries after Filter.After, if it is set.
	Wait time.Duration
}

// Audit returns the selected entries, oldest first.
func (s *Service) Audit(ctx context.Context, req AuditRequest) (AuditHeader, []audit.Entry, error) {
	if req.Wait < 0 || req.Wait > MaxWait {
		return AuditHeader{}, nil, fault.Invalid("wait", "use up to "+MaxWait.String(), "%s is out of range", req.Wait)
	}
	if req.After != nil && req.Wait > 0 {
		s.awaitAfter(ctx, *req.After, req.Wait)
	}
	trail, err := s.opts.Control.AuditTrail(ctx)
	if err != nil {
		return AuditHeader{}, nil, err
	}
	return headerOf(trail), req.Filter.Apply(audit.Entries(trail)), nil
}

// awaitAfter waits until the view has moved beyond pos, or for the given time.
func (s *Service) awaitAfter(ctx context.Context, pos state.Position, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	next := state.Position{Epoch: pos.Epoch, Offset: pos.Offset + 1}
	_ = s.opts.View.WaitPosition(ctx, next) // an empty answer after the wait is no error
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
