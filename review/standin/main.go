//go:build review

// Command standin runs the scripts of the review: it starts the program as separate processes, with stand-ins of the
// platform's store, of servers and of consumers around them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// scripts are the cases by name.
var scripts = map[string]func(folder string, rec *record, trouble bool) (broken bool){
	"late-second-answers": lateSecondAnswers,
	"late-order":          lateOrderAfterRestart,
	"stops-in-turn":       stopsInTurn,
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		couldNotRun("usage: standin SCRIPT FOLDER, in the root of the repository")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		couldNotRun("temporary folder: %v", err)
	}
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		endAll()
		os.Exit(exitCouldNotRun)
	}()
	broken := scripts[os.Args[1]](folder, rec, os.Getenv("TROUBLE") != "0")
	endAll()
	if broken {
		rec.say("the rule was broken")
	} else {
		rec.say("the rule held")
	}
	rec.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println("logs:", folder)
	}
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
