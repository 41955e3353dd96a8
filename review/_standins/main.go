package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

var errUsage = errors.New("usage: review-standins runner | crash RECORD | memory RECORD | dark RECORD")

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(exitUnable)
	}
	if os.Args[1] == "runner" {
		if err := runRunner(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUnable)
		}
		return
	}
	cases := map[string]func(*world) (broken int, err error){"crash": playCrash, "memory": playMemory, "dark": playDark}
	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(exitUnable)
	}
	os.Exit(run(play, os.Args[2]))
}

// run plays a case and returns its exit code.
func run(play func(*world) (int, error), recordPath string) int {
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer w.close()
	broken, err := play(w)
	switch {
	case err != nil:
		record.line("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	case broken > 0:
		record.line("RULE BROKEN %d times", broken)
		fmt.Printf("rule broken %d times\n", broken)
		return exitBroken
	default:
		record.line("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
