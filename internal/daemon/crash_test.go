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

// startFragile starts an instance beside a daemon that ends on its fatal path, and is back
// soon after.
func startFragile(t *testing.T, host *Daemon) *target.Server {
	t.Helper()
	s, err := target.Start(target.Config{Name: "i", Service: "s", Address: "127.0.0.1:0", Announce: host.cfg.Load().Announce, Slots: 4, Downtime: 100 * time.Millisecond})
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	return s
}

// awaitServed waits until a front serves requests.
func awaitServed(t *testing.T, front *Daemon) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if get(http.DefaultClient, "http://"+front.cfg.Load().Callers+"/") == nil {
			return
		}
	}
	t.Fatal("no instance is used")
}

// reasonOf sends a request and gives the reason and the verdict of its failure.
func reasonOf(t *testing.T, front *Daemon, path string) (reason, ran string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+front.cfg.Load().Callers+path, nil)
	assert.NilError(t, err)
	return failureOf(t, req)
}

// failureOf sends a request and gives the reason and the verdict of its failure.
func failureOf(t *testing.T, req *http.Request) (reason, ran string) {
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

// What users would see: after the loss of all processes at once, the request that had
// ended three instances ends three more. No such day was seen; the platform's days end
// with such a loss, and its rule counts on.
//
// Order of events: a request ends three instances and is stopped. All processes end and
// start again. The request comes once more.
//
// Cause: hosts keep nothing, and what the fleet knew of ends lived in its processes alone.
//
// Evidence: before the platform kept it, the request ended the instance that it met
// after the loss.
func TestAStoppedRequestStaysStoppedOverALossOfAllProcesses(t *testing.T) {
	platform := startPlatform(t)
	before := startDaemons(t, platform)
	i := startFragile(t, before[1])
	for range 3 {
		awaitServed(t, before[0])
		reason, _ := reasonOf(t, before[0], target.CrashPathSuffix)
		assert.Equal(t, reason, string(verdict.ReasonTargetCrashed))
	}
	awaitServed(t, before[0])
	reason, promise := reasonOf(t, before[0], target.CrashPathSuffix)
	assert.Equal(t, reason, string(verdict.ReasonCrashesTargets))
	assert.Equal(t, promise, verdict.NotRun.String())
	time.Sleep(time.Second)
	shutdown(before)
	assert.Equal(t, len(i.Runs().CrashTimes), 3)

	after := startDaemons(t, platform)
	defer shutdown(after)
	i = startFragile(t, after[1])
	awaitServed(t, after[0])
	reason, promise = reasonOf(t, after[0], target.CrashPathSuffix)
	assert.Equal(t, reason, string(verdict.ReasonCrashesTargets))
	assert.Equal(t, promise, verdict.NotRun.String())
	assert.Equal(t, len(i.Runs().CrashTimes), 0, "no instance ended for it")

	liftAll(t, platform)
	for end := time.Now().Add(20 * time.Second); len(i.Runs().CrashTimes) == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		reason, _ = reasonOf(t, after[0], target.CrashPathSuffix)
	}
	assert.Equal(t, reason, string(verdict.ReasonTargetCrashed), "it runs again by an operator's word")
}

// liftAll deletes every record of a stopped request, as an operator would.
func liftAll(t *testing.T, platform string) {
	t.Helper()
	client := objects.NewClient(platform, time.Second)
	defer client.Close()
	page, err := client.List(context.Background(), record.KindCrasher)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Objects), 1)
	_, err = client.Delete(context.Background(), page.Objects[0].Key(), page.Objects[0].Version)
	assert.NilError(t, err)
}

// An operator sees a request that has ended instances before it is stopped and after, and
// lets it run again; while the platform is away, what the daemon knows is shown all the
// same.
func TestOperatorsSeeAndClearSuspects(t *testing.T) {
	platform := startPlatform(t)
	daemons := startDaemons(t, platform)
	defer shutdown(daemons)
	i := startFragile(t, daemons[1])
	assert.Equal(t, operate(t, platform, daemons[0], "suspects"), "no request is suspected of ending instances\n")
	for n := range 3 {
		awaitServed(t, daemons[0])
		reason, _ := reasonOf(t, daemons[0], target.CrashPathSuffix)
		assert.Equal(t, reason, string(verdict.ReasonTargetCrashed))
		if n == 0 {
			shown := awaitSuspect(t, platform, daemons[0])
			assert.Assert(t, strings.Contains(shown, " h1 "), "the host that saw it: %s", shown)
		}
	}
	awaitServed(t, daemons[0])
	time.Sleep(time.Second)
	shown := operate(t, platform, daemons[0], "suspects")
	assert.Assert(t, strings.Contains(shown, " h1 "), "the host that saw its ends: %s", shown)
	assert.Assert(t, strings.Contains(shown, "stopped until") && strings.Contains(shown, "GET") && strings.Contains(shown, target.CrashPathSuffix), shown)
	print := strings.Fields(strings.Split(shown, "\n")[1])[0]
	away := operate(t, "http://127.0.0.1:1", daemons[0], "suspects")
	assert.Assert(t, strings.Contains(away, "records are missing") && strings.Contains(away, print), away)

	shown = operate(t, platform, daemons[0], "suspects", "clear", print)
	assert.Assert(t, strings.Contains(shown, "is removed"), shown)
	before := len(i.Runs().CrashTimes)
	for end := time.Now().Add(20 * time.Second); len(i.Runs().CrashTimes) == before && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		reasonOf(t, daemons[0], target.CrashPathSuffix)
	}
	assert.Equal(t, len(i.Runs().CrashTimes), before+1, "it runs again")
}

// newsTime is how soon all hosts of a small fleet know of an end.
const newsTime = 500 * time.Millisecond

// awaitSuspect waits until operators of a daemon see a request that has ended one
// instance, and gives what they see. Its caller may have the answer before that: the news of the end goes a way of
// its own.
func awaitSuspect(t *testing.T, platform string, d *Daemon) string {
	t.Helper()
	shown := ""
	for end := time.Now().Add(newsTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if shown = operate(t, platform, d, "suspects"); strings.Contains(shown, "suspected  1") {
			return shown
		}
	}
	t.Fatalf("not shown in time: %s", shown)
	return ""
}

// operate runs the operators' command line and gives what it prints.
func operate(t *testing.T, platform string, d *Daemon, args ...string) string {
	t.Helper()
	var out strings.Builder
	all := append([]string{"radishhoist", "--platform", platform, "--admin", d.cfg.Load().Admin}, args...)
	assert.NilError(t, cli.New(strings.NewReader(""), &out, nil).Run(t.Context(), all), out.String())
	return out.String()
}

// newKey makes a key as callers should: with the time in it.
func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

// awaitKeys waits until a keyed request is served and every shard of keys has taken one: a
// key that is as old as its shard's owner is refused as unknown, and the owner of one shard
// may begin later than that of another.
func awaitKeys(t *testing.T, daemons []*Daemon) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, "http://"+daemons[0].cfg.Load().Callers+"/", nil)
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", newKey(t))
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && allShardsTake(daemons) {
			return
		}
	}
	t.Fatal("keys have no owner")
}

// allShardsTake says that every shard of keys has taken a key.
func allShardsTake(daemons []*Daemon) bool {
	shards := 0
	for _, d := range daemons {
		for _, s := range d.keys.State() {
			if !s.Held || s.Keys == 0 {
				return false
			}
			shards++
		}
	}
	return shards > 0
}

// addressedTo makes the fatal request for a front, with another address in its Host header.
func addressedTo(t *testing.T, front *Daemon, host string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+front.cfg.Load().Callers+target.CrashPathSuffix, nil)
	assert.NilError(t, err)
	req.Host = host
	return req
}

// What users saw in a soak: a request that had ended three instances went on ending others,
// once at each front more.
//
// Order of events: the request ends an instance through one front, and comes again at
// another; callers address each front by its own address.
//
// Cause: the address stood in the Host header, which was taken for a part of the request,
// though its route holds for every host.
//
// Evidence: eighteen instances ended under one path, of which each front stopped its own
// print after three.
func TestTheFrontsAddressIsNoPartOfARequest(t *testing.T) {
	daemons := startDaemons(t, startPlatform(t))
	defer shutdown(daemons)
	i := startFragile(t, daemons[1])
	for n := range 3 {
		awaitServed(t, daemons[0])
		reason, _ := failureOf(t, addressedTo(t, daemons[0], fmt.Sprintf("10.0.0.%d", n)))
		assert.Equal(t, reason, string(verdict.ReasonTargetCrashed))
	}
	awaitServed(t, daemons[0])
	reason, promise := failureOf(t, addressedTo(t, daemons[0], "10.0.0.9"))
	assert.Equal(t, reason, string(verdict.ReasonCrashesTargets))
	assert.Equal(t, promise, verdict.NotRun.String())
	assert.Equal(t, len(i.Runs().CrashTimes), 3)
}

// Work that cannot be repeated, with a key and without, and with a body too large to keep:
// each send that reached an instance is told as one that may have run, and what comes
// after the third end as one that has not. Neither another body nor another path is
// stopped with it.
func TestWorkThatIsNotIdempotentIsStoppedTruthfully(t *testing.T) {
	daemons := startDaemons(t, startPlatform(t))
	defer shutdown(daemons)
	i := startFragile(t, daemons[1])
	for name, body := range map[string]string{"plain": "x", "keyed": "y", "large": strings.Repeat("z", 1<<20)} {
		before := len(i.Runs().CrashTimes)
		post := func(body string) *http.Request {
			req, err := http.NewRequest(http.MethodPost, "http://"+daemons[0].cfg.Load().Callers+target.CrashPathSuffix, strings.NewReader(body))
			assert.NilError(t, err)
			if name == "keyed" {
				req.Header.Set("Idempotency-Key", newKey(t))
			}
			return req
		}
		for range 3 {
			awaitKeys(t, daemons)
			reason, promise := failureOf(t, post(body))
			assert.Check(t, reason == string(verdict.ReasonTargetCrashed), "%s: %s", name, reason)
			assert.Check(t, promise == verdict.MayHaveRun.String(), "%s: %s", name, promise)
		}
		awaitKeys(t, daemons)
		reason, promise := failureOf(t, post(body))
		assert.Check(t, reason == string(verdict.ReasonCrashesTargets), "%s: %s", name, reason)
		assert.Check(t, promise == verdict.NotRun.String(), "%s: %s", name, promise)
		assert.Check(t, len(i.Runs().CrashTimes) == before+3, "%s: %d", name, len(i.Runs().CrashTimes)-before)
		reason, _ = failureOf(t, post(body+"other"))
		assert.Check(t, reason == string(verdict.ReasonTargetCrashed), "%s, another body: %s", name, reason)
	}
}
