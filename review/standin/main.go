// Command standin runs the scripted cases of the review. It plays the platform's store, the
// instances and the consumers on loopback addresses and starts the daemons of the project as
// processes.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxRunTime bounds a case.
const maxRunTime = 110 * time.Second

func main() {
	cases := map[string]func(*rig, string){"length": runLength, "otherwriter": runOtherWriter, "turnedaway": runTurnedAway}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER REPOSITORY")
		os.Exit(2)
	}
	repo, err := filepath.Abs(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	r := newRig(os.Args[2], repo, os.Getenv("TROUBLE") != "0")
	r.tmp = tmp
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
			r.abort("stopped by a signal")
		case <-time.After(maxRunTime):
			r.abort("the case took too long")
		}
	}()
	cases[os.Args[1]](r, tmp)
}
