// Package front handles callers' HTTP requests. It matches the route, sets the deadline,
// enforces the team's rate, chooses targets, retries and hedges within the retry budget,
// and returns either a complete response or a failure with a verdict on whether the request
// ran.
//
// It sends requests to the guards, the proxies in front of the instances on each host, see
// package guard.
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
	"github.com/radishhoist/radishhoist/internal/pipeline"
	"github.com/radishhoist/radishhoist/internal/wire"
)

// Config holds the parameters of a Front.
type Config struct {
	// Host and DC name this host and its data centre.
	Host string
	DC   string
	// BufferBodyBytes is the size up to which a request body is buffered for retries.
	BufferBodyBytes int
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int
	// MaxConns is the maximum number of caller connections. Beyond it, idle connections and
	// those whose callers make no progress are closed; without any, new ones are refused.
	MaxConns int
	// PipelineDepth is the maximum number of requests of one caller's connection that are
	// handled at the same time. With 1 or less, each waits for the response before it.
	PipelineDepth int
	// HeaderTimeout is the time limit for reading a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle caller connection is kept open.
	IdleTimeout time.Duration
	// Service is the service that runs on this host, if any. Targets get it as the calling
	// service of requests received here.
	Service string
	// Dialect names the HTTP headers used with callers and targets.
	Dialect header.Dialect
	// LearnRefusals judges instances that refuse requests by comparison with their service,
	// and does not ask for retry budget where it is known to be used up.
	LearnRefusals bool
	// Areas maps each data centre to its area. Distances count in choices where there are
	// several.
	Areas map[string]string
	// AreaLinkMbps is the capacity of the link between areas each way, in Mbit/s; 0 means
	// that it is not known.
	AreaLinkMbps int

	// areas is derived from Areas by New.
	areas *areas
}

// Limits holds the parameters of a Front that can change at run time.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// RequestMemoryBytes bounds what requests and responses of all callers may hold; 0 means
	// no limit.
	RequestMemoryBytes int64
}

// Front serves callers' requests. It is safe for concurrent use.
type Front struct {
	cfg             Config
	log             *slog.Logger
	peers           Peers
	loadQuerier     LoadQuerier
	loadQueries     *loadQueries
	linkReporter    LinkReporter
	guard           *guard.Guard
	idempotencyKeys IdempotencyKeys

	// pipeline runs pipelined requests concurrently; nil if they are handled one by one.
	pipeline *pipeline.Pipeline

	// memory bounds what callers' connections hold, and refusedConns those that are being
	// refused.
	memory       *callerMemory
	refusedConns chan struct{}

	limits      atomic.Pointer[Limits]
	dir         atomic.Pointer[directory.Directory]
	rateLimiter RateLimiter
	paths       *paths
	services    services
	draining    atomic.Bool
	refusing    atomic.Bool
	// lifetime is cancelled to end all requests in progress.
	lifetime       context.Context
	cancelLifetime context.CancelFunc
	counts         counters
	logLimiter     event.Limiter
	seed           atomic.Uint64
}

// New creates a Front. g is the guard of this host, which is called directly and not over
// the network. If idempotencyKeys is nil, idempotency keys are ignored.
func New(cfg Config, limits Limits, log *slog.Logger, peers Peers, g *guard.Guard, idempotencyKeys IdempotencyKeys) *Front {
	f := &Front{cfg: cfg, log: log, peers: peers, guard: g, idempotencyKeys: idempotencyKeys, paths: newPaths(log)}
	f.lifetime, f.cancelLifetime = context.WithCancel(context.Background())
	f.seed.Store(rand.Uint64())
	f.limits.Store(&limits)
	f.dir.Store(&directory.Directory{})
	f.services.byName = make(map[string]*serviceState)
	f.counts, f.loadQueries = newCounters(), newLoadQueries()
	f.memory = newCallerMemory(limits.RequestMemoryBytes, cfg.MaxConns, f.counts.set)
	f.refusedConns = make(chan struct{}, maxRefusedConns)
	f.pipeline = f.newPipeline()
	f.cfg.areas = newAreas(cfg, f.counts.set)
	f.counts.set.NewGauge("radishhoist_spill", func() float64 { return f.services.spilledRoutes(time.Now()) })
	return f
}

// SetLimits replaces the limits.
func (f *Front) SetLimits(l Limits) {
	f.limits.Store(&l)
	f.memory.setLimit(l.RequestMemoryBytes)
}

// SetDirectory replaces the directory used to serve requests.
func (f *Front) SetDirectory(d *directory.Directory) {
	f.services.update(d, f.paths, f.cfg)
	f.registerShedShares(d)
	f.cfg.areas.setDirectory(d, f.cfg.Host)
	f.dir.Store(d)
}

// Peers opens streams to the guards of other hosts.
type Peers interface {
	// Open starts a stream to the host at an address. The returned connection carries the
	// stream; it is nil if there is none that can be pinged.
	Open(ctx context.Context, address string) (wire.Stream, *wire.Conn, error)
}

// SetPeers sets the peers. It must be called before the first request.
func (f *Front) SetPeers(p Peers) { f.peers = p }

// Directory returns the current directory.
func (f *Front) Directory() *directory.Directory { return f.dir.Load() }

// Drain makes the front ask callers to close their connections.
func (f *Front) Drain() { f.draining.Store(true) }

// shutdownMarginFactor is how many times the expected service time an attempt must have left
// before shutdown, because service times have a long tail. Without a margin, a request that
// usually takes 2.6 s was sent to its instance 0.6 s before shutdown and interrupted there.
const shutdownMarginFactor = 1.5

// fitsBeforeShutdown reports whether an attempt is expected to finish before the process
// ends.
func (f *Front) fitsBeforeShutdown(now time.Time, req *request) bool {
	end, stopping := f.guard.ShutdownTime()
	if !stopping {
		return true
	}
	need := time.Duration(shutdownMarginFactor * float64(req.state.expectedServiceTime(req)))
	return !now.Add(need).After(end)
}

// RefuseRequests makes the front refuse all new requests. It is called once callers
// have had time to switch to other hosts.
func (f *Front) RefuseRequests() { f.refusing.Store(true) }

// CancelRequests ends all requests in progress at the end of a graceful shutdown. Their
// callers get a failure with the verdict known so far, which is better than a broken
// connection.
func (f *Front) CancelRequests() { f.cancelLifetime() }

// Server returns the HTTP server for callers. The caller serves and shuts it down.
func (f *Front) Server() *http.Server {
	s := &http.Server{
		Handler:           f,
		ReadHeaderTimeout: f.cfg.HeaderTimeout,
		IdleTimeout:       f.cfg.IdleTimeout,
		MaxHeaderBytes:    f.cfg.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
		ConnState:         trackConnState,
		ConnContext:       f.connContext,
	}
	if f.pipeline != nil {
		s.Handler = f.pipeline
	}
	return s
}

// rng returns a random source for one request. Each request has its own, so that no lock is
// needed.
func (f *Front) rng() *rand.Rand {
	n := f.seed.Add(1)
	return rand.New(rand.NewPCG(n, n^0x9e3779b97f4a7c15))
}

// open starts a stream to the guard of a host. The guard of this host is called through an
// in-process pipe.
func (f *Front) open(ctx context.Context, h *directory.Host) (wire.Stream, *wire.Conn, error) {
	if h.Name == f.cfg.Host {
		client, server := wire.Pipe()
		go f.serveLocal(server)
		return client, nil, nil
	}
	return f.peers.Open(ctx, h.PeerAddr)
}

func (f *Front) serveLocal(s wire.Stream) {
	ctx, cancel := context.WithTimeout(context.Background(), localFirstMessageTimeout)
	defer cancel()
	first, err := s.Recv(ctx)
	if err != nil {
		s.Close()
		return
	}
	f.guard.Serve(s, first)
}

// localFirstMessageTimeout bounds the wait for the first message on an in-process stream.
const localFirstMessageTimeout = 10 * time.Second

func newSample(hash uint64, latencyRatio float64) msg.Sample {
	return msg.Sample{Instance: hash, LatencyRatio: uint32(min(latencyRatio*msg.Thousandths, 1<<32-1))}
}
