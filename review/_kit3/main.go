// Command kit3 plays the cases of the third review: it starts entries of the project between stand-ins of the
// platform's store, servers and clients, all on loopback. review/REPORT-3.md lists the cases.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var (
	begin = time.Now()

	mu sync.Mutex
	// recordFile is guarded by mu.
	recordFile *os.File
	// exits holds the functions to call at the end. Guarded by mu.
	exits []func()
)

// note writes a line of the record, with the time since the start.
func note(format string, args ...any) {
	mu.Lock()
	defer mu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f s  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
}

func atExit(f func()) {
	mu.Lock()
	defer mu.Unlock()
	exits = append(exits, f)
}

// end writes the result, ends what was started and exits.
func end(code int, format string, args ...any) {
	note(format, args...)
	fmt.Printf(format+"\n", args...)
	mu.Lock()
	functions := exits
	exits = nil
	mu.Unlock()
	for _, f := range functions {
		f()
	}
	os.Exit(code)
}

// check ends the test if it cannot run.
func check(err error) {
	if err != nil {
		end(exitFailed, "the case could not run: %v", err)
	}
}

// cases maps the names of the cases to their functions. trouble tells whether the disruption comes.
var cases = map[string]func(folder string, trouble bool){
	"settle":     settleCase,
	"upload":     uploadCase,
	"crashing":   crashingCase,
	"slowreader": slowReaderCase,
	"names":      namesCase,
}

func main() {
	const usage = "usage: kit3 CASE RECORD"
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(exitFailed)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	folder, err := os.MkdirTemp("", "kit3-")
	check(err)
	if os.Getenv("KEEP") == "" {
		atExit(func() { _ = os.RemoveAll(folder) })
	} else {
		fmt.Println(folder)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() { end(exitFailed, "ended by %v", <-stop) }()
	note("case %s, disruption: %v", os.Args[1], trouble)
	cases[os.Args[1]](folder, trouble)
}
