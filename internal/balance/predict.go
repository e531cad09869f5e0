// Package balance chooses the engine for a request and decides whether the request
// is admitted. Predict and Admit are pure functions. Tracker holds the estimated
// load of each engine and Demand the demand for each model, both in shards.
package balance

import (
	"math"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// Work is the size of a request.
type Work struct {
	// PromptTokens is the number of tokens to prefill before the first event, and
	// AnswerTokens the maximum number of tokens to generate.
	PromptTokens int
	AnswerTokens int
}

// Load is the load at an engine.
type Load struct {
	// InFlight is the number of requests sent and not answered completely.
	InFlight int
	// PendingTokens is the number of prompt tokens of the requests in flight without
	// a first event.
	PendingTokens int
}

// Prediction is the expected course of a request at an engine.
type Prediction struct {
	// FirstEvent is the time to the first event.
	FirstEvent time.Duration
	// Gap is the expected time between later events.
	Gap time.Duration
	// SlotWait is the part of FirstEvent that is spent waiting for a slot. Backlog
	// is the part caused by other requests: SlotWait and the prefill of their
	// prompts.
	SlotWait time.Duration
	Backlog  time.Duration
	// Residence is the time from the start of the prefill to the end of a mean answer.
	Residence time.Duration
}

// tokensPerK and pairsPerM convert the units of the published parameters.
const (
	tokensPerK = 1e3
	pairsPerM  = 1e6
)

// Predict returns the expected course of a request at a group with the given load
// that serves a model with the given TimeFactor, from the engine parameters that
// operators publish.
func Predict(spec *catalog.EngineSpec, timeFactor float64, l Load, w Work) Prediction {
	running := min(l.InFlight, spec.Slots)
	context := float64(running) * (spec.MeanPromptTokens + spec.MeanAnswerTokens/2) / tokensPerK
	step := timeFactor * (spec.StepMS + spec.PerSequenceMS*float64(running) + spec.ContextMSPerK*context)
	pass := step * float64(max(1, spec.StepsPerPass))
	prefill := timeFactor * prefillMS(spec, float64(l.PendingTokens)+float64(w.PromptTokens))
	prefill += timeFactor * attentionMS(spec, float64(w.PromptTokens))
	wait := 0.0
	if over := l.InFlight + 1 - spec.Slots; over > 0 {
		// On average, a slot becomes free each time that an answer takes divided by
		// the number of slots.
		wait = float64(over) * spec.MeanAnswerTokens * step / float64(max(1, spec.Slots))
	}
	// On average, a request arrives in the middle of a pass.
	first := wait + pass/2 + prefill + pass
	return Prediction{
		FirstEvent: fromMS(first),
		Gap:        fromMS(pass + timeFactor*prefillMS(spec, math.Min(float64(l.PendingTokens), float64(spec.PrefillChunk)))),
		SlotWait:   fromMS(wait),
		Residence:  fromMS(prefill + pass + spec.MeanAnswerTokens*step),
		Backlog:    fromMS(wait + timeFactor*prefillMS(spec, float64(l.PendingTokens))),
	}
}

// prefillMS returns the prefill time of prompt tokens at the published rate,
// without the cost of attention.
func prefillMS(spec *catalog.EngineSpec, tokens float64) float64 {
	if spec.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return tokens / spec.PrefillTokensPerSecond * 1e3
}

// attentionMS returns the attention cost of the prefill of a prompt, which grows
// with the square of the prompt's length.
func attentionMS(spec *catalog.EngineSpec, tokens float64) float64 {
	return spec.AttentionMSPerMPairs * tokens * tokens / 2 / pairsPerM
}

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
