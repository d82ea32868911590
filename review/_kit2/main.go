package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0 // the rule held
	broken    = 1
	cannotRun = 2
)

// caseLimit is how long a case may run.
const caseLimit = 115 * time.Second

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(r *record, trouble bool) int{
	"strangers":   strangers,
	"large-batch": largeBatch,
	"first-start": firstStart,
	"crashes":     crashes,
	"bodies":      bodies,
}

// deploymentToStop is stopped if the case is interrupted.
var deploymentToStop *deployment

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(cannotRun)
	}
	r, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	time.AfterFunc(caseLimit, func() {
		r.add("the case did not end within %s", caseLimit)
		if deploymentToStop != nil {
			deploymentToStop.stop()
		}
		os.Exit(cannotRun)
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		if deploymentToStop != nil {
			deploymentToStop.stop()
		}
		os.Exit(cannotRun)
	}()
	code := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	r.add("exit code %d", code)
	fmt.Printf("%s: exit code %d\n", os.Args[1], code)
	os.Exit(code)
}

// prepare starts a deployment with servers and a manifest.
func prepare(r *record, sheet sheet, entries, tutors, shops int, enforceMemory bool) (d *deployment, servers []*server, err error) {
	d, err = startDeployment(r, sheet, entries, enforceMemory)
	if err != nil {
		return nil, nil, err
	}
	deploymentToStop = d
	if err := d.toControl(0, "POST", "/config/replace", manifest(1), 20e9); err != nil {
		d.stop()
		return nil, nil, err
	}
	r.add("manifest 1 was acknowledged")
	zones := []string{"tln-a", "tln-b", "tln-c"}
	for i := range tutors + shops {
		service := tutorService
		if i >= tutors {
			service = shopService
		}
		s, err := d.startServer(fmt.Sprintf("i-%02d%s", i, service[:4]), service, zones[i%3], "", 12)
		if err != nil {
			d.stop()
			return nil, nil, err
		}
		servers = append(servers, s)
		go s.announce()
	}
	if err := d.waitReady(10e9); err != nil {
		d.stop()
		return nil, nil, err
	}
	return d, servers, nil
}
