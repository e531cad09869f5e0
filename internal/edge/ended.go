package edge

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/relay"
)

// endCheckTimeout bounds the connection that tells whether an engine has ended. A
// host refuses it within a round trip; one that is cut off does not answer.
const endCheckTimeout = 150 * time.Millisecond

// endCheck finds out whether engines that broke off an attempt have ended.
type endCheck struct {
	// listed returns the engine with an id as the store lists it.
	listed func(id string) (*catalog.Engine, bool)
	// refuses reports whether the host of an address refuses connections there.
	refuses func(ctx context.Context, addr string) bool
	// dials joins the checks of one incarnation, since all attempts at an engine
	// break off together.
	dials singleflight.Group
}

// check reports whether the incarnation of an engine has ended. An engine that has
// announced that it leaves, or has left the list before, was stopped in order. One that
// is cut off, whose host does not answer, may go on.
func (c *endCheck) check(ctx context.Context, e *catalog.Engine) relay.EngineEnd {
	listed, known := c.listed(e.ID)
	switch {
	case known && listed.StartUnixMS > e.StartUnixMS:
		return relay.EngineEnd{Ended: true, Evidence: "started again"}
	case !known:
		return relay.EngineEnd{Evidence: "had left the list"}
	case listed.Draining:
		return relay.EngineEnd{Evidence: "was leaving"}
	}
	refused, _, _ := c.dials.Do(e.ID+"/"+strconv.FormatInt(e.StartUnixMS, 10), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endCheckTimeout)
		defer cancel()
		return c.refuses(ctx, e.Addr), nil
	})
	if refused == true {
		return relay.EngineEnd{Ended: true, Evidence: "refuses connections"}
	}
	return relay.EngineEnd{Evidence: "accepts connections or does not answer"}
}
