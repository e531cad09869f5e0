package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// workers is the number of clients of each daemon; each keeps a connection.
	workers = 6
	// think is the mean pause of a client between two requests.
	think = 30 * time.Millisecond
	// retryAfter is the pause of a client that can't reach its daemon.
	retryAfter = 100 * time.Millisecond
	// oldKeys is the part of the requests that come with the key before the one in
	// force.
	oldKeys = 0.25
	// callTimeout ends a call that hangs; it is above the requests' own deadline.
	callTimeout = 25 * time.Second
)

// keys is the key in force, and when earlier ones were taken away.
type keys struct {
	mu      sync.Mutex
	version int
	revoked map[string]time.Time
}

func newKeys(store *site.Store) *keys {
	k := &keys{revoked: map[string]time.Time{}}
	k.rotate(store)
	return k
}

func (k *keys) name() string { return keyName(k.version) }

func keyName(version int) string { return fmt.Sprintf("key-%d", version) }

func (k *keys) current() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.name()
}

// previous returns the key that was taken away last.
func (k *keys) previous() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return keyName(k.version - 1)
}

// rotate takes the key away and puts the next one in force.
func (k *keys) rotate(store *site.Store) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.name()
	k.version++
	store.PublishConfig(k.version, k.name())
	k.revoked[old] = time.Now()
}

func (k *keys) taken() map[string]time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.revoked)
}

// crowd is all clients.
type crowd struct {
	keys   *keys
	number atomic.Int64
	wg     sync.WaitGroup

	mu   sync.Mutex
	seen []Seen
}

// start lets clients call the daemon until ctx ends.
func (c *crowd) start(ctx context.Context, seed uint64, d *daemon) {
	for i := range workers {
		rng := rand.New(rand.NewPCG(seed, uint64(1000+d.number*workers+i)))
		c.wg.Go(func() { c.work(ctx, rng, d) })
	}
}

func (c *crowd) work(ctx context.Context, rng *rand.Rand, d *daemon) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		s := c.call(client, d, c.next(rng))
		if s.Err != nil {
			pause.For(ctx, retryAfter)
		}
		pause.For(ctx, time.Duration(rng.ExpFloat64()*float64(think)))
	}
}

// next draws a call.
func (c *crowd) next(rng *rand.Rand) site.Request {
	call := site.Request{ID: fmt.Sprintf("request-%d", c.number.Add(1)), APIKey: c.keys.current(), Method: http.MethodPost}
	if rng.Float64() < oldKeys {
		call.APIKey = c.keys.previous()
	}
	switch rng.IntN(4) {
	case 0:
		call.Path = site.NonIdempotentPath
	case 1:
		call.Path, call.Method = site.IdempotentPath, http.MethodGet
	case 2:
		call.Path, call.Model = site.StreamPath, site.LargeModel
	default:
		call.Path, call.Model = site.StreamPath, site.SmallModel
	}
	return call
}

func (c *crowd) call(client *http.Client, d *daemon, call site.Request) Seen {
	s := Seen{Call: call, Daemon: d.number, Began: time.Now()}
	s.Outcome, s.Err = site.Send(context.Background(), client, d.addr, call)
	s.Ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, s)
	return s
}

// serves waits until the daemon has answered a request of each kind.
func (c *crowd) serves(ctx context.Context, d *daemon) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	for _, want := range []site.Request{
		{Method: http.MethodPost, Path: site.NonIdempotentPath},
		{Method: http.MethodPost, Path: site.StreamPath, Model: site.LargeModel},
		{Method: http.MethodPost, Path: site.StreamPath, Model: site.SmallModel},
	} {
		for {
			call := want
			call.ID, call.APIKey = fmt.Sprintf("request-%d", c.number.Add(1)), c.keys.current()
			s := c.call(client, d, call)
			if s.Outcome.Status == http.StatusOK && s.Outcome.BodyComplete {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("daemon %d does not serve %s %s: status %d: %w", d.number, call.Path, call.Model, s.Outcome.Status, errors.Join(s.Err, ctx.Err()))
			}
			pause.For(ctx, retryAfter)
		}
	}
	return nil
}
