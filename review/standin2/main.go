//go:build review

// Command standin2 plays the cases of the second review: it starts the program as separate processes beside stand-ins for
// the platform's store, the servers and the consumers, and judges what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"stop-long": stopLong,
}

func main() {
	name := flag.String("case", "", "case to play")
	program := flag.String("program", "", "path of the program")
	record := flag.String("record", "", "file for the record")
	dir := flag.String("dir", "", "temporary folder")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *program, *record, *dir, *trouble))
}

func play(name, program, record, dir string, trouble bool) int {
	run, ok := cases[name]
	file, err := os.Create(record)
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case or no record:", name, err)
		return cannotRun
	}
	defer func() { _ = file.Close() }()
	d := newDeployment(program, dir, file)
	defer d.stop()
	result, err := run(d, trouble)
	if err != nil {
		d.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	d.log("result: %d", result)
	return result
}
