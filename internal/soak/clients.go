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
	// clientsPerDaemon is the number of clients of each daemon; each keeps a connection.
	clientsPerDaemon = 6
	// meanThinkTime is the mean pause of a client between two requests.
	meanThinkTime = 30 * time.Millisecond
	// reconnectDelay is the pause of a client that can't reach its daemon.
	reconnectDelay = 100 * time.Millisecond
	// previousKeyRatio is the part of the requests that come with the key before the one in
	// force.
	previousKeyRatio = 0.25
	// callTimeout ends a call that hangs; it is above the requests' own deadline.
	callTimeout = 25 * time.Second
)

// apiKeys is the key in force, and when earlier ones were taken away.
type apiKeys struct {
	mu      sync.Mutex
	version int
	revokedAt map[string]time.Time
}

func newAPIKeys(store *site.Store) *apiKeys {
	k := &apiKeys{revokedAt: map[string]time.Time{}}
	k.rotate(store)
	return k
}

func (k *apiKeys) currentLocked() string { return keyName(k.version) }

func keyName(version int) string { return fmt.Sprintf("key-%d", version) }

func (k *apiKeys) current() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.currentLocked()
}

// previous returns the key that was taken away last.
func (k *apiKeys) previous() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return keyName(k.version - 1)
}

// rotate takes the key away and puts the next one in force.
func (k *apiKeys) rotate(store *site.Store) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.currentLocked()
	k.version++
	store.PublishConfig(k.version, k.currentLocked())
	k.revokedAt[old] = time.Now()
}

func (k *apiKeys) revocations() map[string]time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.revokedAt)
}

// clientPool is all clients.
type clientPool struct {
	keys   *apiKeys
	requestSeq atomic.Int64
	wg     sync.WaitGroup

	mu   sync.Mutex
	observations []Observation
}

// startClients lets clients call the daemon until ctx ends.
func (c *clientPool) startClients(ctx context.Context, seed uint64, d *daemon) {
	for i := range clientsPerDaemon {
		rng := rand.New(rand.NewPCG(seed, uint64(1000+d.number*clientsPerDaemon+i)))
		c.wg.Go(func() { c.runClient(ctx, rng, d) })
	}
}

func (c *clientPool) runClient(ctx context.Context, rng *rand.Rand, d *daemon) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		s := c.send(client, d, c.randomRequest(rng))
		if s.Err != nil {
			pause.For(ctx, reconnectDelay)
		}
		pause.For(ctx, time.Duration(rng.ExpFloat64()*float64(meanThinkTime)))
	}
}

// randomRequest draws a call.
func (c *clientPool) randomRequest(rng *rand.Rand) site.Request {
	call := site.Request{ID: fmt.Sprintf("request-%d", c.requestSeq.Add(1)), APIKey: c.keys.current(), Method: http.MethodPost}
	if rng.Float64() < previousKeyRatio {
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

func (c *clientPool) send(client *http.Client, d *daemon, call site.Request) Observation {
	s := Observation{Request: call, Daemon: d.number, StartedAt: time.Now()}
	s.Response, s.Err = site.Send(context.Background(), client, d.addr, call)
	s.EndedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations = append(c.observations, s)
	return s
}

// waitUntilServing waits until the daemon has answered a request of each kind.
func (c *clientPool) waitUntilServing(ctx context.Context, d *daemon) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	for _, want := range []site.Request{
		{Method: http.MethodPost, Path: site.NonIdempotentPath},
		{Method: http.MethodPost, Path: site.StreamPath, Model: site.LargeModel},
		{Method: http.MethodPost, Path: site.StreamPath, Model: site.SmallModel},
	} {
		for {
			call := want
			call.ID, call.APIKey = fmt.Sprintf("request-%d", c.requestSeq.Add(1)), c.keys.current()
			s := c.send(client, d, call)
			if s.Response.Status == http.StatusOK && s.Response.BodyComplete {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("daemon %d does not serve %s %s: status %d: %w", d.number, call.Path, call.Model, s.Response.Status, errors.Join(s.Err, ctx.Err()))
			}
			pause.For(ctx, reconnectDelay)
		}
	}
	return nil
}
