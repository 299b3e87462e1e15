package guard

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/logtest"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// sendAnnouncement sends one request through the HTTP interface and returns the
// status.
func sendAnnouncement(g *Guard, method, name, body string) int {
	w := httptest.NewRecorder()
	g.AnnounceHandler().ServeHTTP(w, httptest.NewRequest(method, "/v1/instances/"+name, strings.NewReader(body)))
	return w.Code
}

// readyBody returns the announcement of a ready instance, with a field that the guard does
// not know and must ignore.
func readyBody(address string, startedMS, sequence int) string {
	return fmt.Sprintf(`{"service":"s","address":%q,"slots":2,"state":"ready","sequence":%d,"born":%d,"another":{"field":1}}`, address, sequence, startedMS)
}

// startHungTarget starts a target that does not respond until the test ends.
func startHungTarget(t *testing.T) string {
	t.Helper()
	address, _ := startObservedHungTarget(t)
	return address
}

// startObservedHungTarget is startHungTarget with a channel on which each request that
// the target has received is reported.
func startObservedHungTarget(t *testing.T) (address string, received <-chan struct{}) {
	t.Helper()
	release, requests := make(chan struct{}), make(chan struct{}, 16)
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests <- struct{}{}
		<-release
	}))
	t.Cleanup(func() {
		close(release)
		target.Close()
	})
	return strings.TrimPrefix(target.URL, "http://"), requests
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition did not hold within 10 s")
}

// An instance that restarts under the same name inherits no state. A request that was
// running before the restart fails at once with the verdict that it may have run.
func TestRestartedInstanceInheritsNoState(t *testing.T) {
	address, received := startObservedHungTarget(t)
	g := newTestGuard(t, address)
	assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody(address, 1000, 7)), http.StatusOK)
	old, ok := g.find("s", "n")
	assert.Assert(t, ok)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	near, far := wire.Pipe()
	defer near.Close()
	go g.Serve(far, &msg.Run{RequestID: "r", Service: "s", Instance: "n", TimeoutMS: 60000, Idempotent: true, Method: "GET", URI: "/", Host: "a"})
	waitFor(t, func() bool { return old.load().Running == 1 })
	// Before the target has received the request, the true verdict is not-run.
	<-received
	old.recordOutcome(time.Now(), result{failed: true})
	assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", strings.Replace(readyBody(address, 1000, 8), "ready", "draining", 1)), http.StatusOK)

	assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody(address, 5000, 1)), http.StatusOK)
	m, err := near.Recv(ctx)
	assert.NilError(t, err)
	fail, ok := m.(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, fail.Verdict, verdict.MayHaveRun)
	assert.Equal(t, fail.Reason, verdict.ReasonTargetBroke)

	restarted, ok := g.find("s", "n")
	assert.Assert(t, ok && restarted != old)
	load := restarted.load()
	assert.Equal(t, load.Running, uint32(0))
	assert.Assert(t, load.FailureProbability() < 0.5)
	assert.Equal(t, restarted.announced().State, directory.Serving)
	// Delayed announcements of the previous start have no effect.
	assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", strings.Replace(readyBody(address, 1000, 9), "ready", "draining", 1)), http.StatusOK)
	assert.Equal(t, sendAnnouncement(g, http.MethodDelete, "n", `{"born":1000}`), http.StatusNoContent)
	current, ok := g.find("s", "n")
	assert.Assert(t, ok && current == restarted)
	assert.Equal(t, current.announced().State, directory.Serving)
	// A withdrawal by the current start removes the instance.
	assert.Equal(t, sendAnnouncement(g, http.MethodDelete, "n", ""), http.StatusNoContent)
	_, ok = g.find("s", "n")
	assert.Assert(t, !ok)
}

// A slot granted before an instance restarted cannot be used after the restart.
func TestRestartRevokesGrants(t *testing.T) {
	address := startHungTarget(t)
	g := newTestGuard(t, address)
	assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody(address, 1000, 7)), http.StatusOK)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	near, far := wire.Pipe()
	defer near.Close()
	go g.Serve(far, &msg.Reserve{RequestID: "r", Service: "s", Instance: "n", TimeoutMS: 60000})
	m, err := near.Recv(ctx)
	assert.NilError(t, err)
	_, granted := m.(*msg.Grant)
	assert.Assert(t, granted)
	assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody(address, 5000, 1)), http.StatusOK)
	m, err = near.Recv(ctx)
	assert.NilError(t, err)
	fail, ok := m.(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, fail.Verdict, verdict.NotRun)
}

// invalidAnnouncements are bodies that do not describe a usable instance.
var invalidAnnouncements = []string{
	``, `null`, `[]`, `7`, `"x"`, `{`, "\x00\xff\xfe", `{}`,
	`{"service":"s"}`,
	`{"service":"s","address":"127.0.0.1:1"}`,
	`{"service":"s","address":"127.0.0.1:1","slots":"2"}`,
	`{"service":"s","address":"127.0.0.1:1","slots":2.5}`,
	`{"service":["s"],"address":"127.0.0.1:1","slots":2}`,
	`{"service":"unheard","address":"127.0.0.1:1","slots":2}`,
	`{"service":"s","address":"nowhere","slots":2}`,
	`{"service":"s","address":"127.0.0.1:1","slots":2,"state":"sleeping"}`,
	`{"service":"s","address":"127.0.0.1:1","slots":2,"born":"yesterday"}`,
	`{"service":"s","address":"127.0.0.1:1","slots":2,"born":1.5}`,
	`{"service":"s","address":"127.0.0.1:1","slots":2,"born":-1}`,
	`{"service":"s","address":"127.0.0.1:1","slots":2,"sequence":-1}`,
	`{"service":"s","address":"127.0.0.1:1","slots":2,"warmupLeftMS":{}}`,
}

// applyTestService applies records in which s is the only service.
func applyTestService(g *Guard) {
	s := &record.Record{Key: record.Key{Kind: record.KindService, Name: "s"}, Spec: &record.Service{Preset: record.PresetQuick, Floor: record.Floor{Percent: 50}}}
	g.Apply(directory.Build(directory.Compile([]*record.Record{s}, true), nil))
}

// An invalid announcement registers no instance and leaves an existing one unchanged,
// even under its name or with its address. The reason is logged.
func TestInvalidAnnouncementChangesNothing(t *testing.T) {
	out := &logtest.Buffer{}
	for _, name := range []string{"i", "other"} {
		for _, body := range invalidAnnouncements {
			g := newTestGuard(t, "127.0.0.1:1")
			g.log = slog.New(slog.NewJSONHandler(out, nil))
			applyTestService(g)
			before, _ := g.find("s", "i")
			status := sendAnnouncement(g, http.MethodPut, name, body)
			after, ok := g.find("s", "i")
			assert.Assert(t, ok && after == before, "%s as %s", body, name)
			assert.Equal(t, len(g.all()), 1, "%s as %s", body, name)
			assert.Equal(t, status, http.StatusBadRequest, "%s as %s", body, name)
		}
	}
	assert.Assert(t, strings.Contains(out.String(), "no Service record in force is named"))
}

// Log lines about refused announcements are rate-limited.
func TestRefusedAnnouncementLogLinesAreLimited(t *testing.T) {
	out := &logtest.Buffer{}
	g := newTestGuard(t, "127.0.0.1:1")
	g.log = slog.New(slog.NewJSONHandler(out, nil))
	const sent = 5000
	for range sent {
		sendAnnouncement(g, http.MethodPut, "x", "{")
	}
	assert.Assert(t, strings.Count(out.String(), "announce refused") < sent/2)
}

// Whatever bytes are sent, every registered instance is of the service in force and has
// at least one slot.
func FuzzAnnouncements(f *testing.F) {
	for _, body := range invalidAnnouncements {
		f.Add("other", []byte(body))
	}
	f.Add("other", []byte(readyBody("127.0.0.1:2", 1000, 1)))
	f.Add("i", []byte(readyBody("127.0.0.1:2", 0, 1)))
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		g := newTestGuard(t, "127.0.0.1:1")
		applyTestService(g)
		r := httptest.NewRequest(http.MethodPut, "/v1/instances/x", strings.NewReader(string(body)))
		r.SetPathValue("name", name)
		w := httptest.NewRecorder()
		g.putInstance(w, r)
		assert.Assert(t, w.Code == http.StatusOK || w.Code == http.StatusBadRequest)
		for _, inst := range g.all() {
			assert.Equal(t, inst.service, "s")
			assert.Assert(t, inst.slots >= 1)
		}
	})
}

// Guards against a leaving that is confirmed and ignored: delayed first announcements of a crashed start
// had replaced the running one, so that requests reached the instance after it had left.
func TestLeavingOfContestedStartIsApplied(t *testing.T) {
	const address = "127.0.0.1:1"
	for name, leave := range map[string]func(g *Guard) int{
		"announced": func(g *Guard) int {
			return sendAnnouncement(g, http.MethodPut, "n", strings.Replace(readyBody(address, 5000, 3), "ready", "draining", 1))
		},
		"withdrawn": func(g *Guard) int { return sendAnnouncement(g, http.MethodDelete, "n", `{"born":5000}`) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGuard(t, address)
			assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody(address, 5000, 1)), http.StatusOK)
			assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody(address, 5000, 2)), http.StatusOK)
			for sequence := range 2 {
				assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody(address, 1000, sequence+1)), http.StatusOK)
			}
			changes := 0
			g.onChanged = func() { changes++ }
			assert.Assert(t, leave(g) < http.StatusMultipleChoices)
			inst, ok := g.find("s", "n")
			assert.Assert(t, ok)
			assert.Equal(t, inst.announced().State, directory.Leaving)
			assert.Assert(t, changes > 0, "other hosts are not notified")
			// The start that contests it is running after all.
			assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", readyBody(address, 1000, 3)), http.StatusOK)
			assert.Equal(t, inst.announced().State, directory.Serving)
		})
	}
}
