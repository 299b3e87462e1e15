package daemon

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/loadreport"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/front"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/logtest"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/settings"
)

const baseSettings = "[host]\nname = h1\ndc = a\n[listen]\ncallers = 127.0.0.1:8080\npeer = 127.0.0.1:7300\n" +
	"announce = 127.0.0.1:7700\nadmin = 127.0.0.1:7900\n[platform]\nurl = http://127.0.0.1:7000\n"

// A signal applies the live settings of a changed file. An invalid or missing file
// changes nothing, and its error is logged.
func TestSettingsReloadOnSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(baseSettings)
	cfg, err := settings.Load(path)
	assert.NilError(t, err)
	out := &logtest.Buffer{}
	log := slog.New(slog.NewJSONHandler(out, nil))
	d := &Daemon{log: log}
	d.cfg.Store(cfg)
	d.guard = guard.New(guard.Config{Host: "h1"}, guardLimits(cfg), log, nil, guard.Hooks{Changed: func() {}, LoadReport: func(*msg.LoadReport, loadreport.Scope) {}})
	d.front = front.New(front.Config{Host: "h1"}, frontLimits(cfg), log, nil, d.guard, nil)

	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal)
	applied := make(chan *settings.Config, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.WatchSettings(ctx, path, signals, func(c *settings.Config) { applied <- c })
	}()
	write(baseSettings + "[log]\nlevel = warn\n[guard]\ngrant_life = 2s\n")
	signals <- syscall.SIGHUP
	assert.Equal(t, (<-applied).LogLevel, "warn")
	assert.Equal(t, d.cfg.Load().GrantTTL, cfg.GrantTTL)
	waitForLog(t, out, `"atNextStart":["[guard] grant_life"]`)

	write(baseSettings + "[log]\nlevel = loud\n")
	signals <- syscall.SIGHUP
	waitForLog(t, out, event.ReloadRefused.Name)
	assert.Equal(t, d.cfg.Load().LogLevel, "warn")
	assert.Assert(t, strings.Contains(out.String(), "[log] level"))

	assert.NilError(t, os.Remove(path))
	signals <- syscall.SIGHUP
	waitForLog(t, out, "no such file")
	assert.Equal(t, d.cfg.Load().LogLevel, "warn")
	cancel()
	<-done
}

func waitForLog(t *testing.T, out *logtest.Buffer, part string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if strings.Contains(out.String(), part) {
			return
		}
	}
	t.Fatalf("no log line with %q within 20 s", part)
}
