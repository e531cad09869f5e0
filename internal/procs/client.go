package procs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/front"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// callerTimeout is the time-out of one request of a Caller.
const callerTimeout = 60 * time.Second

// Caller is a client of one workspace. It sends requests to the daemons over
// net/http.
type Caller struct {
	http      *http.Client
	workspace string
}

// NewCaller returns a Caller of the workspace with its own connection pool.
func NewCaller(workspace string) *Caller {
	return &Caller{
		workspace: workspace,
		http:      &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

// Call is a request that a Caller sends.
type Call struct {
	Method         string // empty means POST
	Path           string // empty means /v1/generate
	Kind           string
	RequestID      string
	IdempotencyKey string
	IssuedAt       time.Time
	Body           []byte
	// Timeout is the time-out that the caller asks for; 0 means the route's deadline.
	Timeout time.Duration
}

// NewGenerateCall returns a Call that asks an engine for tokens.
func NewGenerateCall(kind, id, prompt string, tokens int) Call {
	body, _ := json.Marshal(target.GenerateRequest{Prompt: prompt, MaxTokens: tokens})
	return Call{Kind: kind, RequestID: id, Body: body}
}

// Result is the response to a Call as the caller received it.
type Result struct {
	Status int
	// Outcome is the X-Outcome header; empty if there was no response.
	Outcome   string
	RequestID string
	Replica   string
	Replayed  bool
	// Body is the response body, or of a stream the data of its named events.
	Body []byte
	// Text is the concatenated tokens of a stream.
	Text string
	// Complete is set if the body arrived in full, for a stream up to its end event.
	Complete bool
	// TimeToFirstToken and Duration are measured from the start of the request;
	// Duration is the time until the end of the response.
	TimeToFirstToken, Duration time.Duration
	// Err is a transport error, such as a truncated response.
	Err error
}

// Do sends the call to addr, a daemon's address for callers, and reads the whole
// response.
func (c *Caller) Do(ctx context.Context, addr string, call Call) Result {
	start := time.Now()
	req, err := c.request(ctx, addr, call)
	if err != nil {
		return Result{Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{Err: err, Duration: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	r := Result{
		Status: resp.StatusCode, Outcome: resp.Header.Get(front.HeaderOutcome), RequestID: resp.Header.Get(target.HeaderRequestID),
		Replica: resp.Header.Get(front.HeaderReplica), Replayed: resp.Header.Get(front.HeaderReplayed) != "",
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(resp.Body, start)
	} else {
		r.Body, r.Err = io.ReadAll(resp.Body)
		r.Complete = r.Err == nil
	}
	r.Duration = time.Since(start)
	return r
}

func (c *Caller) request(ctx context.Context, addr string, call Call) (*http.Request, error) {
	if call.Method == "" {
		call.Method = http.MethodPost
	}
	if call.Path == "" {
		call.Path = "/v1/generate"
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+callerToken(c.workspace))
	req.Header.Set(front.HeaderKind, call.Kind)
	if call.RequestID != "" {
		req.Header.Set(target.HeaderRequestID, call.RequestID)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(target.HeaderIdempotencyKey, call.IdempotencyKey)
		req.Header.Set(front.HeaderIssuedAt, fmt.Sprint(call.IssuedAt.UnixMilli()))
	}
	if call.Timeout > 0 {
		req.Header.Set(front.HeaderTimeout, fmt.Sprint(call.Timeout.Milliseconds()))
	}
	return req, nil
}

// readStream reads server-sent events until the end of the body. The stream is
// complete if its last event is the end event.
func (r *Result) readStream(body io.Reader, start time.Time) {
	lines := bufio.NewScanner(body)
	event := ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "event":
			event = value
		case name == "data" && event == "":
			if r.TimeToFirstToken == 0 {
				r.TimeToFirstToken = time.Since(start)
			}
			var tok target.Token
			if err := json.Unmarshal([]byte(value), &tok); err != nil {
				r.Err = err
				return
			}
			r.Text += tok.Text
		case name == "data":
			r.Body = append(r.Body, value...)
		}
	}
	r.Err = lines.Err()
	r.Complete = event == "end" && r.Err == nil
	if event == "error" && r.Err == nil {
		r.Err = errors.New("stream ended with an error event, but the HTTP body was not truncated")
	}
}

// Journal returns the stand-in's journal of what its targets did.
func (s *Standin) Journal() ([]journal.Entry, error) {
	resp, err := probeClient.Get(s.URL() + "/v1/journal")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out []journal.Entry
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// Post sends a JSON body, such as a fault request, to a path of the stand-in.
func (s *Standin) Post(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := probeClient.Post(s.URL()+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("POST %s: status %d: %s", path, resp.StatusCode, text)
	}
	return nil
}
