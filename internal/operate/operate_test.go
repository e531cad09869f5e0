package operate

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/control"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/quorum"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/view"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// fakeControl is a Control without a log: it applies submitted records directly to
// the view.
type fakeControl struct {
	view          *view.View
	servingStatus quorum.ServingStatus
	caughtUp      bool
	next          uint64
}

func (c *fakeControl) Submit(_ context.Context, rec *state.Record) (state.Verdict, error) {
	v := c.view.Apply(state.Position{Epoch: 1, Offset: c.next}, rec)
	c.next++
	return v, nil
}

func (c *fakeControl) OpenEmptyEpoch(context.Context) error { return nil }
func (c *fakeControl) WaitPropagation(context.Context, state.Position) control.Propagation {
	return control.Propagation{}
}

func (c *fakeControl) PeerReports(context.Context) []quorum.Report     { return nil }
func (c *fakeControl) AuditTrail(context.Context) (audit.Trail, error) { return audit.Trail{}, nil }
func (c *fakeControl) ServingStatus() quorum.ServingStatus             { return c.servingStatus }
func (c *fakeControl) LogAge(time.Time) time.Duration                  { return 0 }
func (c *fakeControl) CaughtUp() bool                                  { return c.caughtUp }

func TestApplyRequiresMajority(t *testing.T) {
	cases := []struct {
		name               string
		caughtUp, majority bool
		allowMinority      bool
		ok                 bool
	}{
		{"majority", true, true, false, true},
		{"no majority", true, false, false, false},
		{"no majority, allowed by the operator", true, false, true, true},
		{"not caught up", false, true, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := view.New()
			s := New(Options{View: v, Control: &fakeControl{view: v, caughtUp: c.caughtUp, servingStatus: quorum.ServingStatus{Majority: c.majority}}})
			_, err := s.Apply(t.Context(), "awa", ApplyRequest{AllowMinority: c.allowMinority, Changes: []Change{{Base: "0", DropPool: "p"}}})
			must.Eq(t, c.ok, err == nil)
			if err != nil {
				must.True(t, fault.Is(err, fault.Isolated))
				must.Eq(t, fault.NotRun, fault.As(err).Outcome)
			}
		})
	}
}

// TestStatusFetchesReplicasFromPoolHome checks that the replicas of a pool come from
// its home, whichever daemon is asked for the status: other daemons do not monitor
// the pool's VMs.
func TestStatusFetchesReplicasFromPoolHome(t *testing.T) {
	v := view.New()
	ctl := &fakeControl{view: v, caughtUp: true, servingStatus: quorum.ServingStatus{Mode: quorum.ModeServe, Majority: true}}
	live := func() []string { return []string{"a", "b"} }
	replicas := func(string) []replica.Replica { return []replica.Replica{{ID: "vm-x", Status: replica.Serving}} }
	home := New(Options{Self: "b", View: v, Control: ctl, LiveDaemons: live, Replicas: replicas})
	asked := New(Options{Self: "a", View: v, Control: ctl, LiveDaemons: live, Call: func(ctx context.Context, daemon string, req, resp wire.Message) error {
		must.Eq(t, "b", daemon)
		body, err := wire.Marshal(req)
		must.NoError(t, err)
		reply, err := home.Handlers()[req.WireType()](ctx, "a", body)
		must.NoError(t, err)
		out, err := wire.Marshal(reply)
		must.NoError(t, err)
		return wire.Unmarshal(out, resp)
	}})

	name := "p"
	for ids.Owner("pool/"+name, live()) != "b" {
		name += "p"
	}
	row := table.Pool{Name: name, Kind: table.KindService, GroupSize: 1, Limit: 1, ColdLimit: 1}
	_, err := ctl.Submit(t.Context(), &state.Record{ID: "1", Edit: &state.Edit{Changes: []state.Change{{SetPool: &row}}}})
	must.NoError(t, err)
	for _, s := range []*Service{home, asked} {
		st := s.Status(t.Context())
		must.Eq(t, "b", st.Pools[0].Home)
		must.Eq(t, []Replica{{ID: "vm-x", Status: "serving"}}, st.Pools[0].Replicas)
	}
}
