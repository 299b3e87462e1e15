package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/settings"
)

// reloadInterval is how often the settings file is checked for changes that are not
// signalled. No setting is urgent enough to need a shorter interval.
const reloadInterval = 5 * time.Second

// WatchSettings reloads the settings file on each signal, and whenever a periodic check
// finds that its content has changed, until the context ends. After each successful reload
// it calls onReload with the settings in effect.
func (d *Daemon) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal, onReload func(*settings.Config)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	previous, err := os.ReadFile(path)
	if err != nil {
		event.Log(d.log, event.ReloadRefused, slog.String("cause", err.Error()))
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		switch {
		case err != nil && signalled:
			event.Log(d.log, event.ReloadRefused, slog.String("cause", err.Error()))
			continue
		case err != nil, !signalled && bytes.Equal(text, previous):
			continue
		}
		previous = text
		d.reload(path, text, onReload)
	}
}

// reload applies the settings in text that can change without a restart. Invalid
// text changes nothing.
func (d *Daemon) reload(path string, text []byte, onReload func(*settings.Config)) {
	updated, err := settings.Parse(path, text)
	if err != nil {
		event.Log(d.log, event.ReloadRefused, slog.String("cause", err.Error()))
		return
	}
	running := d.cfg.Load()
	var applied, pending []string
	for _, c := range settings.Diff(running, updated) {
		if c.Live {
			applied = append(applied, c.Key)
		} else {
			pending = append(pending, c.Key)
		}
	}
	effective := settings.ApplyLive(running, updated)
	d.cfg.Store(effective)
	d.front.SetLimits(frontLimits(effective))
	d.guard.SetLimits(guardLimits(effective))
	onReload(effective)
	event.Log(d.log, event.Reloaded, slog.Any("taken", applied), slog.Any("atNextStart", pending))
}
