package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/lab"
	"github.com/radishhoist/radishhoist/internal/logtest"
	"github.com/radishhoist/radishhoist/record"
)

// Guards against processes that outlive their demo. They were stopped only by the last step
// of the demo, so a demo that died earlier because its output was closed (make demo | head)
// left its platform, targets and daemons running, and later demos used them as their own:
// eight demos in a row reported that a good target served a tenth of its even share.
func TestDemoLeavesNoProcesses(t *testing.T) {
	for i, c := range []struct {
		name string
		end  func(demo *os.Process, output io.Closer) error
	}{
		{"its output is closed", func(_ *os.Process, output io.Closer) error { return output.Close() }},
		{"an interrupt", func(demo *os.Process, _ io.Closer) error { return demo.Signal(syscall.SIGINT) }},
		{"a termination signal", func(demo *os.Process, _ io.Closer) error { return demo.Signal(syscall.SIGTERM) }},
		{"its terminal is closed", func(demo *os.Process, _ io.Closer) error { return demo.Signal(syscall.SIGHUP) }},
		{"it is killed", func(demo *os.Process, _ io.Closer) error { return demo.Kill() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			demo, children := startDemo(t, 40+i)
			assert.NilError(t, c.end(demo.cmd.Process, demo.output))
			_ = demo.cmd.Wait()
			for _, pid := range children {
				waitForExit(t, pid)
			}
		})
	}
}

type demoProcess struct {
	cmd    *exec.Cmd
	output io.ReadCloser
}

// startDemo starts a demo, waits until at least three of its child processes run, and returns
// their process IDs.
func startDemo(t *testing.T, octet int) (*demoProcess, []int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "radishhoist-lab"), "demo", "--bin", binDir, "--net", strconv.Itoa(octet))
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
	output, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	_, err = bufio.NewReader(output).ReadString('\n')
	assert.NilError(t, err)
	var children []int
	for end := time.Now().Add(waitTimeout); len(children) < 3; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the demo started %d processes", len(children))
		children = childrenOf(t, cmd.Process.Pid)
	}
	return &demoProcess{cmd: cmd, output: output}, children
}

// childrenOf returns the process IDs of the children of a process.
func childrenOf(t *testing.T, parent int) []int {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/stat")
	assert.NilError(t, err)
	var out []int
	for _, file := range files {
		pid, err := strconv.Atoi(filepath.Base(filepath.Dir(file)))
		assert.NilError(t, err)
		if fields := procStat(pid); len(fields) > 1 && fields[1] == strconv.Itoa(parent) {
			out = append(out, pid)
		}
	}
	return out
}

// procStat returns the fields of /proc/PID/stat from the process state on, or nil if the
// process does not exist.
func procStat(pid int) []string {
	line, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil
	}
	return strings.Fields(string(line[strings.LastIndexByte(string(line), ')')+1:]))
}

// waitForExit waits until a process does not exist or is a zombie. On time-out it kills the
// process and fails the test.
func waitForExit(t *testing.T, pid int) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if fields := procStat(pid); len(fields) == 0 || fields[0] == "Z" {
			return
		}
	}
	_ = syscall.Kill(pid, syscall.SIGKILL)
	t.Errorf("process %d is still running", pid)
}

// Guards against stand-ins that exit when a connection is reset: SIGPIPE, which a closed output
// raises, also comes from a write to a connection that has been reset. The platform of a soak run
// exited 6 s after its start.
func TestStandInSurvivesResets(t *testing.T) {
	f := lab.NewFleet(context.Background(), binDir, t.TempDir(), &logtest.Buffer{})
	defer f.Stop()
	assert.NilError(t, f.StartPlatform("127.0.53.1"))
	for range 50 {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.Platform, "http://"))
		assert.NilError(t, err)
		_, err = io.WriteString(c, "GET /v1/watch?after=0&waitMS=600 HTTP/1.1\r\nHost: platform\r\n\r\n")
		assert.NilError(t, err)
		time.Sleep(10 * time.Millisecond)
		assert.NilError(t, c.(*net.TCPConn).SetLinger(0))
		assert.NilError(t, c.Close())
	}
	assert.NilError(t, f.Put(t.Context(), record.Key{Kind: record.KindTeam, Name: "a"}, &record.Team{Office: "a"}))
}

// A fleet must not use a process of another run that listens on its address. It fails
// immediately with the name and the last output line of the process that could not start.
func TestFleetFailsIfPortIsInUse(t *testing.T) {
	first := lab.NewFleet(context.Background(), binDir, t.TempDir(), &logtest.Buffer{})
	defer first.Stop()
	assert.NilError(t, first.StartPlatform("127.0.46.1"))

	second := lab.NewFleet(context.Background(), binDir, t.TempDir(), &logtest.Buffer{})
	defer second.Stop()
	err := second.StartPlatform("127.0.46.1")
	assert.ErrorContains(t, err, "platform exited unexpectedly")
	assert.ErrorContains(t, err, "another process has this port")

	l, err := net.Listen("tcp", fmt.Sprintf("127.0.46.11:%d", lab.CallersPort))
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	_, err = first.StartHost("h1", "dc1", "127.0.46.11", "")
	assert.NilError(t, err)
	err = first.WaitUntilServing(waitTimeout, nil)
	assert.ErrorContains(t, err, "h1 exited unexpectedly")
	assert.ErrorContains(t, err, "another process has this port")
}
