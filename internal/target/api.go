// Package target implements the HTTP client for targets: engines and plain
// services. It manages their connections and makes one attempt per request; the
// caller decides whether to retry.
package target

// Headers of requests to targets and of their responses.
const (
	// HeaderRequestID carries the id of the request. A target echoes it in its
	// response.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttemptID carries the id of the attempt, which is new for each
	// retry.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderIdempotencyKey carries the caller's idempotency key, if any.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPriority carries the priority of the route; 0 is the highest.
	HeaderPriority = "X-Priority"
	// HeaderWorkspace carries the caller's workspace.
	HeaderWorkspace = "X-Workspace"
)

// The engine's HTTP protocol, on each VM:
//
//	GET  /v1/report   -> Report
//	POST /v1/orders   Order -> 202; 409 if the engine checks fencing tokens and has seen a higher one
//	POST /v1/generate GenerateRequest -> server-sent events (leader of a ready group only)
//
// A stream has one event per token: "id: N" (from 1), "data: " + Token. The
// last event is "event: end" with End as its data. Closing the connection cancels
// the request. An engine that cannot accept a request responds with 503 and header
// X-Not-Run: true before running it. A plain service defines its own paths and
// responses.
type (
	// Report is the state that a VM reports.
	Report struct {
		VM      string      `json:"vm"`
		BootID  string      `json:"boot_id"`
		State   EngineState `json:"state"`
		Group   uint64      `json:"group"`
		Fence   uint64      `json:"fence"`
		Rank    int         `json:"rank"`
		Model   string      `json:"model"`
		Version string      `json:"version"`
		// Inflight and Queued can be up to one reporting interval of the engine old.
		Inflight int `json:"inflight"`
		Queued   int `json:"queued"`
		// StepMs is the recent time between two tokens, in milliseconds; 0 if the
		// engine is idle.
		StepMs float64 `json:"step_ms"`
		// Cached lists the weights on the VM that need no fetch, as "model@version".
		Cached []string `json:"cached,omitempty"`
		// Draining means that the VM requests to be sent no new work.
		Draining bool `json:"draining,omitempty"`
	}
	// Order instructs a VM to load or unload a model.
	Order struct {
		ID   string    `json:"id"`
		Kind OrderKind `json:"kind"`
		// Fence is the fencing token of the group, which is also its id.
		Fence   uint64   `json:"fence"`
		Model   string   `json:"model,omitempty"`
		Version string   `json:"version,omitempty"`
		Rank    int      `json:"rank"`
		Members []string `json:"members,omitempty"` // addresses in rank order
	}
	// GenerateRequest is the body of a request to generate tokens.
	GenerateRequest struct {
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		// ResumeFrom is the number of tokens already delivered; generation continues
		// with the next one.
		ResumeFrom int `json:"resume_from,omitempty"`
	}
	// Token is the data of a token event.
	Token struct {
		Text string `json:"text"`
	}
	// End is the data of the last event of a stream.
	End struct {
		RequestID string `json:"request_id"`
		Tokens    int    `json:"tokens"`
	}
)

// EngineState is the state of an engine.
type EngineState string

// The engine states.
const (
	EngineFree    EngineState = "free"
	EngineLoading EngineState = "loading"
	EngineReady   EngineState = "ready"
)

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// reportPath is the path of a target's report.
const reportPath = "/v1/report"

// HeaderNotRun on the response of a target states that it did not run the
// request.
const HeaderNotRun = "X-Not-Run"
