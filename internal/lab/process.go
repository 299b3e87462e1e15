package lab

import (
	"bytes"
	"io"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a child process. The kernel kills it when this process exits, even if this
// process is killed itself.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	done   chan struct{}
	err    error
	output *tailWriter
	// signalled is set once a signal was sent, after which an exit is expected.
	signalled atomic.Bool
}

// childStarter returns a channel of functions that run on one OS thread, which lives as
// long as this process. Children have to be started on it, because the kernel sends the
// parent-death signal when the thread that started the child exits.
var childStarter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

func (f *Fleet) start(name, program string, args ...string) (*Process, error) {
	output := &tailWriter{dst: f.logs}
	if f.OnOutput != nil {
		output.onLine = func(line []byte) { f.OnOutput(name, line) }
	}
	cmd := exec.Command(filepath.Join(f.binDir, program), args...)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	childStarter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{}), output: output}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs = append(f.procs, p)
	return p, nil
}

// PID returns the process ID. It distinguishes the responses of this process from those
// of a process of another run on the same address.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process, whose exit is expected from then on.
func (p *Process) Signal(sig syscall.Signal) error {
	p.signalled.Store(true)
	return p.cmd.Process.Signal(sig)
}

// Wait waits for the process to exit and returns true and its exit error, or false if the
// timeout expires first.
func (p *Process) Wait(timeout time.Duration) (bool, error) {
	select {
	case <-p.done:
		return true, p.err
	case <-time.After(timeout):
		return false, nil
	}
}

// unexpectedExit returns an error if the process exited without a signal from this one.
func (p *Process) unexpectedExit() error {
	exited, err := p.Wait(0)
	if !exited || p.signalled.Load() {
		return nil
	}
	if err == nil {
		err = errors.New("exit status 0")
	}
	return errors.Wrapf(err, "%s exited unexpectedly, last line of its output: %s", p.Name, p.output.lastLine())
}

// Stop kills all processes of the fleet by process ID, including suspended ones, and waits
// up to 5 s for each to exit.
func (f *Fleet) Stop() {
	procs := f.processes()
	for _, p := range procs {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		_, _ = p.Wait(5 * time.Second)
	}
}

func (f *Fleet) processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[:len(f.procs):len(f.procs)]
}

// tailWriter forwards the output of a process and keeps its last maxTailBytes.
type tailWriter struct {
	dst io.Writer
	// onLine, if set, is called with each complete line; unfinished is the start of the next.
	onLine     func([]byte)
	unfinished []byte

	mu   sync.Mutex
	tail []byte
}

const maxTailBytes = 4 << 10

// Write implements io.Writer.
func (t *tailWriter) Write(p []byte) (int, error) {
	t.mu.Lock()
	t.tail = append(t.tail, p...)
	if over := len(t.tail) - maxTailBytes; over > 0 {
		t.tail = append(t.tail[:0], t.tail[over:]...)
	}
	t.mu.Unlock()
	if t.onLine != nil {
		t.splitLines(p)
	}
	return t.dst.Write(p)
}

// splitLines calls onLine with the lines that p completes. The output of a process is written
// by one goroutine.
func (t *tailWriter) splitLines(p []byte) {
	t.unfinished = append(t.unfinished, p...)
	for {
		end := bytes.IndexByte(t.unfinished, '\n')
		if end < 0 {
			return
		}
		t.onLine(t.unfinished[:end])
		t.unfinished = t.unfinished[end+1:]
	}
}

func (t *tailWriter) lastLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := bytes.TrimSpace(t.tail)
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}
