package front

import (
	"net"
	"net/http"

	"github.com/radishhoist/radishhoist/internal/pipeline"
)

// maxRecordBytes bounds what responses to pipelined requests record until their turn, over all
// callers, together with half of the memory for requests. Without a bound, 100 connections of 16 requests held 510 MB.
const maxRecordBytes = 16 << 20

// newPipeline returns what runs pipelined requests concurrently, or nil if the settings do
// not allow that.
func (f *Front) newPipeline() *pipeline.Pipeline {
	if f.cfg.PipelineDepth <= 1 {
		return nil
	}
	recordBytes := int64(maxRecordBytes)
	if limit := f.limits.Load().RequestMemoryBytes; limit > 0 {
		recordBytes = min(recordBytes, limit/2)
	}
	return pipeline.New(pipeline.Config{
		Depth: f.cfg.PipelineDepth, MaxHeaderBytes: f.cfg.MaxHeaderBytes,
		MaxRecordBytes: recordBytes, HoldAhead: holdAhead, MayOverlap: f.mayOverlap, Started: f.counts.pipelined.Inc,
	}, f)
}

// holdAhead counts what a connection reads ahead as part of its next header.
func holdAhead(nc net.Conn, n int) bool {
	c := unwrapConn(nc)
	return c == nil || c.holdAhead(int64(headerCopies*n))
}

// mayOverlap reports whether a request may run at the same time as others of its connection:
// it must be idempotent, and this host must not be draining, because the responses of a
// draining host close their connections. It returns the response buffer of the request's
// service, the largest one if the route divides its requests among several.
func (f *Front) mayOverlap(r *http.Request) (recordBytes int, ok bool) {
	dir := f.dir.Load()
	if f.draining.Load() || f.refusing.Load() || !dir.Complete {
		return 0, false
	}
	matched := matchRoute(dir, r)
	if matched == nil || !matched.IsIdempotent(r.Method) {
		return 0, false
	}
	for _, weighted := range matched.WeightedServices() {
		if service, ok := dir.Services[weighted.Service]; ok {
			recordBytes = max(recordBytes, service.Record.ResponseBufferBytes())
		}
	}
	return recordBytes, true
}
