package front

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
)

// send sends the message that the state machine asks for.
func (a *attempt) send(ctx context.Context, s once.Action) error {
	switch s {
	case once.SendReserve:
		// SubPriority orders requests of equal priority.
		return a.stream.Send(ctx, &msg.Reserve{
			RequestID: a.req.id, Service: a.target.Service, Instance: a.target.Name,
			TimeoutMS: a.remainingMS(), Class: a.req.fairnessClass, Priority: uint8(a.req.priority()), SubPriority: uint8(a.req.route.Priority),
			Hints: a.hints(), Sample: a.sample,
		})
	case once.SendRun:
		return a.sendRun(ctx)
	default:
		return nil
	}
}

// routeHash identifies the route in messages.
func (r *request) routeHash() uint32 { return uint32(xxhash.Sum64String(r.route.Name)) }

// hints returns what the guard needs for admission: the request's time budget and its part
// in the retry budget.
func (a *attempt) hints() msg.AdmissionHints {
	return msg.AdmissionHints{
		ObjectiveMS:     uint32(a.req.route.Objective().Milliseconds()),
		ElapsedMS:       uint32(max(time.Since(a.req.arrived).Milliseconds(), 0)),
		ExpectedMS:      uint32(a.req.state.expectedServiceTimeAt(a.req, a.target).Milliseconds()),
		AllowLate:       a.options.allowLate,
		UsesRetryBudget: a.options.usesRetryBudget, Hedge: a.options.hedge,
		NestedRetryChance: a.req.nestedRetryChance, OriginIdle: a.req.originIdle, Route: a.req.routeHash(),
		Fingerprint: uint64(a.req.fingerprint),
	}
}

// remainingMS is the time to the deadline.
func (a *attempt) remainingMS() uint32 {
	return uint32(max(time.Until(a.req.deadline).Milliseconds(), 0))
}

func (a *attempt) sendRun(ctx context.Context) error {
	r := a.req.http
	run := &msg.Run{
		RequestID: a.req.id, Service: a.target.Service, Instance: a.target.Name,
		TimeoutMS: a.remainingMS(), Class: a.req.fairnessClass, Priority: uint8(a.req.priority()), SubPriority: uint8(a.req.route.Priority), Hints: a.hints(),
		Reserved: !a.req.idempotent, Idempotent: a.req.idempotent, Shard: a.shard, Epoch: a.epoch,
		Method: r.Method, URI: rawRequestURI(r), Host: r.Host,
		Header: a.front.targetHeader(a.req), BodyLength: a.req.length, Sample: a.sample,
	}
	body, ok := a.req.bodyReader()
	if !ok {
		return errors.New("cannot send the request body again: it was too large to buffer")
	}
	switch {
	case a.req.length == 0:
		return a.stream.Send(ctx, run)
	case a.req.unbuffered == nil && len(a.req.body) <= wire.ChunkSize:
		end := &msg.End{Length: uint64(len(a.req.body)), Hash: xxhash.Sum64(a.req.body)}
		return a.stream.Send(ctx, run, &msg.Data{Bytes: a.req.body}, end)
	}
	if err := a.stream.Send(ctx, run); err != nil {
		return err
	}
	go func() { _ = sdiscardBody(ctx, a.stream, body) }()
	return nil
}

// targetHeader returns the header fields sent to the target: the caller's own, except that
// the calling service and, if API keys are required, the team are set by this host.
func (f *Front) targetHeader(req *request) []msg.Field {
	out := f.setTeamHeader(req, header.ToFields(req.http.Header))
	name := f.cfg.Dialect.CallerService
	if name == "" {
		return out
	}
	out = slices.DeleteFunc(out, func(field msg.Field) bool { return field.Name == http.CanonicalHeaderKey(name) })
	if f.cfg.Service != "" {
		out = append(out, msg.Field{Name: name, Value: f.cfg.Service})
	}
	return out
}

// sendBody sends a body in chunks, followed by its length and hash. If the body cannot be
// read to its end, Cancel is sent in place of End.
func sdiscardBody(ctx context.Context, s wire.Stream, body io.Reader) error {
	hash := xxhash.New()
	end := &msg.End{}
	for {
		chunk := make([]byte, wire.ChunkSize)
		n, err := fill(body, chunk)
		if n > 0 {
			_, _ = hash.Write(chunk[:n])
			end.Length += uint64(n)
			if err := s.Send(ctx, &msg.Data{Bytes: chunk[:n]}); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			end.Hash = hash.Sum64()
			return s.Send(ctx, end)
		case err != nil:
			_ = s.Send(ctx, &msg.Cancel{})
			return err
		}
	}
}

// fill reads until buf is full or reading fails, and returns the reader's own error. Unlike
// io.ReadFull, it tells the end of a body from io.ErrUnexpectedEOF, the error of a truncated one.
func fill(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var read int
		read, err = r.Read(buf[n:])
		n += read
	}
	return n, err
}
