package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// plainEngines is the number of engines, of which faultyEngines spoil spoiltShare of
	// their answers: the line with the signature is missing from the head.
	plainEngines  = 5
	faultyEngines = 3
	spoiltShare   = 0.03
	plainWork     = 30 * time.Millisecond
	// sealClients clients send sealRequests requests each.
	sealClients  = 8
	sealRequests = 150
)

// runSeal lets engines leave the signature out of some of their answers.
func runSeal(b *bed, trouble bool) (int, error) {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 5))
	var mu sync.Mutex
	var spoilt atomic.Int64
	for i := range plainEngines {
		faulty := trouble && i < faultyEngines
		stop, err := startPlain(b, fmt.Sprintf("i-%04d", i), func() bool {
			mu.Lock()
			defer mu.Unlock()
			return faulty && rng.Float64() < spoiltShare
		}, &spoilt)
		if err != nil {
			return couldNot, err
		}
		defer stop()
	}
	b.store.PublishConfig(1, apiKey)
	if err := b.startDaemons(2); err != nil {
		return couldNot, err
	}
	var clients sync.WaitGroup
	var signed, unsigned, failed atomic.Int64
	for i := range sealClients {
		d := b.daemons[i%len(b.daemons)]
		path := []string{site.NonIdempotentPath, site.IdempotentPath}[i/2%2]
		clients.Go(func() {
			c := &http.Client{Timeout: 6 * time.Second}
			for k := range sealRequests {
				id := fmt.Sprintf("seal-%d-%d", i, k)
				status, hasSeal, err := askPlain(c, d, id, path)
				switch {
				case err != nil || status/100 != 2:
					failed.Add(1)
					b.note("%s %s: status %d, %v", id, path, status, err)
				case hasSeal:
					signed.Add(1)
				default:
					unsigned.Add(1)
					b.note("%s %s: status %d without a signature", id, path, status)
				}
			}
		})
	}
	clients.Wait()
	b.note("answers that engines sent without a signature: %d; clients got %d successes with one, %d without one, %d failures", spoilt.Load(), signed.Load(), unsigned.Load(), failed.Load())
	if unsigned.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

func askPlain(c *http.Client, d *daemon, id, path string) (status int, hasSeal bool, err error) {
	r, err := site.NewHTTPRequest(context.Background(), d.frontAddr(), site.Request{ID: id, Method: http.MethodPost, Path: path, APIKey: apiKey})
	if err != nil {
		return 0, false, err
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, resp.Header.Get(names["seal"]) != "", nil
}

// startPlain starts an engine of the service without models. spoil is asked for each
// answer whether its signature is left out.
func startPlain(b *bed, id string, spoil func() bool, spoilt *atomic.Int64) (stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set(names["engine"], id)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		time.Sleep(plainWork)
		if spoil() {
			spoilt.Add(1)
		} else {
			w.Header().Set(names["seal"], "seal-"+id)
		}
		fmt.Fprintf(w, "done by %s", id)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	raw, err := json.Marshal(map[string]any{
		"service": site.PlainService, "address": l.Addr().String(), "zone": "a", "version": "v1", "slots": 6, "state": "ready", names["cold"]: 0,
		"seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	b.store.Put(names["engines"], id, raw)
	return func() { _ = server.Close() }, nil
}
