package guard

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
)

// Guards against announcements of another writer, in the name of a running instance, that move it to
// another service or end its leaving.
func TestAnnouncementOfAnotherWriterChangesNothing(t *testing.T) {
	const address = "127.0.0.1:1"
	announce := func(g *Guard, body string) int { return sendAnnouncement(g, http.MethodPut, "n", body) }
	for name, foreign := range map[string]string{
		"without state and sequence":          `{"service":"s2","address":"127.0.0.1:1","slots":5}`,
		"without state and sequence, same":    `{"service":"s","address":"127.0.0.1:1","slots":5}`,
		"without sequence":                    `{"service":"s","address":"127.0.0.1:1","slots":5,"state":"ready"}`,
		"at another address":                  `{"service":"s","address":"127.0.0.1:9","slots":5}`,
		"complete, for another service":       `{"service":"s2","address":"127.0.0.1:1","slots":5,"state":"ready","sequence":99}`,
		"with another type":                   `{"service":"s","address":"127.0.0.1:1","slots":5,"state":7,"sequence":99}`,
		"with an unknown state":               `{"service":"s","address":"127.0.0.1:1","slots":5,"state":"resting","sequence":99}`,
		"unreadable":                          `{"service":"s","addr`,
		"of another type":                     `["s"]`,
		"without state and sequence, leaving": `{"service":"s","address":"127.0.0.1:1","slots":5,"leaving":true}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGuard(t, address)
			assert.Equal(t, announce(g, `{"service":"s","address":"127.0.0.1:1","slots":2,"state":"ready","sequence":3}`), http.StatusOK)
			assert.Equal(t, announce(g, foreign), http.StatusBadRequest)
			inst, ok := g.find("s", "n")
			assert.Assert(t, ok, "the instance has moved to another service")
			assert.Equal(t, inst.address, address)
			assert.Equal(t, inst.announced().State, directory.Serving)
			assert.Equal(t, announce(g, `{"service":"s","address":"127.0.0.1:1","slots":2,"state":"draining","sequence":4}`), http.StatusOK)
			assert.Equal(t, announce(g, foreign), http.StatusBadRequest)
			assert.Equal(t, inst.announced().State, directory.Leaving)
		})
	}
}

// Where all instances send state and sequence, an announcement without them names no instance.
func TestIncompleteAnnouncementRegistersNothing(t *testing.T) {
	g := newTestGuard(t, "127.0.0.1:1")
	g.cfg.StrictAnnouncements = true
	for _, body := range []string{
		`{"service":"s","address":"127.0.0.1:2","slots":5}`,
		`{"service":"s","address":"127.0.0.1:2","slots":5,"state":"ready"}`,
		`{"service":"s","address":"127.0.0.1:2","slots":5,"sequence":1}`,
	} {
		assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", body), http.StatusBadRequest)
		_, ok := g.find("s", "n")
		assert.Assert(t, !ok)
	}
	assert.Equal(t, sendAnnouncement(g, http.MethodPut, "n", `{"service":"s","address":"127.0.0.1:2","slots":5,"state":"ready","sequence":1}`), http.StatusOK)
}
