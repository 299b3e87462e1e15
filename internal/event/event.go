// Package event defines the numbered log events, limits and samples log lines, and writes
// them asynchronously. docs/EVENTS.md documents the meaning of each event and what the
// operator should do; a test checks its numbers and names against this list.
package event

import (
	"context"
	"log/slog"
)

// Event is a kind of log line.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
}

// Events by number: 1xx process, 2xx front, 3xx guard, 4xx records and platform,
// 5xx membership, 6xx keys. The number of a removed event is not reused.
var (
	Started                 = Event{100, "started", slog.LevelInfo}
	Ready                   = Event{101, "ready", slog.LevelInfo}
	Draining                = Event{102, "draining", slog.LevelInfo}
	Drained                 = Event{103, "drained", slog.LevelInfo}
	DrainTimeout            = Event{104, "drain timed out", slog.LevelError}
	StartFailed             = Event{105, "start failed", slog.LevelError}
	Reloaded                = Event{106, "settings reloaded", slog.LevelInfo}
	ReloadRefused           = Event{107, "settings refused", slog.LevelError}
	SettingsWarning         = Event{108, "settings strained", slog.LevelWarn}
	RequestFailed           = Event{200, "request failed", slog.LevelWarn}
	RequestAnswered         = Event{206, "request answered", slog.LevelInfo}
	ResponseAborted         = Event{201, "answer aborted", slog.LevelWarn}
	LinkLost                = Event{202, "link lost", slog.LevelWarn}
	PathExcluded            = Event{203, "path left out", slog.LevelWarn}
	PathRestored            = Event{204, "path back", slog.LevelInfo}
	PeerRefused             = Event{205, "peer refused", slog.LevelWarn}
	InstanceAnnounced       = Event{300, "instance announced", slog.LevelInfo}
	InstanceGone            = Event{301, "instance gone", slog.LevelWarn}
	InstanceLeaving         = Event{302, "instance leaving", slog.LevelInfo}
	InstanceSuspect         = Event{303, "instance suspect", slog.LevelWarn}
	InstanceTrusted         = Event{304, "instance trusted", slog.LevelInfo}
	RequestEnded            = Event{306, "request ended at the instance", slog.LevelInfo}
	RequestRefused          = Event{307, "request refused at the instance", slog.LevelInfo}
	InstanceEstimateChanged = Event{308, "instance estimate turned", slog.LevelInfo}
	InstanceEnded           = Event{309, "instance ended", slog.LevelWarn}
	RequestStopped          = Event{310, "request stopped", slog.LevelWarn}
	InstanceLimitChanged    = Event{311, "instance limit changed", slog.LevelInfo}
	ConcurrencyLimitLearned = Event{312, "instance concurrency limit learned", slog.LevelInfo}
	ResponsePanic           = Event{313, "response handling panicked", slog.LevelError}
	DepartureRestored       = Event{314, "departure restored", slog.LevelInfo}
	DepartureNotRecorded    = Event{315, "departure not recorded", slog.LevelWarn}
	AnnounceRefused         = Event{305, "announce refused", slog.LevelWarn}
	RecordApplied           = Event{400, "record applied", slog.LevelInfo}
	RecordRefused           = Event{401, "record refused", slog.LevelError}
	PlatformUnavailable     = Event{402, "platform away", slog.LevelWarn}
	PlatformAvailable       = Event{403, "platform back", slog.LevelInfo}
	WatchStarted            = Event{404, "watch started", slog.LevelInfo}
	WatchStopped            = Event{405, "watch stopped", slog.LevelInfo}
	RecordSetLoaded         = Event{406, "record set loaded", slog.LevelInfo}
	PlatformLate            = Event{407, "platform call late", slog.LevelWarn}
	PlatformCallEnded       = Event{408, "platform call ended", slog.LevelWarn}
	PlatformPause           = Event{409, "platform pause", slog.LevelInfo}
	RecordNotWritten        = Event{410, "record not written", slog.LevelWarn}
	PlatformRestored        = Event{411, "platform restored", slog.LevelWarn}
	RecordKept              = Event{412, "record kept", slog.LevelInfo}
	RecordRestored          = Event{413, "record restored", slog.LevelInfo}
	WatchHandedOver         = Event{414, "watch handed over", slog.LevelWarn}
	HostJoined              = Event{500, "host joined", slog.LevelInfo}
	HostSuspect             = Event{501, "host suspect", slog.LevelWarn}
	HostDead                = Event{502, "host dead", slog.LevelWarn}
	HostLeft                = Event{503, "host left", slog.LevelInfo}
	ShardOwned              = Event{600, "shard owned", slog.LevelInfo}
	ShardLost               = Event{601, "shard lost", slog.LevelWarn}
)

// All returns every event. A test compares them with docs/EVENTS.md.
func All() []Event {
	return []Event{
		Started, Ready, Draining, Drained, DrainTimeout, StartFailed, Reloaded, ReloadRefused, SettingsWarning,
		RequestFailed, RequestAnswered, ResponseAborted, LinkLost, PathExcluded, PathRestored, PeerRefused,
		InstanceAnnounced, InstanceGone, InstanceLeaving, InstanceSuspect, InstanceTrusted, AnnounceRefused,
		RequestEnded, RequestRefused, InstanceEstimateChanged, InstanceEnded, RequestStopped, InstanceLimitChanged, ConcurrencyLimitLearned, ResponsePanic, DepartureRestored, DepartureNotRecorded,
		RecordApplied, RecordRefused, PlatformUnavailable, PlatformAvailable, WatchStarted, WatchStopped, RecordSetLoaded,
		PlatformLate, PlatformCallEnded, PlatformPause, RecordNotWritten, PlatformRestored, RecordKept, RecordRestored, WatchHandedOver,
		HostJoined, HostSuspect, HostDead, HostLeft, ShardOwned, ShardLost,
	}
}

// Log logs an event with its number and the given attributes.
func Log(l *slog.Logger, e Event, attrs ...slog.Attr) {
	all := append([]slog.Attr{slog.Int("event", e.Number)}, attrs...)
	l.LogAttrs(context.Background(), e.Level, e.Name, all...)
}
