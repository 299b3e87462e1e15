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

// reloadInterval is how often the settings file is looked at: it may change
// without a signal, and nothing in it is needed within seconds.
const reloadInterval = 5 * time.Second

// WatchSettings takes changes of the settings file, after each signal and at the
// reload interval, until the context ends. applied is called with what is in
// force after each change.
func (d *Daemon) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal, applied func(*settings.Config)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	seen, err := os.ReadFile(path)
	if err != nil {
		event.Log(d.log, event.ReloadRefused, slog.String("cause", err.Error()))
	}
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			asked = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		switch {
		case err != nil && asked:
			event.Log(d.log, event.ReloadRefused, slog.String("cause", err.Error()))
			continue
		case err != nil, !asked && bytes.Equal(text, seen):
			continue
		}
		seen = text
		d.reload(path, text, applied)
	}
}

// reload brings one text of the settings file into force as far as a running
// process can. A bad one changes nothing.
func (d *Daemon) reload(path string, text []byte, applied func(*settings.Config)) {
	fresh, err := settings.Parse(path, text)
	if err != nil {
		event.Log(d.log, event.ReloadRefused, slog.String("cause", err.Error()))
		return
	}
	running := d.cfg.Load()
	var taken, waiting []string
	for _, c := range settings.Compare(running, fresh) {
		if c.Live {
			taken = append(taken, c.Key)
		} else {
			waiting = append(waiting, c.Key)
		}
	}
	adopted := settings.Adopt(running, fresh)
	d.cfg.Store(adopted)
	d.front.SetLimits(frontLimits(adopted))
	d.guard.SetLimits(guardLimits(adopted))
	applied(adopted)
	event.Log(d.log, event.Reloaded, slog.Any("taken", taken), slog.Any("atNextStart", waiting))
}
