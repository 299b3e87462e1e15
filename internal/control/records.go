package control

import (
	"log/slog"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

// recordSet holds the records in force: each at the newest version that could
// be read. A bad or too new record is refused alone; the last good stays.
type recordSet struct {
	inForce  map[record.Key]*record.Record
	rejected map[record.Key]msg.ReportRejected
	dirty    bool
}

func newRecordSet() *recordSet {
	return &recordSet{
		inForce:  make(map[record.Key]*record.Record),
		rejected: make(map[record.Key]msg.ReportRejected),
	}
}

// fromPlatform names the source of records that no other host told of.
const fromPlatform = "platform"

// apply brings one entry into force or refuses it with its reason. from is the
// host that told of it, empty for this one.
func (s *recordSet) apply(log *slog.Logger, e msg.Entry, from string) {
	if from == "" {
		from = fromPlatform
	}
	key := record.Key{Kind: record.Kind(e.Kind), Name: e.Name}
	s.dirty = true
	if e.Deleted {
		delete(s.inForce, key)
		delete(s.rejected, key)
		event.Log(log, event.RecordApplied, slog.String("record", key.String()),
			slog.Int64("version", e.Version), slog.Bool("deleted", true), slog.String("from", from))
		return
	}
	var r *record.Record
	value, err := unpack(e.Value)
	if err == nil {
		r, err = record.Parse(value)
	}
	if err == nil && r.Key != key {
		err = &record.InvalidError{Key: key, FieldErrors: []record.FieldError{{
			Field: "name", Problem: "the document is " + r.Key.String(), Remedy: "write it under its own kind and name",
		}}}
	}
	if err != nil {
		s.refuse(log, key, e.Version, err)
		return
	}
	r.Version = e.Version
	s.inForce[key] = r
	delete(s.rejected, key)
	event.Log(log, event.RecordApplied, slog.String("record", key.String()),
		slog.Int64("version", e.Version), slog.Int("schemaVersion", r.SchemaVersion), slog.String("from", from))
}

func (s *recordSet) refuse(log *slog.Logger, key record.Key, version int64, err error) {
	rejected := msg.ReportRejected{Key: key.String(), Version: version, Reason: err.Error()}
	if last, ok := s.inForce[key]; ok {
		rejected.InForce = last.Version
	}
	s.rejected[key] = rejected
	event.Log(log, event.RecordRefused, slog.String("record", key.String()), slog.Int64("version", version),
		slog.Int64("inForce", rejected.InForce), slog.String("cause", err.Error()))
}

func (s *recordSet) list() []*record.Record {
	out := make([]*record.Record, 0, len(s.inForce))
	for _, r := range s.inForce {
		out = append(out, r)
	}
	return out
}
