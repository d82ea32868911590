// Command review3 runs one case of the review. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// result of a case.
type result struct {
	broken bool
	detail string
}

var cases = map[string]func(e *env) (result, error){}

// env is what a case gets.
type env struct {
	rec     *recorder
	binary  string
	trouble bool
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FILBERTLEDGE RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &recorder{out: out, start: time.Now()}
	e := &env{rec: rec, binary: os.Args[2], trouble: os.Getenv("TROUBLE") != "0"}
	rec.logf("case %s, with the disruption: %t", os.Args[1], e.trouble)
	time.AfterFunc(115*time.Second, func() {
		rec.logf("the case took too long")
		os.Exit(2) // the processes end with this one
	})
	r, err := run(e)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case r.broken:
		rec.logf("BROKEN: %s", r.detail)
		fmt.Println("broken:", r.detail)
		os.Exit(1)
	}
	rec.logf("held: %s", r.detail)
	fmt.Println("held:", r.detail)
}
