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

// testOptions returns options with short timings and two VMs in one fabric domain.
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

func startFleet(t *testing.T, o Options) *Fleet {
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

// waitFor polls a condition for at most 20 s.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		must.True(t, time.Now().Before(deadline), must.Sprint("condition not met within 20 s"))
		time.Sleep(time.Millisecond)
	}
}

func getReport(t *testing.T, addr string) target.Report {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/v1/report")
	must.NoError(t, err)
	defer resp.Body.Close()
	var r target.Report
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&r))
	return r
}

func sendOrder(t *testing.T, addr string, o target.Order) int {
	t.Helper()
	body, err := json.Marshal(o)
	must.NoError(t, err)
	resp, err := http.Post("http://"+addr+"/v1/orders", "application/json", bytes.NewReader(body))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// formGroup forms one group of all VMs and waits until all of them are ready and
// the leader misses none. It returns the leader's address.
func formGroup(t *testing.T, f *Fleet, fencingToken uint64) string {
	t.Helper()
	var addrs []string
	for _, v := range f.VMs() {
		addrs = append(addrs, v.Addr)
	}
	for rank, a := range addrs {
		o := target.Order{Kind: target.OrderLoad, Fence: fencingToken, Model: "m", Version: "1", Rank: rank, Members: addrs}
		must.Eq(t, http.StatusAccepted, sendOrder(t, a, o))
	}
	for _, a := range addrs {
		waitFor(t, func() bool { return getReport(t, a).State == target.EngineReady })
	}
	waitFor(t, func() bool {
		return f.Journal().Count(journal.MemberRestored) == f.Journal().Count(journal.MemberMissing)
	})
	return addrs[0]
}

// streamResponse is a response as the caller received it.
type streamResponse struct {
	status      int
	notExecuted bool
	id          string
	tokens      map[int]string
	end         *target.End
	err         error // set if the stream was truncated
}

func (r streamResponse) complete() bool {
	return r.status == http.StatusOK && r.err == nil && r.end != nil
}

// text returns the received tokens, of which first is the number of the first one.
func (r streamResponse) text(first int) string {
	var b strings.Builder
	for i := first; i < first+len(r.tokens); i++ {
		b.WriteString(r.tokens[i])
	}
	return b.String()
}

func postGenerate(ctx context.Context, addr, id string, r target.GenerateRequest) (*http.Response, error) {
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

func generate(addr, id string, r target.GenerateRequest) streamResponse {
	resp, err := postGenerate(context.Background(), addr, id, r)
	if err != nil {
		return streamResponse{err: err}
	}
	defer resp.Body.Close()
	response := streamResponse{
		status: resp.StatusCode, id: resp.Header.Get(target.HeaderRequestID),
		notExecuted: resp.Header.Get(target.HeaderNotRun) != "", tokens: map[int]string{},
	}
	response.err = response.readEvents(resp.Body)
	return response
}

func (r *streamResponse) readEvents(body io.Reader) error {
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
			r.end = &target.End{}
			if err := json.Unmarshal([]byte(value), r.end); err != nil {
				return err
			}
		case name == "data":
			var tok target.Token
			if err := json.Unmarshal([]byte(value), &tok); err != nil {
				return err
			}
			r.tokens[id] = tok.Text
		}
	}
	return lines.Err()
}

func entriesOf(f *Fleet, event journal.Event) []journal.Entry {
	var out []journal.Entry
	for _, e := range f.Journal().Since(0) {
		if e.Event == event {
			out = append(out, e)
		}
	}
	return out
}

func injectAction(t *testing.T, f *Fleet, vm string, action machines.Action) {
	t.Helper()
	n, err := f.InjectFault(FaultRequest{VMs: []string{vm}, Action: action})
	must.NoError(t, err)
	must.Eq(t, 1, n)
}

func setFaults(t *testing.T, f *Fleet, vm string, faults Faults) {
	t.Helper()
	n, err := f.InjectFault(FaultRequest{VMs: []string{vm}, Faults: &faults})
	must.NoError(t, err)
	must.Eq(t, 1, n)
}
