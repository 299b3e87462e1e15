package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `[host]
name = h1
dc = a
[listen]
callers = 127.0.0.1:8080
peer = 127.0.0.1:7300
announce = 127.0.0.1:7700
admin = 127.0.0.1:7900
[platform]
url = http://127.0.0.1:7000
`

func TestParseValidSettings(t *testing.T) {
	c, err := Parse("good.ini", []byte(validSettings+"[peers]\nseeds = 10.0.0.1:7300, 10.0.0.2:7300\n"))
	assert.NilError(t, err)
	assert.Equal(t, c.Host, "h1")
	assert.DeepEqual(t, c.Seeds, []string{"10.0.0.1:7300", "10.0.0.2:7300"})
	assert.Equal(t, c.GrantTTL, Default().GrantTTL)
}

func TestErrorsNameFileSectionKeyAndExpectedValue(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"missing address", strings.Replace(validSettings, "callers = 127.0.0.1:8080\n", "", 1), []string{"f.ini: [listen] callers: is missing", "for example 127.0.0.1:8080"}},
		{"host name for IP", strings.Replace(validSettings, "127.0.0.1:8080", "localhost:8080", 1), []string{`"localhost" is not an IP address`}},
		{"announce not loopback", strings.Replace(validSettings, "127.0.0.1:7700", "10.0.0.1:7700", 1), []string{"[listen] announce", "neither a loopback address nor the IP address of callers or peer"}},
		{"unknown key", validSettings + "[guard]\nqueue_per_slots = 4\n", []string{"[guard] queue_per_slots: is not a settings key", "[guard] queue_per_slot?"}},
		{"bad time", validSettings + "[guard]\ngrant_life = 250\n", []string{`"250" is not a duration with a unit`, "10ms to 10s"}},
		{"out of bounds", validSettings + "[control]\nwatchers_per_dc = 99\n", []string{"99 is out of bounds", "1 to 16"}},
		{"two errors", strings.Replace(validSettings, "name = h1", "name = a b", 1) + "[log]\nlevel = loud\n", []string{"[host] name", "[log] level"}},
		{"bad URL", strings.Replace(validSettings, "http://127.0.0.1:7000", "127.0.0.1", 1), []string{"[platform] url"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.ini", []byte(c.text))
			assert.Assert(t, err != nil)
			for _, want := range c.want {
				assert.Assert(t, strings.Contains(err.Error(), want), "%v", err)
			}
		})
	}
}

func TestReferenceListsEveryKey(t *testing.T) {
	ref := Reference()
	for _, k := range keys {
		assert.Assert(t, strings.Contains(ref, "| `"+k.name+"` |"))
		assert.Assert(t, k.doc != "" && k.unit != "" && k.bound != "" && k.expected != "", k.name)
	}
}
