package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/porttest"
	"github.com/radishhoist/radishhoist/internal/settings"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
	"github.com/radishhoist/radishhoist/internal/standin/target"
	"github.com/radishhoist/radishhoist/record"
)

// daemonPair is two daemons in this process: front has no target, host has one.
type daemonPair struct {
	front, host *Daemon
	target      *target.Server
}

// startPlatform starts a platform stand-in with one service "s" and a route of all
// requests to it, and returns its URL.
func startPlatform(tb testing.TB) string {
	tb.Helper()
	return startPlatformOn(tb, platformd.NewServer())
}

// startPlatformOn serves a platform stand-in with a service and a route, and returns its URL.
func startPlatformOn(tb testing.TB, server *platformd.Server) string {
	tb.Helper()
	web := httptest.NewServer(server.Handler())
	tb.Cleanup(web.Close)
	put := func(key record.Key, spec record.Spec) {
		value, err := record.Marshal(key, spec)
		assert.NilError(tb, err)
		client := objects.NewClient(web.URL, time.Second)
		_, err = client.Put(context.Background(), key, value, 0)
		assert.NilError(tb, err)
		client.Close()
	}
	put(record.Key{Kind: record.KindService, Name: "s"}, &record.Service{Office: "o", Preset: record.PresetCareful, Floor: record.Floor{Percent: 50}})
	put(record.Key{Kind: record.KindRoute, Name: "r"}, &record.Route{PathPrefix: "/", Service: "s"})
	return web.URL
}

// startDaemons starts two daemons that use the given platform, with changes of the default
// settings.
func startDaemons(tb testing.TB, platform string, changes ...func(*settings.Config)) []*Daemon {
	tb.Helper()
	var daemons []*Daemon
	for i := range 2 {
		cfg := settings.Default()
		cfg.Host, cfg.DC, cfg.Platform = fmt.Sprintf("h%d", i), "dc", platform
		cfg.DrainTimeout = 10 * time.Second
		for _, change := range changes {
			change(cfg)
		}
		daemons = append(daemons, startOnFreePorts(tb, cfg))
	}
	return daemons
}

func startOnFreePorts(tb testing.TB, cfg *settings.Config) *Daemon {
	tb.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var d *Daemon
	porttest.StartOnFreePorts(tb, func() (err error) {
		cfg.Callers, cfg.Peer, cfg.Announce, cfg.Admin = porttest.FreeAddress(tb), porttest.FreeAddress(tb), porttest.FreeAddress(tb), porttest.FreeAddress(tb)
		d, err = Start(cfg, OwnAdapter(cfg), log)
		return err
	})
	return d
}

func startDaemonPair(tb testing.TB) *daemonPair {
	tb.Helper()
	daemons := startDaemons(tb, startPlatform(tb))
	t, err := target.Start(target.Config{Name: "t", Service: "s", Address: "127.0.0.1:0", Announce: daemons[1].cfg.Load().Announce, Slots: 256})
	assert.NilError(tb, err)
	tb.Cleanup(func() {
		t.Stop()
		for _, d := range daemons {
			d.Shutdown(nil)
		}
	})
	p := &daemonPair{front: daemons[0], host: daemons[1], target: t}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s := p.front.front.Status()
		if len(s) == 1 && s[0].HealthySlots > 0 && p.host.ready.Load() {
			return p
		}
	}
	tb.Fatal("the daemons did not become ready")
	return nil
}

func get(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// BenchmarkRequest compares a direct call to the target, a call through the daemon on
// its host, and a call through the front of another host. All three include the cost
// of the caller and the target.
func BenchmarkRequest(b *testing.B) {
	p := startDaemonPair(b)
	for _, c := range []struct{ name, url string }{
		{"direct", "http://" + p.target.Address() + "/x"},
		{"sameHost", "http://" + p.host.cfg.Load().Callers + "/x"},
		{"otherHost", "http://" + p.front.cfg.Load().Callers + "/x"},
	} {
		b.Run(c.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			defer client.CloseIdleConnections()
			b.ReportAllocs()
			for b.Loop() {
				if err := get(client, c.url); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTransfer measures the speed of one large upload and one large download, through the
// daemon on the target's host and through the front of another host.
func BenchmarkTransfer(b *testing.B) {
	const size = 24 << 20
	p := startDaemonPair(b)
	for _, via := range []struct {
		name   string
		daemon *Daemon
	}{{"sameHost", p.host}, {"otherHost", p.front}} {
		url := "http://" + via.daemon.cfg.Load().Callers + "/x"
		b.Run("upload/"+via.name, func(b *testing.B) {
			b.SetBytes(size)
			for b.Loop() {
				resp, err := http.Post(url, "application/octet-stream", io.LimitReader(zeros{}, size))
				if err != nil {
					b.Fatal(err)
				}
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatalf("status %d", resp.StatusCode)
				}
			}
		})
		b.Run("download/"+via.name, func(b *testing.B) {
			b.SetBytes(size)
			for b.Loop() {
				if err := get(http.DefaultClient, fmt.Sprintf("%s?size=%d", url, size)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
