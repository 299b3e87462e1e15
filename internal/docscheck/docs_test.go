package docscheck

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/settings"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

const repositoryRoot = "../.."

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, path))
	assert.NilError(t, err)
	return string(text)
}

func TestEventCatalogueIsComplete(t *testing.T) {
	text := readFile(t, "docs/EVENTS.md")
	rows := regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \|`).FindAllStringSubmatch(text, -1)
	documented := map[string]string{}
	for _, r := range rows {
		documented[r[1]] = strings.TrimSpace(r[2])
	}
	seen := map[int]bool{}
	for _, e := range event.All() {
		assert.Assert(t, !seen[e.Number], "event number %d is used twice", e.Number)
		seen[e.Number] = true
		assert.Equal(t, documented[fmt.Sprint(e.Number)], e.Name, "docs/EVENTS.md, event %d", e.Number)
	}
	assert.Equal(t, len(documented), len(event.All()), "docs/EVENTS.md lists events that are not in the code")
}

func TestEveryDeclaredEventIsListed(t *testing.T) {
	declared := regexp.MustCompile(`= Event\{`).FindAllString(readFile(t, "internal/event/event.go"), -1)
	assert.Equal(t, len(declared), len(event.All()))
}

func TestSettingsReferenceIsCurrent(t *testing.T) {
	assert.Assert(t, strings.Contains(readFile(t, "docs/operate/settings.md"), settings.Reference()),
		"docs/operate/settings.md differs from `radishhoistd -reference`; paste its output")
}

func TestRecordExamplesAreValid(t *testing.T) {
	text := readFile(t, "docs/operate/records.md")
	blocks := regexp.MustCompile("(?s)```json\n(.*?)```").FindAllStringSubmatch(text, -1)
	kinds := map[record.Kind]bool{}
	for _, b := range blocks {
		r, err := record.Parse([]byte(b[1]))
		assert.NilError(t, err, b[1])
		kinds[r.Kind] = true
	}
	for _, k := range record.OperatorKinds {
		assert.Assert(t, kinds[k], "docs/operate/records.md has no example of %s", k)
	}
}

func TestEveryReasonIsDocumented(t *testing.T) {
	source := readFile(t, "verdict/verdict.go")
	text := readFile(t, "docs/operate/answers.md")
	reasons := regexp.MustCompile(`Reason\s+= "([a-z-]+)"`).FindAllStringSubmatch(source, -1)
	assert.Assert(t, len(reasons) > 10)
	for _, r := range reasons {
		assert.Assert(t, strings.Contains(text, "`"+r[1]+"`"), "docs/operate/answers.md does not document %s", r[1])
	}
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		assert.Assert(t, strings.Contains(text, "`"+v.String()+"`"))
	}
}

func TestMarkdownLinksResolve(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)
	err := filepath.WalkDir(repositoryRoot, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".md") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(path), m[1]))
			assert.NilError(t, err, "%s links to missing file %s", path, m[1])
		}
		return nil
	})
	assert.NilError(t, err)
}

func TestEveryMetricIsDocumented(t *testing.T) {
	text := readFile(t, "docs/operate/metrics.md")
	for _, path := range []string{"internal/daemon/metrics.go", "internal/front/counters.go", "internal/guard/counters.go", "internal/objects/ratelimit.go"} {
		for _, m := range regexp.MustCompile("[\"`](radishhoist_[a-z_]+)").FindAllStringSubmatch(readFile(t, path), -1) {
			assert.Assert(t, strings.Contains(text, m[1]), "docs/operate/metrics.md does not document %s", m[1])
		}
	}
}
