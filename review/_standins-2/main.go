// Command review-standins-2 plays the scripts of the second review: it starts the processes of the deploy file on
// loopback, and plays the platform's store, the runners and the clients. It exits with 1 if the rule was broken, 0
// if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is how long a case may take.
const longest = 115 * time.Second

// cases are the scripts by name. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) (held bool, err error){}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Println("usage: review-standins-2 CASE RECORD")
		return 2
	}
	out, err := newRecord(args[1])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	w := &world{record: out}
	defer w.close()
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := cases[args[0]](w, os.Getenv("TROUBLE") != "0")
		done <- result{held, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			out.summary("the case couldn't run: %v", got.err)
			return 2
		case !got.held:
			out.summary("the rule was broken")
			return 1
		}
		out.summary("the rule held")
		return 0
	case s := <-signals:
		out.summary("ended by signal: %v", s)
	case <-time.After(longest):
		out.summary("the case took longer than %v", longest)
	}
	return 2
}
