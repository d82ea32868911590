// Command standin runs a stand-in for a backend server, the weight store or a scoring service as a process. It prints
// its address as one line of JSON, and shuts down gracefully on SIGTERM. It is for tests and measurements only.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"filbertledge/internal/api"
	"filbertledge/internal/standin/engine"
	"filbertledge/internal/standin/scoring"
	"filbertledge/internal/standin/service"
	"filbertledge/internal/standin/weightstore"
)

const (
	// leaveGracePeriod is longer than the 3 s after which a leaving server must receive no new requests, so that
	// requests that arrive too late show up in the log.
	leaveGracePeriod = 5 * time.Second
	// leaveTimeout bounds the wait for running requests to finish after SIGTERM.
	leaveTimeout = time.Minute
	exitCrash    = 70
)

func main() {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Run a stand-in server for tests and measurements",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(engineCommand(), serviceCommand(), storeCommand(), scoringCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func crash() { os.Exit(exitCrash) }

// printAddress prints the id and the address of a server as one line of JSON.
func printAddress(id, address string) {
	_ = json.NewEncoder(os.Stdout).Encode(struct {
		ID      string `json:"id"`
		Address string `json:"address"`
	}{id, address})
}

func waitForSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	<-c
}

// leave announces that the server is leaving, and waits until it is idle or leaveTimeout has passed.
func leave(announce func(), idle func() bool) {
	announce()
	time.Sleep(leaveGracePeriod)
	for end := time.Now().Add(leaveTimeout); !idle() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
}

func engineCommand() *cobra.Command {
	o := engine.Options{OnCrash: crash}
	var id, pool, domain string
	var version uint64
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in for a model engine",
		RunE: func(*cobra.Command, []string) error {
			o.ID, o.Pool, o.Domain = api.ServerID(id), api.Pool(pool), api.FailureDomain(domain)
			o.Version = api.WeightVersion(version)
			e, err := engine.Start(o)
			if err != nil {
				return err
			}
			printAddress(id, e.Address())
			waitForSignal()
			leave(e.Leave, e.Idle)
			e.Close()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.StringVar(&id, "id", "engine-1", "server id")
	f.StringVar(&pool, "pool", "", "pool")
	f.StringVar(&domain, "failure-domain", "", "failure domain")
	f.StringVar(&o.Token, "token", "", "pool token")
	f.StringSliceVar(&o.Entries, "entry", nil, "IP:port of entry VMs, separated by commas")
	f.StringVar(&o.Model, "model", "", "model; the pool's name if empty")
	f.Uint64Var(&version, "version", 1, "weight version that is loaded at the start")
	f.StringVar(&o.WeightStoreURL, "store", "", "base URL of the weight store")
	f.IntVar(&o.Capacity, "capacity", 8, "concurrent requests")
	f.DurationVar(&o.RoundTime, "base", 2*time.Millisecond, "time per token")
	f.DurationVar(&o.RoundTimePerRequest, "slope", 200*time.Microsecond, "additional time per token for each running request")
	f.IntVar(&o.CacheBlocks, "cache-blocks", 1024, "limit of the prefix cache in blocks; negative for no cache")
	f.DurationVar(&o.LoadTime, "load-time", 300*time.Millisecond, "least time to load weights")
	f.DurationVar(&o.LoadReportDelay, "load-lag", 500*time.Millisecond, "age of load reports")
	f.DurationVar(&o.CacheEventDelay, "cache-lag", 2*time.Second, "age of cache events")
	f.BoolVar(&o.IgnoreFencing, "ignore-fencing", false, "accept orders with an old fencing token")
	f.BoolVar(&o.NoTokenDelay, "fast", false, "generate tokens without delay")
	f.BoolVar(&o.NoLog, "no-log", false, "do not record requests")
	f.StringVar(&o.LogFile, "log-file", "", "file that records each request as it arrives")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of random choices")
	return cmd
}

func serviceCommand() *cobra.Command {
	o := service.Options{OnCrash: crash}
	var id, pool, domain string
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in for a plain service",
		RunE: func(*cobra.Command, []string) error {
			o.ID, o.Pool, o.Domain = api.ServerID(id), api.Pool(pool), api.FailureDomain(domain)
			s, err := service.Start(o)
			if err != nil {
				return err
			}
			printAddress(id, s.Address())
			waitForSignal()
			leave(s.Leave, s.Idle)
			s.Close()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.StringVar(&id, "id", "service-1", "server id")
	f.StringVar(&pool, "pool", "", "pool")
	f.StringVar(&domain, "failure-domain", "", "failure domain")
	f.StringVar(&o.Token, "token", "", "pool token")
	f.StringSliceVar(&o.Entries, "entry", nil, "IP:port of entry VMs, separated by commas")
	f.IntVar(&o.Capacity, "capacity", 16, "concurrent calls")
	f.DurationVar(&o.CallTime, "call-time", 5*time.Millisecond, "time of a call")
	f.DurationVar(&o.LoadReportDelay, "load-lag", 500*time.Millisecond, "age of load reports")
	f.StringVar(&o.LogFile, "log-file", "", "file that records each request as it arrives")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of random choices")
	return cmd
}

func storeCommand() *cobra.Command {
	var o weightstore.Options
	cmd := &cobra.Command{
		Use:   "weightstore",
		Short: "Run a stand-in for the weight store",
		RunE: func(*cobra.Command, []string) error {
			s, err := weightstore.Start(o)
			if err != nil {
				return err
			}
			printAddress("weightstore", s.Address())
			waitForSignal()
			s.Close()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.IntVar(&o.BytesPerSecond, "rate", 100<<20, "bytes per second over all readers")
	f.IntVar(&o.BlobBytes, "blob-bytes", 1<<20, "size of a version that is published without a size")
	return cmd
}

func scoringCommand() *cobra.Command {
	var o scoring.Options
	cmd := &cobra.Command{
		Use:   "scoring",
		Short: "Run a stand-in for a scoring service",
		RunE: func(*cobra.Command, []string) error {
			s, err := scoring.Start(o)
			if err != nil {
				return err
			}
			printAddress("scoring", s.Address())
			waitForSignal()
			s.Close()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.DurationVar(&o.CallTime, "call-time", 2*time.Millisecond, "time of a call")
	return cmd
}
