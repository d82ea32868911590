// Command review-kit runs the scripted cases of the review. Each case starts the programs of the project as separate
// processes on loopback addresses, with stand-ins for consumers, servers and the operator.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// outcome is the result of a case.
type outcome struct {
	broken bool
	text   string
}

var cases = map[string]func(rec *record, trouble bool) (outcome, error){
	"late-copy":     lateCopy,
	"multipart":     multipart,
	"removed-route": removedRoute,
	"newline":       newline,
	"large-batch":   largeBatch,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-kit CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{out: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %t", os.Args[1], trouble)
	o, err := cases[os.Args[1]](rec, trouble)
	code := 0
	switch {
	case err != nil:
		code = 2
		o.text = "the case could not run: " + err.Error()
	case o.broken:
		code = 1
	}
	rec.line("result %d: %s", code, o.text)
	file.Close()
	fmt.Println(o.text)
	os.Exit(code)
}
