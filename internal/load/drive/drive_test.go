package drive

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/service"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// planTemplate is a plan; FORM stands for the form of its requests.
const planTemplate = `
name = "p"
duration = "400ms"
[groups]
size = 1
[[workspace]]
name = "w"
token = "t"
weight = 1
[[kind]]
name = "k"
form = "FORM"
path = "/orders"
rate = 200
keyed = 1
min_tokens = 1
max_tokens = 5
`

type runner interface {
	Run(ctx context.Context) error
}

// runUntilCleanup runs r in the background until the test ends.
func runUntilCleanup(t *testing.T, r runner) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
}

// runPlan runs a plan with requests of the given form and the given events.
func runPlan(t *testing.T, form load.Form, events string, o Options) load.Result {
	t.Helper()
	text := bytes.ReplaceAll([]byte(planTemplate), []byte("FORM"), []byte(form))
	p, err := load.ParsePlan("p", append(text, events...))
	must.NoError(t, err)
	o.Plan = p
	d, err := New(o)
	must.NoError(t, err)
	r, err := d.Run(context.Background())
	must.NoError(t, err)
	return r
}

func newServices(t *testing.T) *service.Fleet {
	t.Helper()
	f, err := service.New(service.Options{
		Control: "127.0.0.1:0", VMs: []platform.VM{{ID: "s"}}, Capacity: capacity.Settings{ColdLimit: 1000, WarmLimit: 1000},
	})
	must.NoError(t, err)
	runUntilCleanup(t, f)
	return f
}

func TestServiceFaultsAreClassified(t *testing.T) {
	tests := []struct {
		name   string
		faults service.Faults
		class  load.Class
		all    bool // all requests are of this class; if not, the others are answered
	}{
		{"healthy", service.Faults{}, load.Answered, true},
		{"refuses every second request", service.Faults{RefuseEvery: 2}, load.NotRun, false},
		{"closes the connection after the run", service.Faults{CloseOnNth: 1, CloseAfterRun: true}, load.Unknown, true},
		{"swaps responses", service.Faults{SwapResponseEvery: 2}, load.Wrong, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newServices(t)
			_, err := f.InjectFault(service.FaultRequest{Faults: &tc.faults})
			must.NoError(t, err)
			k := runPlan(t, load.Call, "", Options{DaemonAddrs: []string{f.VMs()[0].Addr}}).Kinds[0]
			must.Positive(t, k.CountOf(tc.class))
			must.Eq(t, tc.all, k.CountOf(tc.class) == k.Offered)
			must.Eq(t, k.Offered, k.CountOf(tc.class)+k.CountOf(load.Answered)*boolToInt(tc.class != load.Answered))
		})
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func TestUnreachableDaemonIsSkipped(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	f := newServices(t)
	k := runPlan(t, load.Call, "", Options{DaemonAddrs: []string{ln.Addr().String(), f.VMs()[0].Addr}}).Kinds[0]
	must.Eq(t, k.Offered, k.CountOf(load.Answered))
	k = runPlan(t, load.Call, "", Options{DaemonAddrs: []string{ln.Addr().String()}}).Kinds[0]
	must.Eq(t, k.Offered, k.CountOf(load.Unreachable))
}

func TestStreamsEventsAndGroupSamples(t *testing.T) {
	f, err := engine.New(engine.Options{
		Control: "127.0.0.1:0", VMs: []platform.VM{{ID: "e"}},
		Timing:   engine.Timing{Step: time.Millisecond, Load: time.Millisecond},
		Capacity: capacity.Settings{ColdLimit: 1000, WarmLimit: 1000},
	})
	must.NoError(t, err)
	runUntilCleanup(t, f)
	addr := f.VMs()[0].Addr
	order := target.Order{Kind: target.OrderLoad, Fence: 1, Model: "m", Version: "1", Members: []string{addr}}
	control := target.NewControlClient()
	t.Cleanup(control.Close)
	must.NoError(t, control.SendOrder(context.Background(), addr, order))
	for {
		r, err := control.Report(context.Background(), addr)
		must.NoError(t, err)
		if r.State == target.EngineReady {
			break
		}
		time.Sleep(time.Millisecond)
	}
	events := `
[[event]]
at = "200ms"
name = "kill"
server = "engines"
path = "/v1/faults"
body = '{"action": "kill"}'
`
	r := runPlan(t, load.Generate, events, Options{
		DaemonAddrs: []string{addr}, EngineURLs: []string{f.URL()}, Servers: []Server{{Name: "engines", URL: f.URL()}},
	})
	k := r.Kinds[0]
	must.Positive(t, k.CountOf(load.Answered))
	must.Positive(t, k.CountOf(load.Unreachable))
	must.Eq(t, 0, k.CountOf(load.Wrong))
	must.Eq(t, k.CountOf(load.Answered), k.ResponseTime.Count)
	must.Positive(t, k.BetweenTokens.Count)
	must.Len(t, 1, r.Events)
	must.Eq(t, "status 200", r.Events[0].Response)
	must.Eq(t, 1, r.Groups.Expected)
	must.Positive(t, r.Groups.DowntimeS)
}

func TestNewRejectsEventWithUnknownServer(t *testing.T) {
	p := load.Plan{Events: []load.Event{{Server: "engines"}}}
	_, err := New(Options{Plan: p, DaemonAddrs: []string{"127.0.0.1:1"}})
	must.True(t, fault.Is(err, fault.BadInput))
}
