package drive

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/control"
	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
)

// fakeOperatorServer responds like the operators' server of a daemon.
type fakeOperatorServer struct {
	accept  bool
	applied chan operate.ApplyRequest
}

func (o *fakeOperatorServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	enc := json.NewEncoder(w)
	switch r.URL.Path {
	case "/v1/tables":
		_ = enc.Encode(operate.Tables{Pools: []operate.PoolRow{
			{Pool: tablefile.Pool{Name: "assistant", Limit: 5}, Stamp: operate.Stamp{Revision: 7}},
			{Pool: tablefile.Pool{Name: "other"}},
		}})
	case "/v1/status":
		_ = enc.Encode(operate.Status{Daemon: "d1", Pools: []operate.Pool{
			{
				Home: "d1",
				Groups: []operate.Group{
					{FencingToken: "5", Members: []string{"a"}}, {FencingToken: "6", Members: []string{"b"}}, {FencingToken: "7", Members: []string{"d"}},
				},
				Replicas: []operate.Replica{
					{ID: replica.GroupID(5), Status: replica.Serving.String()},
					{ID: replica.GroupID(6), Status: replica.Broken.String()},
					{ID: replica.GroupID(7), Status: replica.Draining.String()},
				},
			},
			{Home: "d2", Groups: []operate.Group{{FencingToken: "9", Members: []string{"c"}}}},
		}})
	case "/v1/apply":
		var req operate.ApplyRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		o.applied <- req
		if !o.accept {
			w.WriteHeader(http.StatusConflict)
		}
		_ = enc.Encode(operate.ApplyResponse{Accepted: o.accept, Reason: "why", Position: "1/2", Propagation: &control.Propagation{Applied: 3, Daemons: 4}})
	}
}

const editEvent = `
[[event]]
at = "50ms"
name = "take plateau out"
pools = ["assistant"]
withdrawn = ["plateau"]
`

func TestOperatorEdits(t *testing.T) {
	tests := []struct {
		name            string
		accept          bool
		response, error string
	}{
		{"accepted", true, "accepted at 1/2, in force on 3 of 4", ""},
		{"refused", false, "", "refused: why (leave the pool alone during the run)"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			o := &fakeOperatorServer{accept: tc.accept, applied: make(chan operate.ApplyRequest, 10)}
			server := httptest.NewServer(o)
			t.Cleanup(server.Close)
			// The first daemon is down: the edit is applied through the next one.
			r := runPlan(t, load.Call, editEvent, Options{
				DaemonAddrs: []string{newServices(t).VMs()[0].Addr}, OperatorURLs: []string{"http://127.0.0.1:1", server.URL},
			})
			must.Len(t, 1, r.Events)
			must.Eq(t, tc.response, r.Events[0].Response)
			must.Eq(t, tc.error, r.Events[0].Error)
			must.Eq(t, 1, len(o.applied))
			req := <-o.applied
			want := tablefile.Pool{Name: "assistant", Limit: 5, Withdrawn: []string{"plateau"}}
			must.Eq(t, []operate.Change{{Base: "7", SetPool: &want}}, req.Changes)
			must.Eq(t, 2, r.ReportedGroups.Expected)
			must.Positive(t, r.ReportedGroups.StrandedS)
		})
	}
}

func TestNewRejectsEditWithoutOperatorServer(t *testing.T) {
	p := load.Plan{Events: []load.Event{{Name: "m", Pools: []string{"assistant"}}}}
	_, err := New(Options{Plan: p, DaemonAddrs: []string{"127.0.0.1:1"}})
	must.ErrorContains(t, err, "operators")
}
