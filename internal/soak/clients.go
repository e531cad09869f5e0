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
	// clientsPerDaemon is the number of concurrent clients of each daemon; each uses
	// one keep-alive connection.
	clientsPerDaemon = 6
	// meanThinkTime is the mean pause of a client between two requests.
	meanThinkTime = 30 * time.Millisecond
	// reconnectDelay is the pause of a client after a request failed without a
	// response.
	reconnectDelay = 100 * time.Millisecond
	// previousKeyRatio is the ratio of requests that use the API key revoked last
	// instead of the current one.
	previousKeyRatio = 0.25
	// deadlyRatio is the ratio of requests that end the engines that run them, half of
	// them by a part of their prompt. sharedPartRatio is that of sound requests that
	// have the first part of those in their prompts.
	deadlyRatio     = 0.02
	sharedPartRatio = 0.25
	// requestTimeout ends a request that hangs; it is longer than the deadline of any
	// request.
	requestTimeout = 25 * time.Second
)

// apiKeys holds the version of the current API key and the times at which earlier keys
// were revoked.
type apiKeys struct {
	mu        sync.Mutex
	version   int
	revokedAt map[string]time.Time // by key
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

// previous returns the key that was revoked last.
func (k *apiKeys) previous() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return keyName(k.version - 1)
}

const (
	// configsPerKey is the number of versions of the configuration from one key to the next.
	configsPerKey = 100
	// backlogConfigs is the number of large configurations in a backlog, and backlogRoutes
	// that of their unused routes. Together they are larger than an answer of the store.
	backlogConfigs = 12
	backlogRoutes  = 500
)

// rotate publishes a configuration with the next key and records when the old one was
// revoked.
func (k *apiKeys) rotate(store *site.Store) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rotateLocked(store, 0)
}

// rotateAfterBacklog is like rotate, after large configurations with the current key.
func (k *apiKeys) rotateAfterBacklog(store *site.Store) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range backlogConfigs {
		store.PublishLargeConfig(k.version*configsPerKey+1+i, backlogRoutes, k.currentLocked())
	}
	k.rotateLocked(store, backlogRoutes)
}

func (k *apiKeys) rotateLocked(store *site.Store, unusedRoutes int) {
	old := k.currentLocked()
	k.version++
	store.PublishLargeConfig(k.version*configsPerKey, unusedRoutes, k.currentLocked())
	k.revokedAt[old] = time.Now()
}

func (k *apiKeys) revocations() map[string]time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.revokedAt)
}

// clientPool runs the clients of all daemons and collects their observations.
type clientPool struct {
	keys       *apiKeys
	requestSeq atomic.Int64
	wg         sync.WaitGroup

	mu           sync.Mutex
	observations []Observation
}

// startClients starts the clients of one daemon; they send requests until ctx ends.
func (c *clientPool) startClients(ctx context.Context, seed uint64, d *daemon) {
	for i := range clientsPerDaemon {
		rng := rand.New(rand.NewPCG(seed, uint64(1000+d.number*clientsPerDaemon+i)))
		c.wg.Go(func() { c.runClient(ctx, rng, d) })
	}
}

func (c *clientPool) runClient(ctx context.Context, rng *rand.Rand, d *daemon) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		o := c.send(client, d, c.randomRequest(rng))
		if o.Err != nil {
			pause.For(ctx, reconnectDelay)
		}
		pause.For(ctx, time.Duration(rng.ExpFloat64()*float64(meanThinkTime)))
	}
}

// randomRequest returns a request of a random kind with a new id.
func (c *clientPool) randomRequest(rng *rand.Rand) site.Request {
	request := site.Request{ID: fmt.Sprintf("request-%d", c.requestSeq.Add(1)), APIKey: c.keys.current(), Method: http.MethodPost}
	if rng.Float64() < previousKeyRatio {
		request.APIKey = c.keys.previous()
	}
	if rng.Float64() < deadlyRatio {
		return makeDeadly(request, rng)
	}
	switch rng.IntN(4) {
	case 0:
		request.Path = site.NonIdempotentPath
	case 1:
		request.Path, request.Method = site.IdempotentPath, http.MethodGet
	case 2:
		request.Path, request.Model = site.StreamPath, site.LargeModel
	default:
		request.Path, request.Model = site.StreamPath, site.SmallModel
	}
	if request.Model != "" && rng.Float64() < sharedPartRatio {
		request.Parts = []string{firstPart, ownPart(rng)}
	}
	return request
}

func (c *clientPool) send(client *http.Client, d *daemon, request site.Request) Observation {
	o := Observation{Request: request, Daemon: d.number, StartedAt: time.Now()}
	o.Response, o.Err = site.Send(context.Background(), client, d.addr, request)
	o.EndedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations = append(c.observations, o)
	return o
}

// waitUntilServing waits until the daemon has answered a non-idempotent request and a
// stream of each model with a complete response.
func (c *clientPool) waitUntilServing(ctx context.Context, d *daemon) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	for _, template := range []site.Request{
		{Method: http.MethodPost, Path: site.NonIdempotentPath},
		{Method: http.MethodPost, Path: site.StreamPath, Model: site.LargeModel},
		{Method: http.MethodPost, Path: site.StreamPath, Model: site.SmallModel},
	} {
		for {
			request := template
			request.ID, request.APIKey = fmt.Sprintf("request-%d", c.requestSeq.Add(1)), c.keys.current()
			o := c.send(client, d, request)
			if o.Response.Status == http.StatusOK && o.Response.BodyComplete {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("daemon %d did not serve %s %s in time: last status %d: %w", d.number, request.Path, request.Model, o.Response.Status, errors.Join(o.Err, ctx.Err()))
			}
			pause.For(ctx, reconnectDelay)
		}
	}
	return nil
}
