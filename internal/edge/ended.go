package edge

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/relay"
)

// endCheckTimeout bounds the call that tells whether an engine has ended. A host refuses
// it within a round trip; one that is cut off does not answer.
const endCheckTimeout = 150 * time.Millisecond

// Probe is what a call to the address of an engine has shown.
type Probe uint8

// The results of a probe.
const (
	// ProbeSilent means that nothing answered in time.
	ProbeSilent Probe = iota
	// ProbeRefused means that the host refuses connections there.
	ProbeRefused
	// ProbeReplaced means that another engine answers there.
	ProbeReplaced
	// ProbeAnswered means that the engine answers.
	ProbeAnswered
)

// endCheck finds out whether engines that broke off an attempt have ended.
type endCheck struct {
	// listed returns the engine with an id as the store lists it.
	listed func(id string) (*catalog.Engine, bool)
	// probe calls the engine's address.
	probe func(ctx context.Context, e *catalog.Engine) Probe
	// calls joins the probes of one incarnation, since all attempts at an engine break off
	// together.
	calls singleflight.Group
}

// check reports whether the incarnation of an engine has ended. One that is cut off, whose
// host does not answer, may go on.
func (c *endCheck) check(ctx context.Context, e *catalog.Engine) relay.EngineEnd {
	listed, known := c.listed(e.ID)
	if known && listed.StartUnixMS > e.StartUnixMS {
		return relay.EngineEnd{Ended: true, Evidence: "started again"}
	}
	announced := !known || listed.Draining
	result, _, _ := c.calls.Do(e.ID+"/"+strconv.FormatInt(e.StartUnixMS, 10), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endCheckTimeout)
		defer cancel()
		return c.probe(ctx, e), nil
	})
	switch result {
	case ProbeRefused:
		return relay.EngineEnd{Ended: true, Announced: announced, Evidence: "refuses connections"}
	case ProbeReplaced:
		return relay.EngineEnd{Ended: true, Announced: announced, Evidence: "another engine answers at its address"}
	case ProbeAnswered:
		return relay.EngineEnd{Announced: announced, Evidence: "answers"}
	default:
		return relay.EngineEnd{Undecided: true, Announced: announced, Evidence: "does not answer"}
	}
}
