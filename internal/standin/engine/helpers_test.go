package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// testOptions are quick, with two VMs in one fabric domain.
func testOptions() Options {
	return Options{
		Control: "127.0.0.1:0",
		VMs: []platform.VM{
			{ID: "a", FailureDomain: "plateau", FabricDomain: "f"},
			{ID: "b", FailureDomain: "plateau", FabricDomain: "f"},
		},
		Timing: Timing{
			Step: time.Millisecond, Load: time.Millisecond, CachedLoad: time.Millisecond,
			Boot: time.Millisecond, MemberCheckInterval: time.Millisecond,
		},
		Capacity: capacity.Settings{ColdLimit: 4, WarmLimit: 8, GrowthPerRequest: 1, QueueLimit: 2},
	}
}

func start(t *testing.T, o Options) *Fleet {
	t.Helper()
	f, err := New(o)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return f
}

// waitFor waits for a condition that the engines reach by themselves.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		must.True(t, time.Now().Before(deadline), must.Sprint("condition was not reached"))
		time.Sleep(time.Millisecond)
	}
}

func report(t *testing.T, addr string) target.Report {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/v1/report")
	must.NoError(t, err)
	defer resp.Body.Close()
	var r target.Report
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&r))
	return r
}

func order(t *testing.T, addr string, o target.Order) int {
	t.Helper()
	body, err := json.Marshal(o)
	must.NoError(t, err)
	resp, err := http.Post("http://"+addr+"/v1/orders", "application/json", bytes.NewReader(body))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// formGroup makes one group of all VMs and waits until it is whole; it returns
// the leader's address.
func formGroup(t *testing.T, f *Fleet, fence uint64) string {
	t.Helper()
	var addrs []string
	for _, v := range f.VMs() {
		addrs = append(addrs, v.Addr)
	}
	for rank, a := range addrs {
		o := target.Order{Kind: target.OrderLoad, Fence: fence, Model: "m", Version: "1", Rank: rank, Members: addrs}
		must.Eq(t, http.StatusAccepted, order(t, a, o))
	}
	for _, a := range addrs {
		waitFor(t, func() bool { return report(t, a).State == target.EngineReady })
	}
	waitFor(t, func() bool {
		return f.Journal().Count(journal.MemberRestored) == f.Journal().Count(journal.MemberMissing)
	})
	return addrs[0]
}

// answer is a stream as a caller sees it.
type answer struct {
	status int
	notRun bool
	id     string
	tokens map[int]string
	end    *target.End
	err    error // the stream broke off
}

func (a answer) whole() bool { return a.status == http.StatusOK && a.err == nil && a.end != nil }

// text joins the tokens from number first on.
func (a answer) text(first int) string {
	var b strings.Builder
	for i := first; i < first+len(a.tokens); i++ {
		b.WriteString(a.tokens[i])
	}
	return b.String()
}

func open(ctx context.Context, addr, id string, r target.GenerateRequest) (*http.Response, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(target.HeaderRequestID, id)
	return http.DefaultClient.Do(req)
}

func generate(addr, id string, r target.GenerateRequest) answer {
	resp, err := open(context.Background(), addr, id, r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	a := answer{
		status: resp.StatusCode, id: resp.Header.Get(target.HeaderRequestID),
		notRun: resp.Header.Get(target.HeaderNotRun) != "", tokens: map[int]string{},
	}
	a.err = a.read(resp.Body)
	return a
}

func (a *answer) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	id, isEnd := 0, false
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			id, _ = strconv.Atoi(value)
		case name == "event":
			isEnd = value == "end"
		case name == "data" && isEnd:
			a.end = &target.End{}
			if err := json.Unmarshal([]byte(value), a.end); err != nil {
				return err
			}
		case name == "data":
			var tok target.Token
			if err := json.Unmarshal([]byte(value), &tok); err != nil {
				return err
			}
			a.tokens[id] = tok.Text
		}
	}
	return lines.Err()
}

func events(f *Fleet, ev journal.Event) []journal.Entry {
	var out []journal.Entry
	for _, e := range f.Journal().Since(0) {
		if e.Event == ev {
			out = append(out, e)
		}
	}
	return out
}

func breakVM(t *testing.T, f *Fleet, vm string, a machines.Action) {
	t.Helper()
	n, err := f.InjectFault(FaultRequest{VMs: []string{vm}, Action: a})
	must.NoError(t, err)
	must.Eq(t, 1, n)
}

func behave(t *testing.T, f *Fleet, vm string, b Faults) {
	t.Helper()
	n, err := f.InjectFault(FaultRequest{VMs: []string{vm}, Faults: &b})
	must.NoError(t, err)
	must.Eq(t, 1, n)
}
