package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"

	"filbertledge/internal/link"
	"filbertledge/internal/routes"
)

// The users' largest deployment: VMs that follow the leader, routes of a configuration that has grown, and the memory
// that a VM with the state may use.
const (
	largeFollowers   = 270
	largeRoutes      = 1500
	largeMemoryLimit = 294 << 20
)

func largeConfiguration(version uint64) *routes.Configuration {
	c := &routes.Configuration{Version: version, Services: []routes.Service{{Name: testService, Models: []string{testModel}}}, Document: bytes.Repeat([]byte("d"), 600<<10)}
	for i := range largeRoutes {
		c.Routes = append(c.Routes, routes.Route{
			Name: fmt.Sprintf("r-%d", i), Host: testHost, Prefix: fmt.Sprintf("/p%dx/", i*7919), Kind: routes.Idempotent, MaxAttempts: 2,
			ServiceWeights: []routes.ServiceWeight{{Service: testService, Weight: 1}},
		})
	}
	return c
}

// TestPackConfiguration guards against routes that change on their way to the other VMs.
func TestPackConfiguration(t *testing.T) {
	c := largeConfiguration(7)
	packed, err := PackConfiguration(c)
	if err != nil {
		t.Fatal(err)
	}
	got, err := UnpackConfiguration(packed)
	if err != nil {
		t.Fatal(err)
	}
	equal := slices.EqualFunc(got.Routes, c.Routes, func(a, b routes.Route) bool { return fmt.Sprint(a) == fmt.Sprint(b) })
	if got.Version != 7 || len(got.Document) != 0 || !equal || len(got.Services) != 1 || got.Services[0].Models[0] != testModel {
		t.Errorf("version %d with %d routes, %d services and a document of %d bytes after unpacking", got.Version, len(got.Routes), len(got.Services), len(got.Document))
	}
	if _, err := UnpackConfiguration(packed[:len(packed)/2]); err == nil {
		t.Error("half of a packed configuration was unpacked")
	}
}

// TestLargeConfigurationReachesAllVMs guards against a leader that exceeds its memory when all VMs of a large deployment
// ask for a large configuration at the same time, as after its commit or after a restart of all VMs.
func TestLargeConfigurationReachesAllVMs(t *testing.T) {
	c := startCluster(t, 3)
	c.callLeader("the commit of the configuration", func(ctx context.Context, n *Node) error { return n.Configure(ctx, largeConfiguration(7)) })
	address := c.addresses[c.leader()]
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := link.NewClient()
	defer client.Close()
	var all sync.WaitGroup
	for i := range largeFollowers {
		all.Go(func() {
			var packed []byte
			var err error
			if i%2 == 0 {
				var r FollowReply
				r, err = link.Call[FollowRequest, FollowReply](ctx, client, address, MethodFollow, FollowRequest{VM: fmt.Sprint(i), AcceptsPacked: true})
				packed = r.Packed
			} else {
				var r PeekReply
				r, err = link.Call[PeekRequest, PeekReply](ctx, client, address, methodPeek, PeekRequest{AcceptsPacked: true})
				packed = r.Packed
			}
			if err != nil || len(packed) == 0 {
				t.Errorf("reply of %d bytes, %v", len(packed), err)
			}
		})
	}
	all.Wait()
	runtime.ReadMemStats(&after)
	// All that was allocated, by the leader and by its callers in this process, must fit even if nothing was freed.
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > largeMemoryLimit/2 {
		t.Errorf("replies to %d VMs allocate %d MB, a VM with the state may use %d MB", largeFollowers, allocated>>20, largeMemoryLimit>>20)
	}
}
