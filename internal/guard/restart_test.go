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

// say sends one announcement through the HTTP interface and gives the status.
func say(g *Guard, method, name, body string) int {
	w := httptest.NewRecorder()
	g.AnnounceHandler().ServeHTTP(w, httptest.NewRequest(method, "/v1/instances/"+name, strings.NewReader(body)))
	return w.Code
}

func ready(address string, born, sequence int) string {
	return fmt.Sprintf(`{"service":"s","address":%q,"slots":2,"state":"ready","sequence":%d,"born":%d,"another":{"field":1}}`, address, sequence, born)
}

// hung is a target that answers nothing until the test ends.
func hung(t *testing.T) string {
	t.Helper()
	release := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(func() {
		close(release)
		target.Close()
	})
	return strings.TrimPrefix(target.URL, "http://")
}

// settled waits until a condition holds.
func settled(t *testing.T, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition never held")
}

// An instance that starts again under its name holds and knows nothing of before.
// What ran at its last start is told at once as what it is: it may have run.
func TestANewStartInheritsNothing(t *testing.T) {
	address := hung(t)
	g := newTestGuard(t, address)
	assert.Equal(t, say(g, http.MethodPut, "n", ready(address, 1000, 7)), http.StatusOK)
	old, ok := g.find("s", "n")
	assert.Assert(t, ok)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	near, far := wire.Pipe()
	defer near.Close()
	go g.Serve(far, &msg.Run{RequestID: "r", Service: "s", Instance: "n", TimeoutMS: 60000, Idempotent: true, Method: "GET", URI: "/", Host: "a"})
	settled(t, func() bool { return old.load().Running == 1 })
	old.saw(time.Now(), result{failed: true})
	assert.Equal(t, say(g, http.MethodPut, "n", strings.Replace(ready(address, 1000, 8), "ready", "draining", 1)), http.StatusOK)

	assert.Equal(t, say(g, http.MethodPut, "n", ready(address, 5000, 1)), http.StatusOK)
	m, err := near.Recv(ctx)
	assert.NilError(t, err)
	fail, ok := m.(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, fail.Verdict, verdict.MayHaveRun)
	assert.Equal(t, fail.Reason, verdict.ReasonTargetBroke)

	now, ok := g.find("s", "n")
	assert.Assert(t, ok && now != old)
	load := now.load()
	assert.Equal(t, load.Running, uint32(0))
	assert.Assert(t, load.FailureProbability() < 0.5)
	assert.Equal(t, now.announced().State, directory.Serving)
	// Late words of the last start change nothing.
	assert.Equal(t, say(g, http.MethodPut, "n", strings.Replace(ready(address, 1000, 9), "ready", "draining", 1)), http.StatusOK)
	assert.Equal(t, say(g, http.MethodDelete, "n", `{"born":1000}`), http.StatusNoContent)
	same, ok := g.find("s", "n")
	assert.Assert(t, ok && same == now)
	assert.Equal(t, same.announced().State, directory.Serving)
	// Its own leave does.
	assert.Equal(t, say(g, http.MethodDelete, "n", ""), http.StatusNoContent)
	_, ok = g.find("s", "n")
	assert.Assert(t, !ok)
}

// A slot that the last start had granted is not used at the new one.
func TestAGrantEndsWithTheStartThatGaveIt(t *testing.T) {
	address := hung(t)
	g := newTestGuard(t, address)
	assert.Equal(t, say(g, http.MethodPut, "n", ready(address, 1000, 7)), http.StatusOK)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	near, far := wire.Pipe()
	defer near.Close()
	go g.Serve(far, &msg.Reserve{RequestID: "r", Service: "s", Instance: "n", TimeoutMS: 60000})
	m, err := near.Recv(ctx)
	assert.NilError(t, err)
	_, granted := m.(*msg.Grant)
	assert.Assert(t, granted)
	assert.Equal(t, say(g, http.MethodPut, "n", ready(address, 5000, 1)), http.StatusOK)
	m, err = near.Recv(ctx)
	assert.NilError(t, err)
	fail, ok := m.(*msg.Fail)
	assert.Assert(t, ok)
	assert.Equal(t, fail.Verdict, verdict.NotRun)
}

// foreign are announcements of other writers: none names an instance to use.
var foreign = []string{
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

// inForce brings service s into force as the only one.
func inForce(g *Guard) {
	s := &record.Record{Key: record.Key{Kind: record.KindService, Name: "s"}, Spec: &record.Service{Preset: record.PresetQuick, Floor: record.Floor{Percent: 50}}}
	g.Apply(directory.Build(directory.Compile([]*record.Record{s}, true), nil))
}

// What another writer announces names no instance to use, also under the name and
// at the address of one that is in use; that one holds, and the log says why.
func TestInvalidAnnouncementChangesNothing(t *testing.T) {
	out := &logtest.Buffer{}
	for _, name := range []string{"i", "other"} {
		for _, body := range foreign {
			g := newTestGuard(t, "127.0.0.1:1")
			g.log = slog.New(slog.NewJSONHandler(out, nil))
			inForce(g)
			held, _ := g.find("s", "i")
			status := say(g, http.MethodPut, name, body)
			still, ok := g.find("s", "i")
			assert.Assert(t, ok && still == held, "%s as %s", body, name)
			assert.Equal(t, len(g.all()), 1, "%s as %s", body, name)
			assert.Equal(t, status, http.StatusBadRequest, "%s as %s", body, name)
		}
	}
	assert.Assert(t, strings.Contains(out.String(), "no record names"))
}

// Lines about refused announcements are bounded.
func TestLinesAboutRefusedAnnouncementsAreBounded(t *testing.T) {
	out := &logtest.Buffer{}
	g := newTestGuard(t, "127.0.0.1:1")
	g.log = slog.New(slog.NewJSONHandler(out, nil))
	const sent = 5000
	for range sent {
		say(g, http.MethodPut, "x", "{")
	}
	assert.Assert(t, strings.Count(out.String(), "announce refused") < sent/2)
}

// Whatever bytes come, the instance in use holds, and none with a service that
// is not in force is made.
func FuzzAnnouncements(f *testing.F) {
	for _, body := range foreign {
		f.Add("other", []byte(body))
	}
	f.Add("other", []byte(ready("127.0.0.1:2", 1000, 1)))
	f.Add("i", []byte(ready("127.0.0.1:2", 0, 1)))
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		g := newTestGuard(t, "127.0.0.1:1")
		inForce(g)
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
