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

// act sends what the state machine asks for.
func (y *try) act(ctx context.Context, s once.Action) error {
	switch s {
	case once.SendReserve:
		return y.stream.Send(ctx, &msg.Reserve{
			RequestID: y.req.id, Service: y.target.Service, Instance: y.target.Name,
			TimeoutMS: y.left(), Class: y.req.class, Priority: uint8(y.req.priority()), SubPriority: uint8(y.req.route.Priority),
			Hints: y.aim(), Sample: y.sample,
		})
	case once.SendRun:
		return y.sendRun(ctx)
	default:
		return nil
	}
}

// aim tells the guard what the request is worth in time, and what it counts for
// in the retry budget.
func (y *try) aim() msg.AdmissionHints {
	return msg.AdmissionHints{
		ObjectiveMS: uint32(y.req.route.Objective().Milliseconds()),
		UsedMS:      uint32(max(time.Since(y.req.arrived).Milliseconds(), 0)),
		ExpectedMS:  uint32(y.req.state.expectAt(y.req, y.target).Milliseconds()),
		AllowLate:   y.as.insist,
		Repeat:      y.as.repeat, Hedge: y.as.hedge,
		NestedRetryChance: y.req.callPart, OriginIdle: y.req.idle, Route: uint32(xxhash.Sum64String(y.req.route.Name)),
		Fingerprint: uint64(y.req.print),
	}
}

// left is the time to the deadline, in milliseconds.
func (y *try) left() uint32 { return uint32(max(time.Until(y.req.deadline).Milliseconds(), 0)) }

func (y *try) sendRun(ctx context.Context) error {
	r := y.req.http
	run := &msg.Run{
		RequestID: y.req.id, Service: y.target.Service, Instance: y.target.Name,
		TimeoutMS: y.left(), Class: y.req.class, Priority: uint8(y.req.priority()), SubPriority: uint8(y.req.route.Priority), Hints: y.aim(),
		Reserved: !y.req.idempotent, Idempotent: y.req.idempotent, Shard: y.shard, Epoch: y.epoch,
		Method: r.Method, URI: rawTarget(r), Host: r.Host,
		Header: y.front.fields(y.req), BodyLength: y.req.length, Sample: y.sample,
	}
	body, ok := y.req.bodyReader()
	if !ok {
		return errors.New("the request body was sent before and was too large to keep")
	}
	switch {
	case y.req.length == 0:
		return y.stream.Send(ctx, run)
	case y.req.rest == nil && len(y.req.body) <= wire.ChunkSize:
		end := &msg.End{Length: uint64(len(y.req.body)), Hash: xxhash.Sum64(y.req.body)}
		return y.stream.Send(ctx, run, &msg.Data{Bytes: y.req.body}, end)
	}
	if err := y.stream.Send(ctx, run); err != nil {
		return err
	}
	go func() { _ = sendBody(ctx, y.stream, body) }()
	return nil
}

// fields lists the headers that a target gets: the caller's own, and which
// service's host the request began on and which team the caller is of, whatever the
// caller said of that.
func (f *Front) fields(req *request) []msg.Field {
	out := f.tellTeam(req, header.ToFields(req.http.Header))
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

// sendBody sends a body in chunks, with its length and hash. A body that the
// caller cuts short ends without End, which the guard takes for a cancel.
func sendBody(ctx context.Context, s wire.Stream, body io.Reader) error {
	hash := xxhash.New()
	end := &msg.End{}
	for {
		chunk := make([]byte, wire.ChunkSize)
		n, err := io.ReadFull(body, chunk)
		if n > 0 {
			_, _ = hash.Write(chunk[:n])
			end.Length += uint64(n)
			if err := s.Send(ctx, &msg.Data{Bytes: chunk[:n]}); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF, errors.Is(err, io.ErrUnexpectedEOF):
			end.Hash = hash.Sum64()
			return s.Send(ctx, end)
		case err != nil:
			_ = s.Send(ctx, &msg.Cancel{})
			return err
		}
	}
}
