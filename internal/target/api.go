// Package target is the client of engines and plain services. It speaks their
// published HTTP protocol, keeps their connections, and never repeats a request
// by itself: whether to retry is decided elsewhere.
package target

// Headers that travel with each request to a target and back.
const (
	// HeaderRequestID carries the request's id; a target echoes it.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttemptID carries the attempt's id, new for each try.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderIdempotencyKey carries the caller's key, if any.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPriority carries the route's priority, 0 first.
	HeaderPriority = "X-Priority"
	// HeaderWorkspace carries the caller's workspace.
	HeaderWorkspace = "X-Workspace"
)

// The engine's HTTP protocol, on each VM:
//
//	GET  /v1/report   -> Report
//	POST /v1/orders   Order -> 202; 409 if the engine checks fencing numbers and has seen a later one
//	POST /v1/generate GenerateRequest -> server-sent events (leader of a ready group only)
//
// A stream has one event per token: "id: N" (from 1), "data: " + Token. The
// last event is "event: end" with End. Closing the connection cancels. An
// engine that can't take the request answers 503 before running it, with header
// X-Not-Run: true. A plain service answers any other path as it likes.
type (
	// Report is what a VM says of itself.
	Report struct {
		VM      string      `json:"vm"`
		BootID  string      `json:"boot_id"`
		State   EngineState `json:"state"`
		Group   uint64      `json:"group"`
		Fence   uint64      `json:"fence"`
		Rank    int         `json:"rank"`
		Model   string      `json:"model"`
		Version string      `json:"version"`
		// Inflight and Queued lag by the engine's reporting interval.
		Inflight int `json:"inflight"`
		Queued   int `json:"queued"`
		// StepMs is the recent time between tokens, in milliseconds; 0 if idle.
		StepMs float64 `json:"step_ms"`
		// Cached are weights that need no new fetch, as "model@version".
		Cached []string `json:"cached,omitempty"`
		// Draining means that the VM asks for no new work.
		Draining bool `json:"draining,omitempty"`
	}
	// Order tells a VM what to run.
	Order struct {
		ID   string    `json:"id"`
		Kind OrderKind `json:"kind"`
		// Fence is the group's fencing number and identity.
		Fence   uint64   `json:"fence"`
		Model   string   `json:"model,omitempty"`
		Version string   `json:"version,omitempty"`
		Rank    int      `json:"rank"`
		Members []string `json:"members,omitempty"` // addresses in rank order
	}
	// GenerateRequest asks for tokens.
	GenerateRequest struct {
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		// ResumeFrom is the number of tokens that were already delivered.
		ResumeFrom int `json:"resume_from,omitempty"`
	}
	// Token is the data of one token event.
	Token struct {
		Text string `json:"text"`
	}
	// End is the data of the last event.
	End struct {
		RequestID string `json:"request_id"`
		Tokens    int    `json:"tokens"`
	}
)

// EngineState is what an engine does.
type EngineState string

// The states of an engine.
const (
	EngineFree    EngineState = "free"
	EngineLoading EngineState = "loading"
	EngineReady   EngineState = "ready"
)

// OrderKind is what an order asks for.
type OrderKind string

// The orders that engines take.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// reportPath is where a target reports on itself.
const reportPath = "/v1/report"

// HeaderNotRun on a target's refusal says that the request did not run.
const HeaderNotRun = "X-Not-Run"
