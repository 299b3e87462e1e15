package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/logtest"
)

// Guards against a SIGHUP that ends a daemon which is just starting. The settings are read from a
// named pipe, so that the signal arrives while they are read.
func TestReloadSignalDuringStartIsHandled(t *testing.T) {
	const ip = "127.0.54.1"
	path := filepath.Join(t.TempDir(), "settings.ini")
	text := fmt.Sprintf("[host]\nname = h1\ndc = dc1\n[listen]\ncallers = %[1]s:8080\npeer = %[1]s:8081\nadmin = %[1]s:8082\nannounce = %[1]s:8083\n[platform]\nurl = http://%[1]s:1\n", ip)
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	logs := &logtest.Buffer{}
	daemon := exec.Command(filepath.Join(binDir, "radishhoistd"), "-config", path)
	daemon.Stdout, daemon.Stderr = logs, logs
	assert.NilError(t, daemon.Start())
	defer func() {
		_ = daemon.Process.Kill()
		_ = daemon.Wait()
	}()

	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the daemon reads
	assert.NilError(t, err)
	assert.NilError(t, daemon.Process.Signal(syscall.SIGHUP))
	// The daemon reads the settings again from a regular file.
	replacement := path + ".new"
	assert.NilError(t, os.WriteFile(replacement, []byte(text+"[log]\nlevel = debug\n"), 0o600))
	assert.NilError(t, os.Rename(replacement, path))
	_, err = pipe.WriteString(text)
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())

	reloaded := fmt.Sprintf("%q", event.Reloaded.Name)
	for end := time.Now().Add(waitTimeout); !strings.Contains(logs.String(), reloaded); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no settings were reloaded:\n%s", logs.String())
	}
}
