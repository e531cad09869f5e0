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

// callerTimeout bounds one exchange of a test's caller.
const callerTimeout = 60 * time.Second

// Caller sends requests to daemons the way a franchise's client does, over
// the standard library's HTTP client.
type Caller struct {
	http      *http.Client
	workspace string
}

// NewCaller returns a caller of the workspace with connections of its own.
func NewCaller(workspace string) *Caller {
	return &Caller{
		workspace: workspace,
		http:      &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

// Call is one request of a caller.
type Call struct {
	Method         string // POST if empty
	Path           string // the token request's path if empty
	Kind           string
	RequestID      string
	IdempotencyKey string
	IssuedAt       time.Time
	Body           []byte
	// Timeout is the caller's own deadline; 0 leaves the route's.
	Timeout time.Duration
}

// NewGenerateCall returns a call for tokens.
func NewGenerateCall(kind, id, prompt string, tokens int) Call {
	body, _ := json.Marshal(target.GenerateRequest{Prompt: prompt, MaxTokens: tokens})
	return Call{Kind: kind, RequestID: id, Body: body}
}

// Result is what a caller saw of an answer.
type Result struct {
	Status int
	// Outcome is the answer's X-Outcome; empty if no answer came.
	Outcome   string
	RequestID string
	Replica   string
	Replayed  bool
	// Body is the raw body; Text the tokens of a stream.
	Body []byte
	Text string
	// Complete means that the answer came to its proper end.
	Complete bool
	// TimeToFirstToken is the time to the first token, Duration the time to the end.
	TimeToFirstToken, Duration time.Duration
	// Err is a transport error, such as a cut answer.
	Err error
}

// Do sends the call to the daemon's front door and reads the whole answer.
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

// readStream reads server-sent events up to the end event and HTTP's own end.
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
		r.Err = errors.New("a cut stream came to a proper end of the HTTP body")
	}
}

// Journal returns what the stand-in's targets really did.
func (s *Standin) Journal() ([]journal.Entry, error) {
	resp, err := probes.Get(s.URL() + "/v1/journal")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out []journal.Entry
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// Post sends a JSON body to the stand-in, such as a fault.
func (s *Standin) Post(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := probes.Post(s.URL()+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s answered %d: %s", path, resp.StatusCode, text)
	}
	return nil
}
