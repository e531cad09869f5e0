// Package balance decides to which engine a request goes and whether it goes
// at all. Predict and Choose are pure; Tracker holds what this daemon knows of
// each engine's load, in shards.
package balance

import (
	"math"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// Work is what a request asks of an engine.
type Work struct {
	// PromptTokens are read before the first event, AnswerTokens written at most.
	PromptTokens int
	AnswerTokens int
}

// Load is what is estimated to be under way at an engine.
type Load struct {
	// InFlight are the requests sent and not answered yet, by all daemons.
	InFlight int
	// PendingTokens are the prompt tokens of those without a first event.
	PendingTokens int
}

// Prediction is the expected course of a request at an engine.
type Prediction struct {
	// FirstEvent is the time to the first event.
	FirstEvent time.Duration
	// Gap is the usual pause between events after it.
	Gap time.Duration
	// SlotWait is the part of First that is spent waiting for a slot, Backlog the
	// part that others cause: that wait and the reading of their prompts.
	SlotWait time.Duration
	Backlog  time.Duration
}

// tokensPerK and pairsPerM scale the engine model's units.
const (
	tokensPerK = 1e3
	pairsPerM  = 1e6
)

// Predict returns the expected course of work at a group that serves a model
// with the given pace, from the engine model that operators publish.
func Predict(spec *catalog.EngineSpec, pace float64, l Load, w Work) Prediction {
	running := min(l.InFlight, spec.Slots)
	context := float64(running) * (spec.MeanPromptTokens + spec.MeanAnswerTokens/2) / tokensPerK
	step := pace * (spec.StepMS + spec.PerSequenceMS*float64(running) + spec.ContextMSPerK*context)
	pass := step * float64(max(1, spec.StepsPerPass))
	read := pace * readMS(spec, float64(l.PendingTokens)+float64(w.PromptTokens))
	read += pace * pairMS(spec, float64(w.PromptTokens))
	wait := 0.0
	if over := l.InFlight + 1 - spec.Slots; over > 0 {
		// A slot frees after an answer's time divided by the slots.
		wait = float64(over) * spec.MeanAnswerTokens * step / float64(max(1, spec.Slots))
	}
	// On the mean a request arrives in the middle of a pass.
	first := wait + pass/2 + read + pass
	return Prediction{
		FirstEvent: fromMS(first),
		Gap:        fromMS(pass + pace*readMS(spec, math.Min(float64(l.PendingTokens), float64(spec.PrefillChunk)))),
		SlotWait:   fromMS(wait),
		Backlog:    fromMS(wait + pace*readMS(spec, float64(l.PendingTokens))),
	}
}

func readMS(spec *catalog.EngineSpec, tokens float64) float64 {
	if spec.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return tokens / spec.PrefillTokensPerSecond * 1e3
}

func pairMS(spec *catalog.EngineSpec, tokens float64) float64 {
	return spec.AttentionMSPerMPairs * tokens * tokens / 2 / pairsPerM
}

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
