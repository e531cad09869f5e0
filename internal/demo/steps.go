package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/dispatch"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/front"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
	"github.com/ragwortquay/ragwortquay/internal/target"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

const (
	// retryEvery is the time between two tries of a scene that waits.
	retryEvery = 50 * time.Millisecond
	prompt     = "Quote 40 rolls of acoustic underlay for Thiès"
	tokenCount = 6
)

// ready waits until every daemon wants work.
func (d *Demo) ready(ctx context.Context) error {
	for _, one := range d.daemons {
		url := "http://" + one.CallersAddr() + front.PathReady
		err := retry(ctx, func() error {
			resp, err := http.Get(url) //nolint:noctx // loopback, bounded by the scene's retries
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode != http.StatusOK {
				return fault.New(fault.Unavailable, "wait", "readiness answer %d", resp.StatusCode)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	if err := retry(ctx, func() error { return d.joined(ctx) }); err != nil {
		return err
	}
	d.say("%d daemons are ready and joined.\n", len(d.daemons))
	return nil
}

// joined returns nil once every daemon's join record is accepted.
func (d *Demo) joined(ctx context.Context) error {
	status, err := d.operator.Status(ctx)
	if err != nil {
		return err
	}
	n := 0
	for _, m := range status.Members {
		if m.Joined && m.Live {
			n++
		}
	}
	if n < len(d.daemons) {
		return fault.New(fault.Unavailable, "wait", "%d of %d daemons have joined", n, len(d.daemons))
	}
	return nil
}

// retry repeats fn until it succeeds or ctx ends.
func retry(ctx context.Context, fn func() error) error {
	timer := time.NewTicker(retryEvery)
	defer timer.Stop()
	for {
		err := fn()
		if err == nil {
			return nil
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, err, "run it again on a less busy machine", "demonstration took too long")
		}
	}
}

// apply submits both tables as one edit and waits until it is in force.
func (d *Demo) apply(ctx context.Context) error {
	file, err := tablefile.Parse("demo tables", []byte(tables))
	if err != nil {
		return err
	}
	answer, err := d.operator.Apply(ctx, operate.ApplyRequest{
		Note: "demonstration", Wait: tomlfile.Duration(5 * time.Second),
		Changes: []operate.Change{{Base: "0", SetPool: &file.Pools[0]}, {Base: "0", SetRoute: &file.Routes[0]}},
	})
	if err != nil {
		return err
	}
	if !answer.Accepted || answer.Propagation == nil {
		return fault.New(fault.Conflict, "report this", "edit was refused: %s", answer.Reason)
	}
	d.say("Operator awa applied pool assistant and route quotes: accepted at %s, in force on %d of %d daemons.\n",
		answer.Position, answer.Propagation.Applied, answer.Propagation.Daemons)
	return nil
}

// request asks for a quote through the last daemon once a group serves.
func (d *Demo) request(ctx context.Context) error {
	d.say("Caller of workspace %s asks: %q\n", workspace, prompt)
	return retry(ctx, func() error { return d.ask(ctx) })
}

func (d *Demo) ask(ctx context.Context) error {
	body, err := json.Marshal(target.GenerateRequest{Prompt: prompt, MaxTokens: tokenCount})
	if err != nil {
		return err
	}
	url := "http://" + d.daemons[len(d.daemons)-1].CallersAddr() + dispatch.GeneratePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+d.token)
	req.Header.Set(front.HeaderKind, "quote")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, "wait", "answer %d", resp.StatusCode)
	}
	return d.showAnswer(resp)
}

func (d *Demo) showAnswer(resp *http.Response) error {
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	whole := false
	for lines.Scan() {
		if lines.Text() == "event: end" {
			whole = true
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || whole {
			continue
		}
		var tok target.Token
		if err := json.Unmarshal([]byte(data), &tok); err != nil {
			return err
		}
		text.WriteString(tok.Text)
	}
	if err := lines.Err(); err != nil || !whole {
		return fault.New(fault.Interrupted, "run it again", "answer was cut: %v", err)
	}
	d.say("Answer, whole, in %d tokens: %s\n", tokenCount, strings.TrimSpace(text.String()))
	d.say("Request %s was served by %s.\n", resp.Header.Get(target.HeaderRequestID), resp.Header.Get(front.HeaderReplica))
	return nil
}

// groups shows the replica groups that were formed, and by which daemon.
func (d *Demo) groups(ctx context.Context) error {
	entries, err := d.trail(ctx, audit.Form)
	if err != nil {
		return err
	}
	for _, e := range entries {
		d.say("Group %s, formed at %s by %s: %s.\n", e.Subject, e.Position, e.Author, e.Detail)
	}
	return nil
}

// audit shows the audit record of the edit.
func (d *Demo) audit(ctx context.Context) error {
	entries, err := d.trail(ctx, audit.Edit)
	if err != nil {
		return err
	}
	for _, e := range entries {
		d.say("Audit: edit at %s by %s, %s: %q\n", e.Position, e.Author, e.Result, e.Note)
		for _, row := range e.Rows {
			d.say("  %s: revision %d -> %d, %d fields\n", row.Name, row.Base, row.Revision, len(row.Fields))
		}
	}
	return nil
}

// trail returns the audit's entries of one kind; there must be some.
func (d *Demo) trail(ctx context.Context, kind audit.Kind) ([]audit.Entry, error) {
	_, entries, err := d.operator.Audit(ctx, operate.AuditRequest{Filter: audit.Filter{Kind: kind}})
	if err != nil {
		return nil, err
	}
	if len(entries) == 0 {
		return nil, fault.New(fault.Internal, "report this", "the audit lacks records of kind %s", kind)
	}
	return entries, nil
}
