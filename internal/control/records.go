package control

import (
	"log/slog"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// recordSet holds the active records, each in its newest valid version. If a version is
// invalid or its schema is too new, only that version is rejected, and the last valid one
// stays active.
type recordSet struct {
	active   map[record.Key]*record.Record
	rejected map[record.Key]msg.RejectedRecord
	// dirty is set if the records have changed since they were last compiled.
	dirty bool
}

func newRecordSet() *recordSet {
	return &recordSet{
		active:   make(map[record.Key]*record.Record),
		rejected: make(map[record.Key]msg.RejectedRecord),
	}
}

// platformSource is the source given in logs and in the state dump for records and
// confirmations that did not come from another host.
const platformSource = "platform"

// apply activates a record, removes a deleted one, or rejects an invalid one. An older state of
// a record, from a platform that has been restored, does not replace a newer one. from is the
// host that sent the entry, empty if this host read it from the platform or wrote it.
func (s *recordSet) apply(log *slog.Logger, e msg.Entry, from string) {
	if from == "" {
		from = platformSource
	}
	key := record.Key{Kind: record.Kind(e.Kind), Name: e.Name}
	s.dirty = true
	if e.Deleted {
		delete(s.active, key)
		delete(s.rejected, key)
		event.Log(log, event.RecordApplied, slog.String("record", key.String()),
			slog.Int64("version", e.Version), slog.Bool("deleted", true), slog.String("from", from))
		return
	}
	var r *record.Record
	value, err := decompress(e.Value)
	if err == nil {
		r, err = record.Parse(value)
	}
	if err == nil && r.Key != key {
		err = &record.InvalidError{Key: key, FieldErrors: []record.FieldError{{
			Field: "name", Problem: "the document's key is " + r.Key.String(), Remedy: "store it under its own kind and name",
		}}}
	}
	if err != nil {
		s.reject(log, key, e.Version, err)
		return
	}
	r.Version = e.Version
	if last, ok := s.active[key]; ok && objects.HistoryOf(r.Version) > objects.HistoryOf(last.Version) && record.Supersedes(last.Spec, r.Spec) {
		event.Log(log, event.RecordKept, slog.String("record", key.String()), slog.Int64("version", e.Version),
			slog.Int64("inForce", last.Version), slog.String("from", from))
		return
	}
	s.active[key] = r
	delete(s.rejected, key)
	event.Log(log, event.RecordApplied, slog.String("record", key.String()),
		slog.Int64("version", e.Version), slog.Int("schemaVersion", r.SchemaVersion), slog.String("from", from))
}

func (s *recordSet) reject(log *slog.Logger, key record.Key, version int64, err error) {
	rejected := msg.RejectedRecord{Key: key.String(), Version: version, Reason: err.Error()}
	if last, ok := s.active[key]; ok {
		rejected.InForce = last.Version
	}
	s.rejected[key] = rejected
	event.Log(log, event.RecordRefused, slog.String("record", key.String()), slog.Int64("version", version),
		slog.Int64("inForce", rejected.InForce), slog.String("cause", err.Error()))
}

func (s *recordSet) list() []*record.Record {
	out := make([]*record.Record, 0, len(s.active))
	for _, r := range s.active {
		out = append(out, r)
	}
	return out
}
