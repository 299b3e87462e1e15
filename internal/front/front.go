// Package front takes callers' HTTP requests: it matches the route, fixes the
// deadline, checks the team's rate, chooses targets, retries and hedges within
// the budget, and answers with a whole answer or an honest verdict.
package front

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
)

// Config has the parameters of a Front.
type Config struct {
	// Host and DC name this host and its data centre.
	Host string
	DC   string
	// BufferBodyBytes is how much of a request body is kept for a retry.
	BufferBodyBytes int
	// MaxHeaderBytes bounds a request header.
	MaxHeaderBytes int
	// MaxConns bounds the callers' connections.
	MaxConns int
	// HeaderTimeout bounds the reading of a request header.
	HeaderTimeout time.Duration
	// IdleTimeout closes idle callers' connections.
	IdleTimeout time.Duration
	// Service is the service that runs on this host, which targets are told of
	// requests that begin here; empty where none is named.
	Service string
	// Dialect names the headers of the conversation with callers.
	Dialect header.Dialect
}

// Limits are the parameters of a Front that may change while it runs.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
}

// Front serves callers. It is safe for concurrent use.
type Front struct {
	cfg   Config
	log   *slog.Logger
	peers Peers
	guard *guard.Guard
	keys  Keys

	limits   atomic.Pointer[Limits]
	view     atomic.Pointer[directory.Directory]
	rates    RateLimiter
	paths    *paths
	services services
	draining atomic.Bool
	refusing atomic.Bool
	// life ends when the requests under way are to be abandoned.
	life    context.Context
	abandon context.CancelFunc
	counts  counters
	lines   event.Limiter
	seed    atomic.Uint64
}

// New makes a Front. guard is this host's own, reached without
// frames; nil keys treat keyed requests like any other.
func New(cfg Config, limits Limits, log *slog.Logger, peers Peers, g *guard.Guard, keys Keys) *Front {
	f := &Front{cfg: cfg, log: log, peers: peers, guard: g, keys: keys, paths: newPaths(log)}
	f.life, f.abandon = context.WithCancel(context.Background())
	f.seed.Store(rand.Uint64())
	f.limits.Store(&limits)
	f.view.Store(&directory.Directory{})
	f.services.byName = make(map[string]*serviceState)
	f.counts = newCounters()
	return f
}

// SetLimits changes the limits.
func (f *Front) SetLimits(l Limits) {
	f.limits.Store(&l)
}

// SetDirectory replaces the directory that requests are served from.
func (f *Front) SetDirectory(d *directory.Directory) {
	f.services.update(d, f.paths, f.cfg)
	f.view.Store(d)
}

// Peers are the ways to the guards of other hosts.
type Peers interface {
	// Open starts a stream to the host at an address. The connection is that which
	// carries it, nil where there is none to watch for signs of life.
	Open(ctx context.Context, address string) (wire.Stream, *wire.Conn, error)
}

// SetPeers sets the ways to the other hosts, before the first request.
func (f *Front) SetPeers(p Peers) { f.peers = p }

// Directory gives the directory in force.
func (f *Front) Directory() *directory.Directory { return f.view.Load() }

// Drain makes the front tell its callers' connections to close.
func (f *Front) Drain() { f.draining.Store(true) }

// endMargin is how many times as long as a request usually takes an attempt must
// have before the end to be made: service times have a long tail. With no margin
// a request that usually takes 2.6 s was sent to its instance 0.6 s before the
// end and broken off there.
const endMargin = 1.5

// fits says that an attempt at the request has room before the process ends.
func (f *Front) fits(now time.Time, req *request) bool {
	end, stopping := f.guard.ShutdownTime()
	if !stopping {
		return true
	}
	need := time.Duration(endMargin * float64(req.state.usual(req)))
	return !now.Add(need).After(end)
}

// RefuseRequests makes the front take no more requests, once callers have had time to
// turn to other hosts.
func (f *Front) RefuseRequests() { f.refusing.Store(true) }

// CancelRequests ends every request under way with what is known of it, for the end of
// a graceful stop: an answer that says so is better than a broken connection.
func (f *Front) CancelRequests() { f.abandon() }

// Server makes the HTTP server for callers; the caller serves and shuts down.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: f.cfg.HeaderTimeout,
		IdleTimeout:       f.cfg.IdleTimeout,
		MaxHeaderBytes:    f.cfg.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
		ConnState:         noteState,
	}
}

// rng gives a random source for one request; requests do not share one, so
// that they need no lock.
func (f *Front) rng() *rand.Rand {
	n := f.seed.Add(1)
	return rand.New(rand.NewPCG(n, n^0x9e3779b97f4a7c15))
}

// open starts a stream to the guard of a host: a function call on the own
// host, frames to any other.
func (f *Front) open(ctx context.Context, h *directory.Host) (wire.Stream, *wire.Conn, error) {
	if h.Name == f.cfg.Host {
		near, far := wire.Pipe()
		go f.serveLocal(far)
		return near, nil, nil
	}
	return f.peers.Open(ctx, h.Peer)
}

func (f *Front) serveLocal(s wire.Stream) {
	ctx, cancel := context.WithTimeout(context.Background(), localFirst)
	defer cancel()
	first, err := s.Recv(ctx)
	if err != nil {
		s.Close()
		return
	}
	f.guard.Serve(s, first)
}

// localFirst bounds the wait for the first message on the own host.
const localFirst = 10 * time.Second

func sampleOf(hash uint64, pace float64) msg.Sample {
	return msg.Sample{Instance: hash, LatencyRatio: uint32(min(pace*msg.Thousandths, 1<<32-1))}
}
