package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/cli"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/standin/target"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// startCrashingTarget starts an instance on the daemon's host. A request to
// target.CrashPathSuffix crashes it for 100 ms.
func startCrashingTarget(t *testing.T, host *Daemon) *target.Server {
	t.Helper()
	s, err := target.Start(target.Config{Name: "i", Service: "s", Address: "127.0.0.1:0", Announce: host.cfg.Load().Announce, Slots: 4, Downtime: 100 * time.Millisecond})
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	return s
}

// waitUntilServed waits until the front serves requests.
func waitUntilServed(t *testing.T, front *Daemon) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if get(http.DefaultClient, "http://"+front.cfg.Load().Callers+"/") == nil {
			return
		}
	}
	t.Fatal("no request was served within 20 s")
}

// getFailure sends a GET that is expected to fail and returns the reason and the
// verdict of its failure.
func getFailure(t *testing.T, front *Daemon, path string) (reason, gotVerdict string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+front.cfg.Load().Callers+path, nil)
	assert.NilError(t, err)
	return sendFailing(t, req)
}

// sendFailing sends a request that is expected to fail and returns the reason and the
// verdict of its failure.
func sendFailing(t *testing.T, req *http.Request) (reason, gotVerdict string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var p verdict.Problem
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&p))
	return p.Title, p.Verdict
}

func shutdown(daemons []*Daemon) {
	for _, d := range daemons {
		d.Shutdown(nil)
	}
}

// A blocked request must stay blocked after all daemons have been restarted at once.
// The platform counts crashes across such a restart. Hosts store nothing: before blocked
// requests were recorded on the platform, the request crashed the instance that it reached
// after the restart, and could crash three before it was blocked again.
func TestBlockedRequestStaysBlockedAfterRestartOfAllDaemons(t *testing.T) {
	platform := startPlatform(t)
	before := startDaemons(t, platform)
	i := startCrashingTarget(t, before[1])
	for range 3 {
		waitUntilServed(t, before[0])
		reason, _ := getFailure(t, before[0], target.CrashPathSuffix)
		assert.Equal(t, reason, string(verdict.ReasonTargetCrashed))
	}
	waitUntilServed(t, before[0])
	reason, gotVerdict := getFailure(t, before[0], target.CrashPathSuffix)
	assert.Equal(t, reason, string(verdict.ReasonCrashesTargets))
	assert.Equal(t, gotVerdict, verdict.NotRun.String())
	time.Sleep(time.Second)
	shutdown(before)
	assert.Equal(t, len(i.Runs().CrashTimes), 3)

	after := startDaemons(t, platform)
	defer shutdown(after)
	i = startCrashingTarget(t, after[1])
	waitUntilServed(t, after[0])
	reason, gotVerdict = getFailure(t, after[0], target.CrashPathSuffix)
	assert.Equal(t, reason, string(verdict.ReasonCrashesTargets))
	assert.Equal(t, gotVerdict, verdict.NotRun.String())
	assert.Equal(t, len(i.Runs().CrashTimes), 0, "the blocked request must not crash an instance")

	deleteCrasher(t, platform)
	for end := time.Now().Add(20 * time.Second); len(i.Runs().CrashTimes) == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		reason, _ = getFailure(t, after[0], target.CrashPathSuffix)
	}
	assert.Equal(t, reason, string(verdict.ReasonTargetCrashed), "the request must run again once its record is deleted")
}

// deleteCrasher deletes the only Crasher record, as an operator would.
func deleteCrasher(t *testing.T, platform string) {
	t.Helper()
	client := objects.NewClient(platform, time.Second)
	defer client.Close()
	page, err := client.List(context.Background(), record.KindCrasher)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Objects), 1)
	_, err = client.Delete(context.Background(), page.Objects[0].Key(), page.Objects[0].Version)
	assert.NilError(t, err)
}

// The suspects command lists a request that has crashed instances, before and after it is
// blocked, and clears it. While the platform is unreachable, it lists what the daemon knows.
func TestOperatorsSeeAndClearSuspects(t *testing.T) {
	platform := startPlatform(t)
	daemons := startDaemons(t, platform)
	defer shutdown(daemons)
	i := startCrashingTarget(t, daemons[1])
	assert.Equal(t, runCLI(t, platform, daemons[0], "suspects"), "no request is suspected of crashing instances\n")
	for n := range 3 {
		waitUntilServed(t, daemons[0])
		reason, _ := getFailure(t, daemons[0], target.CrashPathSuffix)
		assert.Equal(t, reason, string(verdict.ReasonTargetCrashed))
		if n == 0 {
			shown := waitForSuspect(t, platform, daemons[0])
			assert.Assert(t, strings.Contains(shown, " h1 "), "missing the host that observed the crash: %s", shown)
		}
	}
	waitUntilServed(t, daemons[0])
	time.Sleep(time.Second)
	shown := runCLI(t, platform, daemons[0], "suspects")
	assert.Assert(t, strings.Contains(shown, " h1 "), "missing the host that observed the crashes: %s", shown)
	assert.Assert(t, strings.Contains(shown, "blocked until") && strings.Contains(shown, "GET") && strings.Contains(shown, target.CrashPathSuffix), shown)
	fingerprint := strings.Fields(strings.Split(shown, "\n")[1])[0]
	withoutPlatform := runCLI(t, "http://127.0.0.1:1", daemons[0], "suspects")
	assert.Assert(t, strings.Contains(withoutPlatform, "records are missing") && strings.Contains(withoutPlatform, fingerprint), withoutPlatform)

	shown = runCLI(t, platform, daemons[0], "suspects", "clear", fingerprint)
	assert.Assert(t, strings.Contains(shown, "is removed"), shown)
	before := len(i.Runs().CrashTimes)
	for end := time.Now().Add(20 * time.Second); len(i.Runs().CrashTimes) == before && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		getFailure(t, daemons[0], target.CrashPathSuffix)
	}
	assert.Equal(t, len(i.Runs().CrashTimes), before+1, "the request must run again once it is cleared")
}

// crashPropagationTimeout is the time in which a crash becomes known to all hosts of a
// small fleet.
const crashPropagationTimeout = 500 * time.Millisecond

// waitForSuspect waits until the suspects command lists a request that has crashed one
// instance, and returns its output. The crash report is sent separately from the response
// to the request and may arrive later.
func waitForSuspect(t *testing.T, platform string, d *Daemon) string {
	t.Helper()
	shown := ""
	for end := time.Now().Add(crashPropagationTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if shown = runCLI(t, platform, d, "suspects"); strings.Contains(shown, "suspected  1") {
			return shown
		}
	}
	t.Fatalf("suspect not listed within %s: %s", crashPropagationTimeout, shown)
	return ""
}

// runCLI runs the radishhoist command and returns its output.
func runCLI(t *testing.T, platform string, d *Daemon, args ...string) string {
	t.Helper()
	var out strings.Builder
	all := append([]string{"radishhoist", "--platform", platform, "--admin", d.cfg.Load().Admin}, args...)
	assert.NilError(t, cli.New(strings.NewReader(""), &out, nil).Run(t.Context(), all), out.String())
	return out.String()
}

// newIdempotencyKey returns a key with a timestamp in it, as callers should send.
func newIdempotencyKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

// waitForKeyShards waits until a request with a key is served and every key shard holds a
// key. A key that is as old as the owner of its shard is refused as unknown, and owners do
// not all start at the same time.
func waitForKeyShards(t *testing.T, daemons []*Daemon) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, "http://"+daemons[0].cfg.Load().Callers+"/", nil)
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", newIdempotencyKey(t))
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && allShardsHaveKeys(daemons) {
			return
		}
	}
	t.Fatal("not every key shard held a key within 20 s")
}

// allShardsHaveKeys reports whether every key shard is held and has a key.
func allShardsHaveKeys(daemons []*Daemon) bool {
	shards := 0
	for _, d := range daemons {
		for _, s := range d.keys.State() {
			if !s.HasAuthority || s.Keys == 0 {
				return false
			}
			shards++
		}
	}
	return shards > 0
}

// crashingRequest returns a request to a front for target.CrashPathSuffix, with the given Host header.
func crashingRequest(t *testing.T, front *Daemon, host string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+front.cfg.Load().Callers+target.CrashPathSuffix, nil)
	assert.NilError(t, err)
	req.Host = host
	return req
}

// The fingerprint of a request must not include the Host header when its route matches
// every host. Callers address each front by its own address. In a soak test, the same
// request therefore had another fingerprint at each front; each front blocked it only
// after three crashes, and one path crashed eighteen instances.
func TestFingerprintOmitsHostHeader(t *testing.T) {
	daemons := startDaemons(t, startPlatform(t))
	defer shutdown(daemons)
	i := startCrashingTarget(t, daemons[1])
	for n := range 3 {
		waitUntilServed(t, daemons[0])
		reason, _ := sendFailing(t, crashingRequest(t, daemons[0], fmt.Sprintf("10.0.0.%d", n)))
		assert.Equal(t, reason, string(verdict.ReasonTargetCrashed))
	}
	waitUntilServed(t, daemons[0])
	reason, gotVerdict := sendFailing(t, crashingRequest(t, daemons[0], "10.0.0.9"))
	assert.Equal(t, reason, string(verdict.ReasonCrashesTargets))
	assert.Equal(t, gotVerdict, verdict.NotRun.String())
	assert.Equal(t, len(i.Runs().CrashTimes), 3)
}

// Sends non-idempotent requests without a key, with a key, and with a body too large to
// buffer. Each one that reached an instance must be reported as "may have run", and each
// one after the third crash as "not run". Blocking it must not block another body or
// another path.
func TestVerdictsOfBlockedNonIdempotentRequests(t *testing.T) {
	daemons := startDaemons(t, startPlatform(t))
	defer shutdown(daemons)
	i := startCrashingTarget(t, daemons[1])
	for name, body := range map[string]string{"plain": "x", "keyed": "y", "large": strings.Repeat("z", 1<<20)} {
		before := len(i.Runs().CrashTimes)
		post := func(body string) *http.Request {
			req, err := http.NewRequest(http.MethodPost, "http://"+daemons[0].cfg.Load().Callers+target.CrashPathSuffix, strings.NewReader(body))
			assert.NilError(t, err)
			if name == "keyed" {
				req.Header.Set("Idempotency-Key", newIdempotencyKey(t))
			}
			return req
		}
		for range 3 {
			waitForKeyShards(t, daemons)
			reason, gotVerdict := sendFailing(t, post(body))
			assert.Check(t, reason == string(verdict.ReasonTargetCrashed), "%s: %s", name, reason)
			assert.Check(t, gotVerdict == verdict.MayHaveRun.String(), "%s: %s", name, gotVerdict)
		}
		waitForKeyShards(t, daemons)
		reason, gotVerdict := sendFailing(t, post(body))
		assert.Check(t, reason == string(verdict.ReasonCrashesTargets), "%s: %s", name, reason)
		assert.Check(t, gotVerdict == verdict.NotRun.String(), "%s: %s", name, gotVerdict)
		assert.Check(t, len(i.Runs().CrashTimes) == before+3, "%s: %d", name, len(i.Runs().CrashTimes)-before)
		reason, _ = sendFailing(t, post(body+"other"))
		assert.Check(t, reason == string(verdict.ReasonTargetCrashed), "%s, another body: %s", name, reason)
	}
}
