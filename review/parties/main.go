// Command parties starts the project's daemons as separate processes on loopback addresses and
// plays the platform's store, the application instances and the consumers for them. Each
// argument names one case of the review.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// fleet is what every case uses.
type fleet struct {
	log       *recorder
	store     *store
	hosts     []*host
	instances []*instance
	dir       string
	areas     string
	trouble   bool
	stop      chan struct{}
}

var cases = map[string]func(*fleet) (int, error){
	"leave-then-restart": leaveThenRestart,
	"stop-twice":         stopTwice,
	"reset-unframed":     resetUnframed,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: parties CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// limit ends a case that takes too long.
const limit = 110 * time.Second

func play(c func(*fleet) (int, error), record string) int {
	log, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "parties")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	f := &fleet{log: log, dir: dir, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	defer func() { _ = os.RemoveAll(dir) }()
	defer f.end()
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		code, err := c(f)
		done <- outcome{code, err}
	}()
	o := outcome{failed, fmt.Errorf("the case took longer than %s", limit)}
	select {
	case o = <-done:
	case <-time.After(limit):
	}
	if o.err != nil {
		o.code = failed
		log.printf("could not run: %v", o.err)
	}
	log.printf("result: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[o.code])
	fmt.Println([...]string{"the rule held", "the rule was broken", "the case could not run"}[o.code])
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range f.hosts {
			if b, err := os.ReadFile(h.output); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), b, 0o600)
			}
		}
	}
	return o.code
}

func (f *fleet) end() {
	close(f.stop)
	for _, in := range f.instances {
		in.end()
	}
	for _, h := range f.hosts {
		h.kill()
	}
	if f.store != nil {
		_ = f.store.server.Close()
	}
}
