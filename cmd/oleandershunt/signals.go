package main

import (
	"os"
	"os/signal"
	"syscall"
)

// onSecondSignal calls a function when the process has been told twice to stop.
// The first signal starts a planned stop, which can last as long as a request.
func onSecondSignal(call func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		<-signals
		call()
	}()
}
