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
		{"area without name", validSettings + "[peers]\nareas = a:north, b\n", []string{"[peers] areas", `"b" is not a pair of names`}},
		{"data centre in two areas", validSettings + "[peers]\nareas = a:north, a:south\n", []string{`data centre "a" is in two areas`}},
		{"bad toggle", validSettings + "[teams]\nfair_shares = on\n", []string{"[teams] fair_shares", "one of auto, yes, no"}},
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

// Guards against features that change the decisions of a deployment whose settings do not ask
// for them.
func TestFeaturesFollowFromTermsAndAreas(t *testing.T) {
	const adapter, term = "test-adapter", "crowded"
	Adapters, OverloadTerms[adapter] = append(Adapters, adapter), term
	t.Cleanup(func() {
		Adapters = Adapters[:len(Adapters)-1]
		delete(OverloadTerms, adapter)
	})
	withAdapter := strings.Replace(validSettings, "[platform]\n", "[platform]\nadapter = "+adapter+"\n", 1)
	for _, c := range []struct {
		name, text                string
		fairShares, learnRefusals bool
	}{
		{name: "nothing asked for", text: withAdapter},
		{name: "other terms", text: withAdapter + "terms = base,drain\n"},
		{name: "one area", text: withAdapter + "[peers]\nareas = a:north,b:north\n"},
		{name: "the term of another adapter", text: validSettings + "terms = " + term + "\n"},
		{name: "overload", text: withAdapter + "terms = base," + term + "\n", fairShares: true, learnRefusals: true},
		{name: "several areas", text: withAdapter + "[peers]\nareas = a:north,b:south\n", learnRefusals: true},
		{name: "turned off", text: withAdapter + "terms = " + term + "\n[teams]\nfair_shares = no\n"},
		{name: "turned on", text: validSettings + "[retry]\nlearn_refusals = yes\n", learnRefusals: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg, err := Parse("f.ini", []byte(c.text))
			assert.NilError(t, err)
			assert.Equal(t, cfg.FairShares, c.fairShares)
			assert.Equal(t, cfg.LearnRefusals, c.learnRefusals)
		})
	}
	assert.Equal(t, Default().PipelineDepth, 1)
}
