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
	// retryInterval is the time between two attempts of retry.
	retryInterval = 50 * time.Millisecond
	prompt        = "Quote 40 rolls of acoustic underlay for Thiès"
	tokenCount    = 6
)

// waitReady waits until every daemon is ready and all have joined.
func (d *Demo) waitReady(ctx context.Context) error {
	for _, dm := range d.daemons {
		url := "http://" + dm.CallersAddr() + front.PathReady
		err := retry(ctx, func() error {
			resp, err := http.Get(url) //nolint:noctx // loopback; ctx ends the retries
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode != http.StatusOK {
				return fault.New(fault.Unavailable, "wait", "daemon is not ready: GET %s: status %d", url, resp.StatusCode)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	if err := retry(ctx, func() error { return d.checkJoined(ctx) }); err != nil {
		return err
	}
	d.printf("%d daemons are ready and have joined.\n", len(d.daemons))
	return nil
}

// checkJoined returns nil if the join records of all daemons have been accepted.
func (d *Demo) checkJoined(ctx context.Context) error {
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

// retry calls fn until it succeeds or ctx is done.
func retry(ctx context.Context, fn func() error) error {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		err := fn()
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, err, "run it again on a less busy machine", "demonstration timed out")
		}
	}
}

// applyTables submits the pool and the route as one edit and waits until all daemons
// have applied it.
func (d *Demo) applyTables(ctx context.Context) error {
	file, err := tablefile.Parse("demo tables", []byte(demoTables))
	if err != nil {
		return err
	}
	resp, err := d.operator.Apply(ctx, operate.ApplyRequest{
		Note: "demonstration", Wait: tomlfile.Duration(5 * time.Second),
		Changes: []operate.Change{{Base: "0", SetPool: &file.Pools[0]}, {Base: "0", SetRoute: &file.Routes[0]}},
	})
	if err != nil {
		return err
	}
	if !resp.Accepted || resp.Propagation == nil {
		return fault.New(fault.Conflict, "report this", "edit was refused: %s", resp.Reason)
	}
	d.printf("Operator awa applied pool assistant and route quotes: accepted at %s, in force on %d of %d daemons.\n",
		resp.Position, resp.Propagation.Applied, resp.Propagation.Daemons)
	return nil
}

// sendRequest sends the prompt through the last daemon and retries until a group
// serves it.
func (d *Demo) sendRequest(ctx context.Context) error {
	d.printf("A caller of workspace %s sends the prompt %q.\n", workspace, prompt)
	return retry(ctx, func() error { return d.trySendRequest(ctx) })
}

// trySendRequest sends the prompt once and prints the response.
func (d *Demo) trySendRequest(ctx context.Context) error {
	body, err := json.Marshal(target.GenerateRequest{Prompt: prompt, MaxTokens: tokenCount})
	if err != nil {
		return err
	}
	url := "http://" + d.daemons[len(d.daemons)-1].CallersAddr() + dispatch.GeneratePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+d.callerToken)
	req.Header.Set(front.HeaderKind, "quote")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, "wait", "POST %s: status %d", dispatch.GeneratePath, resp.StatusCode)
	}
	return d.printResponse(resp)
}

// printResponse prints the streamed response. It fails if the end event is missing.
func (d *Demo) printResponse(resp *http.Response) error {
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	complete := false
	for lines.Scan() {
		if lines.Text() == "event: end" {
			complete = true
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || complete {
			continue
		}
		var tok target.Token
		if err := json.Unmarshal([]byte(data), &tok); err != nil {
			return err
		}
		text.WriteString(tok.Text)
	}
	if err := lines.Err(); err != nil || !complete {
		return fault.New(fault.Interrupted, "run it again", "response stream ended before its end event: %v", err)
	}
	d.printf("Complete response of %d tokens: %s\n", tokenCount, strings.TrimSpace(text.String()))
	d.printf("Request %s was served by %s.\n", resp.Header.Get(target.HeaderRequestID), resp.Header.Get(front.HeaderReplica))
	return nil
}

// printGroups prints the replica groups that were formed, and by which daemons.
func (d *Demo) printGroups(ctx context.Context) error {
	entries, err := d.auditEntries(ctx, audit.Form)
	if err != nil {
		return err
	}
	for _, e := range entries {
		d.printf("Group %s, formed at %s by %s: %s.\n", e.Subject, e.Position, e.Author, e.Detail)
	}
	return nil
}

// printAudit prints the audit entries of the edits.
func (d *Demo) printAudit(ctx context.Context) error {
	entries, err := d.auditEntries(ctx, audit.Edit)
	if err != nil {
		return err
	}
	for _, e := range entries {
		d.printf("Audit: edit at %s by %s, %s: %q\n", e.Position, e.Author, e.Result, e.Note)
		for _, row := range e.Rows {
			d.printf("  %s: revision %d -> %d, %d fields\n", row.Name, row.Base, row.Revision, len(row.Fields))
		}
	}
	return nil
}

// auditEntries returns the audit entries of one kind. It fails if there are none.
func (d *Demo) auditEntries(ctx context.Context, kind audit.Kind) ([]audit.Entry, error) {
	_, entries, err := d.operator.Audit(ctx, operate.AuditRequest{Filter: audit.Filter{Kind: kind}})
	if err != nil {
		return nil, err
	}
	if len(entries) == 0 {
		return nil, fault.New(fault.Internal, "report this", "audit has no entries of kind %s", kind)
	}
	return entries, nil
}
